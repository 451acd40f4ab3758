package simcluster

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/valyala/fasthttp"

	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/dataplane/gateway"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/timing"
	"marlreel/internal/process/transport"
	"marlreel/internal/testing/simnet"
)

// outsideIP is the address of the clients and the operator on a simulated network.
const outsideIP = "10.99.0.1"

// Ports that processes listen on, the same on each machine.
const (
	peerPort    = 7660
	frontPort   = 8080
	readyPort   = 8081
	controlPort = 8082
)

// Config describes a cluster.
type Config struct {
	Controls, Edges int
	Zones           []string // machines are assigned to them round-robin
	Net             simnet.Config
	Loopback        bool // use the machine's loopback addresses instead of a simulated network
	Log             logr.Logger
	Bounds          func(*bootstrap.Bounds) // modifies the default bounds; may be nil
}

// Cluster is a running system. Its methods are safe for concurrent use, except those that start and stop processes.
type Cluster struct {
	cfg           Config
	Net           *simnet.Network // nil on loopback
	Controls      []*Machine
	Edges         []*Machine
	Backends      []*Backend
	outside       host.Network    // network of the clients and the operator
	ctx           context.Context // of the backends; canceled by Stop
	cancel        context.CancelFunc
	backendsEnded sync.WaitGroup
	client        *fasthttp.Client // the operator's
	version       uint64           // of the configuration that was committed last
}

// New starts all machines of a cluster. It doesn't wait until they are ready.
func New(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg}
	if !cfg.Loopback {
		c.Net = simnet.New(cfg.Net)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.outside = c.network(outsideIP)
	c.client = transport.NewHTTPClient(c.outside.Dial)
	for i := range cfg.Controls {
		m := c.newMachine(fmt.Sprintf("core-%d", i), controlMachine, i, controlplane.Run)
		m.disk = storage.NewMemStorage()
		c.Controls = append(c.Controls, m)
	}
	for i := range cfg.Edges {
		c.Edges = append(c.Edges, c.newMachine(fmt.Sprintf("edge-%d", i), edgeMachine, i, agent.Run, gateway.Run))
	}
	for _, m := range c.Machines() {
		m.Start()
	}
	return c
}

// machineKind is the kind of a machine, which is part of its address.
type machineKind int

const (
	controlMachine machineKind = iota + 1
	edgeMachine
	backendMachine
)

// machinesPerSubnet is the number of machines of a kind whose addresses differ only in the last byte.
const machinesPerSubnet = 200

// machineIP returns the address of a machine.
func (c *Cluster) machineIP(kind machineKind, number int) string {
	subnet, last := number/machinesPerSubnet, number%machinesPerSubnet+1
	if c.cfg.Loopback {
		return fmt.Sprintf("127.0.%d.%d", 10*int(kind)+subnet, last)
	}
	return fmt.Sprintf("10.%d.%d.%d", kind, subnet, last)
}

// network returns the network as seen by the machine with an address.
func (c *Cluster) network(ip string) host.Network {
	if c.Net == nil {
		return host.OSNetwork{}
	}
	return c.Net.Machine(ip)
}

// disconnect closes all connections and listeners of a machine on a simulated network, and prevents it from opening new
// ones.
func (c *Cluster) disconnect(ip string) {
	if c.Net != nil {
		c.Net.Machine(ip).Kill()
	}
}

// reconnect lets a machine use a simulated network again.
func (c *Cluster) reconnect(ip string) {
	if c.Net != nil {
		c.Net.Machine(ip).Revive()
	}
}

// Machines returns all machines of the system: control machines first, then edges.
func (c *Cluster) Machines() []*Machine {
	return slices.Concat(c.Controls, c.Edges)
}

// Stop stops all processes, backends and connections, and returns once they have ended.
func (c *Cluster) Stop() {
	for _, m := range c.Machines() {
		m.Kill()
	}
	c.cancel()
	c.backendsEnded.Wait()
	c.client.CloseIdleConnections()
	if c.Net != nil {
		time.Sleep(idleConnectionLifetime)
	}
}

// idleConnectionLifetime is the time after which fasthttp's goroutines for idle connections have ended. Nothing else
// waits for them; on a simulated clock the wait takes no real time.
const idleConnectionLifetime = 5 * time.Minute

// ControlAddresses returns the addresses of all control machines for the operator and backends.
func (c *Cluster) ControlAddresses() []string {
	var addresses []string
	for _, m := range c.Controls {
		addresses = append(addresses, m.ControlAddress())
	}
	return addresses
}

// fasthttp starts a goroutine for the Date header with its first response, and never stops it. It must be started outside
// any synctest bubble, which would wait for it forever.
func init() {
	var first fasthttp.Response
	_, _ = first.WriteTo(io.Discard) // discarding can't fail
}

// Sleep waits for a duration or until the cluster is stopped. On a simulated clock it takes no real time.
func (c *Cluster) Sleep(pause time.Duration) { timing.Sleep(c.ctx, pause) }
