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

// outsideIP is the address of clients and the operator on a simulated network.
const outsideIP = "10.99.0.1"

// Ports of all machines.
const (
	peerPort    = 7660
	frontPort   = 8080
	readyPort   = 8081
	controlPort = 8082
)

// Config describes a cluster.
type Config struct {
	Controls, Edges int
	Zones           []string // machines are spread over them in turn
	Net             simnet.Config
	Loopback        bool // on the machine's loopback addresses in place of a simulated network
	Log             logr.Logger
	Bounds          func(*bootstrap.Bounds) // changes the default bounds; nil: they stay
}

// Cluster is a running system. Its methods may be called by any goroutine, but for those that start and stop processes.
type Cluster struct {
	cfg           Config
	Net           *simnet.Network // nil on loopback
	Controls      []*Machine
	Edges         []*Machine
	Backends      []*Backend
	outside       host.Network    // where clients and the operator are
	ctx           context.Context // of the backends; ends at Stop
	cancel        context.CancelFunc
	backendsEnded sync.WaitGroup
	client        *fasthttp.Client // of the operator
	version       uint64           // of the configuration that was replaced last
}

// New starts all machines of a cluster. It doesn't wait until they serve.
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

// machineKind is a part of the addresses of machines.
type machineKind int

const (
	controlMachine machineKind = iota + 1
	edgeMachine
	backendMachine
)

// machinesPerSubnet is how many machines of a kind have addresses that differ in the last byte alone.
const machinesPerSubnet = 200

// machineIP returns the address of a machine.
func (c *Cluster) machineIP(kind machineKind, number int) string {
	subnet, last := number/machinesPerSubnet, number%machinesPerSubnet+1
	if c.cfg.Loopback {
		return fmt.Sprintf("127.0.%d.%d", 10*int(kind)+subnet, last)
	}
	return fmt.Sprintf("10.%d.%d.%d", kind, subnet, last)
}

// network is the network as a machine sees it.
func (c *Cluster) network(ip string) host.Network {
	if c.Net == nil {
		return host.OSNetwork{}
	}
	return c.Net.Machine(ip)
}

// disconnect ends all connections and listeners of a machine on a simulated network, and lets it open no more.
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

// Machines returns all machines of the system: those of control, then the edges.
func (c *Cluster) Machines() []*Machine {
	return slices.Concat(c.Controls, c.Edges)
}

// Stop ends all processes, backends and connections, and returns once they have ended.
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

// idleConnectionLifetime is after what time fasthttp's goroutines for idle connections have ended. They have no other
// owner; on a simulated clock the wait takes no time.
const idleConnectionLifetime = 5 * time.Minute

// ControlAddresses returns the addresses of all control machines for the operator and backends.
func (c *Cluster) ControlAddresses() []string {
	var addresses []string
	for _, m := range c.Controls {
		addresses = append(addresses, m.ControlAddress())
	}
	return addresses
}

// fasthttp starts a goroutine for the time of day with its first response, and never ends it. It has to start outside of
// any synctest bubble.
func init() {
	var first fasthttp.Response
	_, _ = first.WriteTo(io.Discard) // discarding can't fail
}

// Sleep lets time pass, or returns when the cluster is stopped. On a simulated clock it takes no time.
func (c *Cluster) Sleep(pause time.Duration) { timing.Sleep(c.ctx, pause) }
