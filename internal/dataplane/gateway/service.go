package gateway

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/balancer"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/routing"
	"marlreel/internal/engine"
	"marlreel/internal/httpproxy"
	"marlreel/internal/process/budget"
	"marlreel/internal/process/transport"
)

const (
	// longestWait bounds what a client may ask for.
	longestWait = 2 * time.Minute
	// lateShare is what a late answer is worth of one in time. The configuration doesn't
	// say; with less, requests that will be late would be refused.
	lateShare = 0.6
)

// service is what a proxy runs for one service: the engine with its decisions, and the
// connections to the backends.
type service struct {
	name       string
	engine     *engine.Engine
	carrier    *httpproxy.Carrier
	advisor    *routing.Advisor
	bounds     Bounds
	engines    bool
	healthPath atomic.Pointer[string]
	cancel     context.CancelFunc
	proxies    int
	classes    []balancer.Class
	rank, zone int
	listed     listing
}

// listing is what a list of backends was made of.
type listing struct {
	made      bool
	revision  uint64 // of the service's backends
	evacuated string // the zones
}

// Bounds are the figures of the rules that a gateway keeps.
type Bounds struct {
	ColdExcess, ColdSlack float64
	Repeats               budgetshare.RepeatsConfig
}

func (b Bounds) coldOf(cfg *configuration.Service) budgetshare.ColdConfig {
	return budgetshare.ColdConfig{PerSecond: cfg.WarmupRequestsPerS, Excess: b.ColdExcess, Slack: b.ColdSlack}
}

// identity is what a proxy is among the others.
type identity struct {
	name  string
	zones []string // all, sorted
	zone  string
}

func (i identity) rank() int {
	hash := fnv.New32a()
	io.WriteString(hash, i.name)
	return int(hash.Sum32() >> 1)
}

// zoneIndex is a zone's number; one that is not known is far from all.
func (i identity) zoneIndex(zone string) int {
	if at, found := slices.BinarySearch(i.zones, zone); found {
		return at
	}
	return len(i.zones)
}

// classKey is what the class of a route is told by: what decisions on its requests go by.
type classKey struct {
	class              string
	repeatable         bool
	targetLatencyMS    float64
	attempts, priority int
}

func keyOf(r *configuration.Route) classKey {
	return classKey{r.Class, r.Idempotent(), r.TargetLatencyMS, r.AttemptLimit(), r.Priority}
}

// className names the class of a route.
func className(r *configuration.Route) string {
	k := keyOf(r)
	return fmt.Sprintf("%s %v %v %d %d", k.class, k.repeatable, k.targetLatencyMS, k.attempts, k.priority)
}

func classOf(r *configuration.Route) balancer.Class {
	aim := r.TargetLatency()
	if aim <= 0 {
		aim = r.Timeout()
	}
	class := balancer.Class{
		Name: className(r), Aim: aim, GiveUp: longestWait, LateShare: lateShare, Value: 1,
		Generates: r.Streaming(), MostRuns: r.AttemptLimit(),
	}
	if r.Idempotent() {
		class.Effect = balancer.Safe
	}
	return class
}

// classesOf are the classes of all routes that may use a service, in order.
func classesOf(document *configuration.Document, name string) []balancer.Class {
	found := map[classKey]*configuration.Route{}
	for i := range document.Routes {
		route := &document.Routes[i]
		route.EachService(func(service string, _ float64) {
			if service == name {
				found[keyOf(route)] = route
			}
		})
	}
	classes := make([]balancer.Class, 0, len(found))
	for _, route := range found {
		classes = append(classes, classOf(route))
	}
	slices.SortFunc(classes, func(a, b balancer.Class) int { return cmp.Compare(a.Name, b.Name) })
	return classes
}

func (s *service) settings() balancer.Config {
	return routing.BalancerConfig(s.classes, s.proxies, s.rank, s.zone, s.advisor)
}

