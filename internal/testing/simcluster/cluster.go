// Package simcluster runs the very roles of the system, control, agents and proxies, with
// stand-in backends, an operator and clients, in one process, with stores in memory: for
// tests on a simulated network, where under testing/synctest the clock is simulated too,
// and for trials on the loopback addresses of a real machine.
package simcluster

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/valyala/fasthttp"

	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/store"
	"marlreel/internal/dataplane/gateway"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
	"marlreel/internal/testing/fakesystem"
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

// Machine is a machine with its roles.
type Machine struct {
	cluster    *Cluster
	Name       string
	IP         string
	Zone       string
	roles      []func(context.Context, *host.Host) error
	disk       storage.Storage // nil: there is none
	firstStart bool

	mu      sync.Mutex
	running sync.WaitGroup
	cancel  context.CancelFunc
	crash   context.CancelFunc // of the processes' life
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

func (c *Cluster) settings(m *Machine) *bootstrap.Settings {
	s := &bootstrap.Settings{
		NodeName: m.Name, IP: m.IP, Zone: m.Zone, InternalPorts: []int{peerPort, peerPort + 15},
		FirstStart: m.firstStart, HeartbeatIntervalMS: 1200, Zones: map[string]string{}, DataDir: "none",
		Limits:    bootstrap.Limits{MemoryMB: 256, MaxOpenFiles: 4096},
		Tolerance: bootstrap.FaultTolerance{Machines: (c.cfg.Controls - 1) / 2},
		Bounds: bootstrap.Bounds{
			ShutdownGraceS: 8, ConfigApplyMS: 2000, RetryBudgetRatio: 0.2, RetryWindowS: 10, RetrySlack: 52,
			WarmupExcess: 1.5, WarmupSlack: 5, Fencing: true, LeaseDurationMS: 3000, DrainMS: 2000,
		},
		Listen: bootstrap.ListenAddresses{
			Front: fmt.Sprintf("%s:%d", m.IP, frontPort), Readiness: fmt.Sprintf("%s:%d", m.IP, readyPort),
			Control: fmt.Sprintf("%s:%d", m.IP, controlPort),
		},
	}
	if c.cfg.Loopback {
		s.LoopbackIP = strings.Replace(m.IP, "127.0.", "127.1.", 1)
	}
	for _, zone := range c.cfg.Zones {
		s.Zones[zone] = "region"
	}
	for _, seed := range c.Controls[:min(3, len(c.Controls))] {
		s.SeedNodes = append(s.SeedNodes, fmt.Sprintf("%s:%d", seed.IP, controlPort))
	}
	if c.cfg.Bounds != nil {
		c.cfg.Bounds(&s.Bounds)
	}
	return s
}

// Start starts a machine's roles.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	settings := m.cluster.settings(m)
	m.firstStart = false
	m.cluster.reconnect(m.IP)
	ctx, cancel := context.WithCancel(context.Background())
	life, end := context.WithCancel(context.Background())
	m.cancel, m.crash = cancel, end
	disk := m.disk
	for _, role := range m.roles {
		machine := &host.Host{
			Settings: settings, Network: m.cluster.network(m.IP),
			Log:         m.cluster.cfg.Log.WithValues("node", m.Name),
			OpenStore:   func() (*store.Store, error) { return store.OpenStorage(disk) },
			RemoveStore: func() error { return nil }, CrashContext: life,
		}
		m.running.Go(func() {
			if err := role(ctx, machine); err != nil {
				machine.Log.V(1).Info("a role has ended", "error", err.Error())
			}
		})
	}
}

// Kill ends a machine's processes at once.
func (m *Machine) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel == nil {
		return
	}
	m.cluster.disconnect(m.IP)
	m.crash()
	m.cancel()
	m.running.Wait()
	m.cluster.disconnect(m.IP)
	m.cancel = nil
}

// Terminate asks a machine's processes to end, and waits for it.
func (m *Machine) Terminate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.running.Wait()
	m.crash()
	m.cancel = nil
}

// EraseDisk loses a machine's disk. The machine must be down.
func (m *Machine) EraseDisk() { m.disk = storage.NewMemStorage() }

// Front is where clients reach an edge machine.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, frontPort) }

// ControlAddress is where the operator and backends reach a control machine.
func (m *Machine) ControlAddress() string { return fmt.Sprintf("%s:%d", m.IP, controlPort) }

// ControlAddresses are those of all control machines.
func (c *Cluster) ControlAddresses() []string {
	var addresses []string
	for _, m := range c.Controls {
		addresses = append(addresses, m.ControlAddress())
	}
	return addresses
}

// Backend is a stand-in on a machine of its own.
type Backend struct {
	*fakesystem.Backend
	cutOff func()
	cancel context.CancelFunc
}

// Kill ends a backend at once: it says nothing any more.
func (b *Backend) Kill() {
	b.cancel()
	b.cutOff()
}

// AddBackend starts a backend on a machine of its own.
func (c *Cluster) AddBackend(cfg fakesystem.BackendConfig) *Backend {
	ip := c.machineIP(3, len(c.Backends))
	cfg.Address, cfg.Controls = ip+":9000", c.ControlAddresses
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = 1200 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(c.ctx)
	b := &Backend{Backend: fakesystem.NewBackend(cfg, c.network(ip)), cutOff: func() { c.disconnect(ip) }, cancel: cancel}
	c.Backends = append(c.Backends, b)
	c.backendsEnded.Go(func() { _ = b.Serve(ctx) }) // it ends with the cluster
	return b
}

// fasthttp keeps one goroutine for the time of day from its first answer on. It has to begin
// outside of any simulated clock.
func init() {
	var first fasthttp.Response
	// Nothing that could fail reads it.
	_, _ = first.WriteTo(io.Discard)
}
