package gateway

import (
	"sync"
	"sync/atomic"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/budget"
	"marlreel/internal/process/transport"
)

// Gateway serves clients according to the newest state that it has received. Its methods are safe for concurrent use.
type Gateway struct {
	identity       identity
	state          *watch.Store
	memory         *budget.Budget // for bodies
	maxConnections int            // to backends, of each service
	budgets        SharedBudgets
	quota          QuotaGate // nil: quotas are not enforced
	dial           transport.DialFunc
	log            logr.Logger
	demand         *demandRecorder
	metrics        *vm.Set
	refusals       *refusalRecorder
	table          atomic.Pointer[routingTable]
	ready          atomic.Bool // a fresh state has been applied
	draining       atomic.Bool // clients should move to other proxies
	closing        atomic.Bool // new requests are rejected: they could not be finished

	mu       sync.Mutex      // serializes updates of the table
	closed   bool            // the table is no longer updated
	metered  map[string]bool // services that have metrics of their own
	replaced sync.WaitGroup  // services removed from the table that are still stopping
}

// Config configures a Gateway.
type Config struct {
	Dial           transport.DialFunc
	Name           string
	Zone           string
	Zones          []string // all zones, sorted
	BodyBytes      int      // memory for bodies
	MaxConnections int      // to backends, of each service
	Budgets        SharedBudgets
	Quota          QuotaGate // of tenants; nil: quotas are not enforced
	Log            logr.Logger
}

// SharedBudgets are the budgets that all proxies of the system share.
type SharedBudgets struct {
	// WarmupExcess and WarmupSlack bound the requests to a backend that has just started: its warmup rate times
	// WarmupExcess, plus WarmupSlack requests.
	WarmupExcess, WarmupSlack float64
	// Retry bounds retries.
	Retry budgetshare.RetryConfig
}

// New returns a gateway without a routing table. ApplyState makes one from state.
func New(cfg Config, state *watch.Store) *Gateway {
	g := &Gateway{
		identity: identity{name: cfg.Name, zones: cfg.Zones, zone: cfg.Zone}, state: state,
		memory: budget.New(cfg.BodyBytes), maxConnections: cfg.MaxConnections, budgets: cfg.Budgets, quota: cfg.Quota, dial: cfg.Dial,
		log: cfg.Log, demand: newDemandRecorder(), metered: map[string]bool{},
	}
	g.table.Store(&routingTable{services: map[string]*service{}})
	g.metrics = g.newMetrics()
	g.refusals = newRefusalRecorder(g.metrics, g.log)
	return g
}

// Ready reports whether clients can be sent here.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.draining.Load() }

// StartDraining makes the gateway not ready and its answers close their connections, so that clients move to other
// proxies.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// OnAgentReply handles a reply of the agent: it tells the services which proxies share their budgets, and whether that
// list is known to be fresh.
func (g *Gateway) OnAgentReply() {
	fresh := g.state.Fresh(nil)
	var names []string
	for _, node := range g.state.Nodes() {
		if node.Draining {
			continue
		}
		names = append(names, node.Name)
	}
	for _, s := range g.table.Load().services {
		s.setSharers(names, fresh)
	}
}

// rejectUnsent rejects requests that have waited unsent for maxUnsentWait.
func (g *Gateway) rejectUnsent() {
	for _, s := range g.table.Load().services {
		s.engine.Post(func() { s.engine.RejectUnsent(maxUnsentWait) })
	}
}

// failPending answers all pending requests: unsent ones are rejected, the others fail.
func (g *Gateway) failPending() {
	for _, s := range g.table.Load().services {
		s.engine.Post(func() {
			s.engine.RejectUnsent(0)
			s.engine.FailAll(true)
		})
	}
}

// stopServices stops all services and waits for them.
func (g *Gateway) stopServices() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, s := range g.table.Load().services {
		s.stop()
	}
	g.replaced.Wait()
}
