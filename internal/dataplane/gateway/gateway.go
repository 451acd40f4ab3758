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

// Gateway serves clients by the newest state that it has watched. Its methods may be called by any goroutine.
type Gateway struct {
	identity       identity
	state          *watch.Store
	memory         *budget.Budget // for bodies
	maxConnections int            // to backends, of each service
	budgets        SharedBudgets
	quota          QuotaGate // nil: none are counted
	dial           transport.DialFunc
	log            logr.Logger
	demand         *demandRecorder
	metrics        *vm.Set
	refusals       *refusalRecorder
	table          atomic.Pointer[routingTable]
	ready          atomic.Bool // it has had a fresh state
	draining       atomic.Bool // clients are to turn to other proxies
	closing        atomic.Bool // requests that come now could not be finished

	mu       sync.Mutex      // one update of the table at a time
	closed   bool            // no further update
	metered  map[string]bool // services that have metrics of their own
	replaced sync.WaitGroup  // stops of services that the table no longer has
}

// Config is how a gateway starts.
type Config struct {
	Dial           transport.DialFunc
	Name           string
	Zone           string
	Zones          []string // all, sorted
	BodyBytes      int      // memory for bodies
	MaxConnections int      // to backends, of each service
	Budgets        SharedBudgets
	Quota          QuotaGate // of tenants; nil: none are counted
	Log            logr.Logger
}

// SharedBudgets are the budgets that all proxies of the system keep together.
type SharedBudgets struct {
	// WarmupExcess and WarmupSlack bound the requests to a backend that has just started: its rate times the excess,
	// and the slack (requests) beside that.
	WarmupExcess, WarmupSlack float64
	// Retry bounds the requests that are sent once more.
	Retry budgetshare.RetryConfig
}

// New makes a gateway that has no state yet. state is where it will find one.
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

// Ready tells whether clients can be served.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.draining.Load() }

// StartDraining lets clients turn to other proxies from now on.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// OnAgentReply tells the services who shares their budgets, after each answer of the agent, and whether that is known
// to be fresh.
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

// rejectUnsent rejects requests that have waited for long and were not sent.
func (g *Gateway) rejectUnsent() {
	for _, s := range g.table.Load().services {
		s.engine.Post(func() { s.engine.RejectUnsent(maxUnsentWait) })
	}
}

// failPending answers all requests that are pending.
func (g *Gateway) failPending() {
	for _, s := range g.table.Load().services {
		s.engine.Post(func() {
			s.engine.RejectUnsent(0)
			s.engine.FailAll(true)
		})
	}
}

// stopServices ends all services, and waits for them.
func (g *Gateway) stopServices() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, s := range g.table.Load().services {
		s.stop()
	}
	g.replaced.Wait()
}
