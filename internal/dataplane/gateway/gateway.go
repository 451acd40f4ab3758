// Package gateway is the part of the system that carries traffic: clients' requests to
// the backends of a service and their answers back. It goes by the feed of the agent
// beside it. Which backend gets a request, whether it is sent again and what is refused
// is decided by package balancer, one instance for each service.
package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/budget"
	"marlreel/internal/process/transport"
)

// Gateway serves clients by the newest feed.
type Gateway struct {
	self        identity
	feed        *watch.Store
	room        *budget.Budget
	connections int // to backends, of each service
	bounds      Bounds
	dial        transport.DialFunc
	log         logr.Logger
	demand      *demandBook
	figures     *vm.Set

	mu      sync.Mutex      // one update at a time
	ended   bool            // no update any more
	counted map[string]bool // services that have figures of their own
	plan    atomic.Pointer[plan]
	ready   atomic.Bool
	quits   atomic.Bool // it ends soon: clients are to turn to others
	shut    atomic.Bool // what comes now could not be finished
}

// plan is what requests are handled by. It is never changed.
type plan struct {
	document *configuration.Document
	services map[string]*service
	held     map[demandKey]bool // what some backend in service holds
}

// holdings are the models and adapters that backends in service hold.
func holdings(backends []*api.Backend, evacuated map[string]bool) map[demandKey]bool {
	held := map[demandKey]bool{}
	for _, b := range backends {
		if b.Draining || evacuated[b.Zone] {
			continue
		}
		for _, m := range b.Models {
			held[demandKey{b.Service, m.Name, ""}] = true
			for _, adapter := range m.Adapters {
				held[demandKey{b.Service, m.Name, adapter}] = true
			}
		}
	}
	return held
}

// Config is what a gateway is told at its start.
type Config struct {
	Dial        transport.DialFunc
	Name        string
	Zone        string
	Zones       []string // all, sorted
	BodyBytes   int      // what bodies may take of the memory
	Connections int
	Bounds      Bounds
	Log         logr.Logger
}

// New makes a gateway that knows nothing yet.
func New(cfg Config, source *watch.Store) *Gateway {
	g := &Gateway{
		self: identity{name: cfg.Name, zones: cfg.Zones, zone: cfg.Zone}, feed: source,
		room: budget.New(cfg.BodyBytes), connections: cfg.Connections, bounds: cfg.Bounds, dial: cfg.Dial, log: cfg.Log, demand: newDemandBook(),
		counted: map[string]bool{},
	}
	g.plan.Store(&plan{services: map[string]*service{}})
	g.figures = g.newFigures()
	return g
}

// Ready tells whether clients can be served.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.quits.Load() }

// refuseUnsent refuses requests that have waited for long and were not sent.
func (g *Gateway) refuseUnsent() {
	for _, s := range g.plan.Load().services {
		s.engine.Post(func() { s.engine.RefuseUnsent(unsentPatience) })
	}
}

// stopServices ends all services.
func (g *Gateway) stopServices() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for _, s := range g.plan.Load().services {
		s.stop()
	}
}

// failAll answers all that is still in hand.
func (g *Gateway) failAll() {
	for _, s := range g.plan.Load().services {
		s.engine.Post(func() {
			s.engine.RefuseUnsent(0)
			s.engine.FailAll(true)
		})
	}
}

// Quit lets clients turn to others from now on.
func (g *Gateway) Quit() { g.quits.Store(true) }

// Update takes in what the feed has now.
func (g *Gateway) Update() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	var document *configuration.Document
	evacuated := map[string]bool{}
	g.feed.ReadState(func(m *state.Machine) {
		document = m.Document()
		for _, zone := range m.EvacuatedZones() {
			evacuated[zone] = true
		}
	})
	if document == nil {
		return
	}
	old := g.plan.Load()
	next := &plan{document: document, services: map[string]*service{}}
	proxies := len(g.feed.Nodes())
	for i := range document.Services {
		cfg := &document.Services[i]
		g.keepService(old, next, cfg, proxies)
	}
	// The revisions are read first: what changes meanwhile is listed once more.
	listed := map[*service]listing{}
	for name, s := range next.services {
		listed[s] = listing{made: true, revision: g.feed.ServiceRevision(name), evacuated: strings.Join(slices.Sorted(maps.Keys(evacuated)), " ")}
	}
	backends := g.feed.Backends()
	next.held = holdings(backends, evacuated)
	for _, s := range next.services {
		if s.listed != listed[s] {
			s.listed = listed[s]
			s.list(backends, g.self, func(zone string) bool { return evacuated[zone] })
		}
	}
	g.plan.Store(next)
	for name, s := range old.services {
		if next.services[name] != s {
			go s.stop()
		}
	}
	if g.feed.Fresh(nil) && !g.ready.Load() {
		g.ready.Store(true)
		g.log.Info("ready", "event", "ready", "version", document.Version, "backends", len(backends))
	}
}

// Heard takes in that the agent has answered: whether its word is fresh, and who shares
// the budgets by it.
func (g *Gateway) Heard() {
	fresh := g.feed.Fresh(nil)
	var names []string
	for _, node := range g.feed.Nodes() {
		if node.Draining {
			continue
		}
		names = append(names, node.Name)
	}
	for _, s := range g.plan.Load().services {
		s.sharedWith(names, fresh)
	}
}

// keepService goes on with a service, or starts it.
func (g *Gateway) keepService(old, next *plan, cfg *configuration.Service, proxies int) {
	s := old.services[cfg.Name]
	classes := classesOf(next.document, cfg.Name)
	if len(classes) == 0 {
		if s != nil { // what it has in hand goes on
			next.services[cfg.Name] = s
		}
		return
	}
	if s != nil && s.engines == (cfg.Engine != nil) {
		s.configure(cfg, classes, proxies, g.log)
		next.services[cfg.Name] = s
		return
	}
	s, err := newService(cfg, classes, proxies, g.self, g.bounds, g.room, g.connections, g.dial,
		newServiceFigures(g.figures, g.countedAs(cfg.Name)), g.log)
	if err != nil {
		g.log.Error(err, "a service can't be started", "event", "configuration", "service", cfg.Name)
		return
	}
	next.services[cfg.Name] = s
}
