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
	"marlreel/internal/process/logevent"
	"marlreel/internal/testing/fakesystem"
)

// role is the main function of a process. It runs until ctx is canceled.
type role func(ctx context.Context, machine *host.Host) error

// Machine is a machine and its processes.
type Machine struct {
	Name string
	IP   string
	Zone string

	cluster    *Cluster
	roles      []role
	disk       storage.Storage // nil if the machine has none
	firstStart bool

	mu      sync.Mutex // held while processes are started or stopped
	running sync.WaitGroup
	cancel  context.CancelFunc // terminates the processes; nil if none are running
	crash   context.CancelFunc // aborts the processes' graceful shutdown
}

func (c *Cluster) newMachine(name string, kind machineKind, number int, roles ...role) *Machine {
	zone := c.cfg.Zones[number%len(c.cfg.Zones)]
	return &Machine{cluster: c, Name: name, IP: c.machineIP(kind, number), Zone: zone, roles: roles, firstStart: true}
}

// settings returns the settings of a machine's processes.
func (c *Cluster) settings(m *Machine) *bootstrap.Settings {
	s := &bootstrap.Settings{
		NodeName: m.Name, IP: m.IP, Zone: m.Zone, InternalPorts: []int{peerPort, peerPort + 15},
		FirstStart: m.firstStart, HeartbeatIntervalMS: float64(heartbeatInterval.Milliseconds()), Zones: map[string]string{}, DataDir: "none",
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

// Start starts a machine's processes. It doesn't wait until they are ready.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	settings := m.cluster.settings(m)
	m.firstStart = false
	m.cluster.reconnect(m.IP)
	ctx, cancel := context.WithCancel(context.Background())
	crashCtx, crash := context.WithCancel(context.Background())
	m.cancel, m.crash = cancel, crash
	disk := m.disk
	for _, run := range m.roles {
		machine := &host.Host{
			Settings: settings, Network: m.cluster.network(m.IP),
			Log:         m.cluster.cfg.Log.WithValues("node", m.Name),
			OpenStore:   func() (*store.Store, error) { return store.OpenStorage(disk) },
			RemoveStore: func() error { return nil }, CrashContext: crashCtx,
		}
		m.running.Go(func() {
			if err := run(ctx, machine); err != nil {
				machine.Log.V(1).Info("process failed", logevent.KeyDetail, err.Error())
			}
		})
	}
}

// Kill stops a machine's processes at once, as SIGKILL or a power loss does: they send nothing more.
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

// Terminate makes a machine's processes shut down gracefully, as SIGTERM does, and waits until they have ended.
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

// EraseDisk discards the contents of a machine's disk. No process of the machine may be running.
func (m *Machine) EraseDisk() { m.disk = storage.NewMemStorage() }

// Front returns the address of an edge machine for clients.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, frontPort) }

// ControlAddress returns the address of a control machine for the operator and backends.
func (m *Machine) ControlAddress() string { return fmt.Sprintf("%s:%d", m.IP, controlPort) }

// peerAddress returns the address of a machine for other machines of the system.
func (m *Machine) peerAddress() string { return fmt.Sprintf("%s:%d", m.IP, peerPort) }
