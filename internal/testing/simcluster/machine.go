package simcluster

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/syndtr/goleveldb/leveldb/storage"

	"marlreel/internal/controlplane/store"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/testing/fakesystem"
)

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

func (c *Cluster) settings(m *Machine) *bootstrap.Settings {
	s := &bootstrap.Settings{
		NodeName: m.Name, IP: m.IP, Zone: m.Zone, InternalPorts: []int{peerPort, peerPort + 15},
		FirstStart: m.firstStart, HeartbeatIntervalMS: 1200, Zones: map[string]string{}, DataDir: "none",
		Limits:    bootstrap.Limits{MemoryMB: 256, MaxOpenFiles: 4096},
		Tolerance: bootstrap.FaultTolerance{Machines: (c.cfg.Controls - 1) / 2},
		Bounds:    fakesystem.Bounds(),
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

func (m *Machine) peerAddress() string { return fmt.Sprintf("%s:%d", m.IP, peerPort) }
