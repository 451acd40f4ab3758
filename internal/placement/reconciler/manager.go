package reconciler

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/placement"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/transport"
)

// Lease is a lease that this node holds.
type Lease struct {
	FencingToken uint64
	Expiry       time.Time // by this node's monotonic clock; control treats the lease as valid for a margin longer
	Since        time.Time // by the same clock: no other node has held the lease since
}

// Leases gives access to the leases that this node holds. Its methods are safe for concurrent use.
type Leases interface {
	// Lease returns the lease of a key, and whether this node holds it and it has not expired.
	Lease(key string) (held Lease, valid bool)
	// NamedAsHolder reports whether the replicated state names this node as the holder of any lease.
	NamedAsHolder() bool
	// AwaitNamedAsHolder returns once NamedAsHolder reports true or ctx ends.
	AwaitNamedAsHolder(ctx context.Context)
	// Drop makes all leases invalid until their next renewal.
	Drop()
}

// Config is the configuration of the reconcilers of a node.
type Config struct {
	Holder  string       // this node's id as a lease holder; part of each order
	Store   *watch.Store // the configuration and the backends
	Leases  Leases
	Dial    transport.DialFunc                               // to backends
	Observe func(backend string, loaded map[string][]string) // called with what a backend has loaded: adapters by model
	Log     logr.Logger
}

// Manager runs one reconciler for each service whose placement lease this node holds.
type Manager struct {
	cfg      Config
	backends *backendClient
	ended    sync.WaitGroup // waits for the reconcilers

	mu      sync.Mutex
	running map[string]*runningReconciler // by service
}

type runningReconciler struct {
	*reconciler
	cancel context.CancelFunc
}

// NewManager returns a manager. Run starts the reconcilers.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, backends: newBackendClient(cfg.Dial), running: map[string]*runningReconciler{}}
}

// Run starts and stops reconcilers as leases are acquired and lost. It returns when ctx has ended and all reconcilers
// have stopped.
func (m *Manager) Run(ctx context.Context) {
	defer m.ended.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.adjust(ctx)
		if !m.cfg.Leases.NamedAsHolder() && m.idle() {
			m.cfg.Leases.AwaitNamedAsHolder(ctx)
			continue
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// idle reports whether no reconciler is running.
func (m *Manager) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running) == 0
}

// adjust stops the reconcilers whose lease is lost or has a new fencing token, and starts the missing ones.
func (m *Manager) adjust(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	desired := m.heldTokens()
	for service, running := range m.running {
		token, held := desired[service]
		if !held || token != running.token {
			running.cancel()
			delete(m.running, service)
		}
	}
	for service, token := range desired {
		if m.running[service] == nil {
			m.start(ctx, service, token)
		}
	}
}

// heldTokens returns the fencing tokens of the valid placement leases, by service.
func (m *Manager) heldTokens() map[string]uint64 {
	var document *configuration.Document
	m.cfg.Store.ReadState(func(s *state.Machine) { document = s.Document() })
	tokens := map[string]uint64{}
	if document == nil {
		return tokens
	}
	for i := range document.Services {
		service := &document.Services[i]
		held, valid := m.cfg.Leases.Lease(lease.PlacementKey(service.Name))
		if valid && service.Engine != nil {
			tokens[service.Name] = held.FencingToken
		}
	}
	return tokens
}

func (m *Manager) start(ctx context.Context, service string, token uint64) {
	leaseCtx, cancel := context.WithCancel(ctx)
	r := newReconciler(&m.cfg, m.backends, service, token)
	m.running[service] = &runningReconciler{r, cancel}
	m.ended.Go(func() { r.run(leaseCtx, ctx) })
}

// RecordDemand passes a demand report of a node's proxy to the reconcilers of the reported services.
func (m *Manager) RecordDemand(node, zone string, demands []*api.Demand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, demand := range demands {
		running := m.running[demand.Service]
		if running == nil {
			continue
		}
		r := running.reconciler
		r.post(func() {
			target := bootstrap.Milliseconds(float64(demand.LatencyTargetMs))
			r.planner.RecordLatencyTarget(demand.Model, target, int(demand.Arrived))
			key := placement.Key{Model: demand.Model, Adapter: demand.Adapter}
			r.planner.RecordDemand(r.now(), node, zone, key, int(demand.Arrived), demand.WorkMs, int(demand.Waiting))
		})
	}
}