// newService starts a service. It needs at least one class.
func newService(cfg *configuration.Service, classes []balancer.Class, proxies int, self identity, bounds Bounds,
	room *budget.Budget, connections int, dial transport.DialFunc, figures *serviceFigures, log logr.Logger,
) (*service, error) {
	s := &service{
		name: cfg.Name, engines: cfg.Engine != nil, classes: classes, proxies: proxies, rank: self.rank(),
		zone: self.zoneIndex(self.zone), bounds: bounds,
	}
	s.advisor = routing.New(routing.Config{Self: self.name, ServesModels: s.engines, Warmup: bounds.coldOf(cfg), Repeats: bounds.Repeats},
		engine.ClockStart)
	s.healthPath.Store(&cfg.HealthPath)
	log = log.WithValues("service", cfg.Name)
	var err error
	s.engine, err = engine.New(engine.Config{
		Settings: s.settings(), Seed: uint64(s.rank), Listed: func() {},
		Logf: func(format string, args ...any) { log.V(1).Info(fmt.Sprintf(format, args...), "event", "decision") },
	})
	if err != nil {
		return nil, err
	}
	s.carrier = httpproxy.NewCarrier(s.engine, connections, nil, room)
	s.carrier.DialWith(dial)
	s.carrier.Speak(newDialect(func() string { return *s.healthPath.Load() }))
	s.engine.Carry(s.carrier)
	s.engine.ProbeWith(s.carrier)
	observers := []engine.Observer{figures}
	if detail := log.V(1); detail.Enabled() {
		observers = append(observers, &tracer{detail})
	}
	s.engine.Observe(engine.Join(observers...))
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.engine.Run(ctx)
	return s, nil
}

// stop ends the service. What it has in hand fails.
func (s *service) stop() {
	done := make(chan struct{})
	s.engine.Post(func() {
		s.engine.FailAll(true)
		close(done)
	})
	<-done
	s.cancel()
	s.carrier.Close()
}

// configure puts another configuration in force.
func (s *service) configure(cfg *configuration.Service, classes []balancer.Class, proxies int, log logr.Logger) {
	s.healthPath.Store(&cfg.HealthPath)
	cold := s.bounds.coldOf(cfg)
	s.engine.Post(func() { s.advisor.ConfigureWarmup(cold) })
	if s.proxies == proxies && slices.Equal(s.classes, classes) {
		return
	}
	s.proxies, s.classes = proxies, classes
	settings := s.settings()
	s.engine.Post(func() {
		if err := s.engine.Reconfigure(settings); err != nil {
			log.Error(err, "a service keeps its settings", "event", "configuration", "service", s.name)
		}
	})
}

// list tells the engine of the backends.
func (s *service) list(backends []*api.Backend, self identity, evacuated func(zone string) bool) {
	list := engine.List{Kind: balancer.ListFull}
	for _, b := range backends {
		if b.Service != s.name {
			continue
		}
		state := balancer.Ready
		if b.Draining || evacuated(b.Zone) {
			state = balancer.Draining
		}
		list.Entries = append(list.Entries, engine.Entry{
			Name: b.Id, Addr: b.Address, State: state,
			Zone: self.zoneIndex(b.Zone), Kind: -1, Cell: -1,
		})
	}
	s.engine.Post(func() {
		s.engine.List(list)
		var known []routing.Backend
		for _, b := range backends {
			listed := s.engine.Backend(b.Id)
			if listed == nil || b.Service != s.name {
				continue
			}
			k := routing.Backend{
				Backend: prefixcache.Backend{ID: listed.ID, Slots: int(b.Slots)}, Name: b.Id,
				WarmupLeft: time.Duration(b.WarmupLeftMs) * time.Millisecond,
			}
			for _, m := range b.Models {
				k.Held = append(k.Held, prefixcache.Held{Model: m.Name, Adapters: m.Adapters})
			}
			known = append(known, k)
		}
		s.advisor.SetBackends(s.engine.Now(), known)
	})
}

// sharedWith tells the budgets who shares them.
func (s *service) sharedWith(names []string, fresh bool) {
	s.engine.Post(func() { s.advisor.SetSharers(s.engine.Now(), names, fresh) })
}

// takeRepeat takes one repeat from the budget for what the engine knows nothing of.
func (s *service) takeRepeat() bool {
	taken := make(chan bool, 1)
	s.engine.Post(func() { taken <- s.advisor.Repeats(s.engine.Now()) })
	select {
	case took := <-taken:
		return took
	case <-s.engine.Done():
		return false
	}
}
