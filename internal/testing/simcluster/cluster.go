package simcluster

import (
	"context"
	"fmt"
	"io"
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
	"marlreel/internal/process/transport"
	"marlreel/internal/testing/simnet"
)

// outsideIP is where clients and the operator are, on a simulated network.
const outsideIP = "10.99.0.1"

// Ports of all machines.
const (
	peerPort    = 7660
	frontPort   = 8080
	readyPort   = 8081
	controlPort = 8082
)

// Config says what a cluster is made of.
type Config struct {
	Controls, Edges int
	Zones           []string // machines are spread over them in turn
	Net             simnet.Config
	Loopback        bool // on the machine's loopback addresses in place of a simulated network
	Log             logr.Logger
	Bounds          func(*bootstrap.Bounds) // changes the usual bounds; nil: none
}

// Cluster is a running system.
type Cluster struct {
	cfg           Config
	Net           *simnet.Network // nil on loopback
	Controls      []*Machine
	Edges         []*Machine
	Backends      []*Backend
	outside       host.Network // where clients and the operator are
	ctx           context.Context
	cancel        context.CancelFunc
	backendsEnded sync.WaitGroup
	client        *fasthttp.Client
	version       uint64
}

// New starts a cluster.
func New(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg}
	if !cfg.Loopback {
		c.Net = simnet.New(cfg.Net)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.outside = c.network(outsideIP)
	c.client = transport.NewHTTPClient(c.outside.Dial)
	for i := range cfg.Controls {
		m := &Machine{
			cluster: c, Name: fmt.Sprintf("core-%d", i), IP: c.machineIP(1, i), Zone: cfg.Zones[i%len(cfg.Zones)],
			roles: []func(context.Context, *host.Host) error{controlplane.Run}, disk: storage.NewMemStorage(), firstStart: true,
		}
		c.Controls = append(c.Controls, m)
	}
	for i := range cfg.Edges {
		m := &Machine{
			cluster: c, Name: fmt.Sprintf("edge-%d", i), IP: c.machineIP(2, i), Zone: cfg.Zones[i%len(cfg.Zones)],
			roles: []func(context.Context, *host.Host) error{agent.Run, gateway.Run}, firstStart: true,
		}
		c.Edges = append(c.Edges, m)
	}
	for _, m := range c.Machines() {
		m.Start()
	}
	return c
}

// machineIP is that of a machine, by its kind and number.
func (c *Cluster) machineIP(kind, number int) string {
	if c.cfg.Loopback {
		return fmt.Sprintf("127.0.%d.%d", 10*kind+number/200, number%200+1)
	}
	return fmt.Sprintf("10.%d.%d.%d", kind, number/200, number%200+1)
}

// network is the network as a machine sees it.
func (c *Cluster) network(ip string) host.Network {
	if c.Net == nil {
		return host.OSNetwork{}
	}
	return c.Net.Machine(ip)
}

// disconnect ends all that a machine has open on a simulated network.
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

// Machines are all machines of the system.
func (c *Cluster) Machines() []*Machine {
	return append(append([]*Machine(nil), c.Controls...), c.Edges...)
}

// Stop ends everything and waits for it.
func (c *Cluster) Stop() {
	for _, m := range c.Machines() {
		m.Kill()
	}
	c.cancel()
	c.backendsEnded.Wait()
	c.client.CloseIdleConnections()
	// Idle connections are looked after by goroutines that end by themselves; on a simulated
	// clock that takes no time.
	if c.Net != nil {
		time.Sleep(idleConnectionLifetime)
	}
}

const idleConnectionLifetime = 5 * time.Minute

// ControlAddresses are those of all control machines.
func (c *Cluster) ControlAddresses() []string {
	var addresses []string
	for _, m := range c.Controls {
		addresses = append(addresses, m.ControlAddress())
	}
	return addresses
}

// fasthttp keeps one goroutine for the time of day from its first answer on. It has to begin
// outside of any simulated clock.
func init() {
	var first fasthttp.Response
	// Nothing that could fail reads it.
	_, _ = first.WriteTo(io.Discard)
}

// Sleep lets time pass: on a simulated clock that costs none.
func (c *Cluster) Sleep(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
