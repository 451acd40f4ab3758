package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"marlreel/internal/api"
	"marlreel/internal/balancer"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/dataplane/routing"
	"marlreel/internal/process/logevent"
)

// service is what a proxy runs for one service: the engine with its balancer, the connections to the backends, and
// the balancer's advisor, which belongs to the engine's goroutine.
type service struct {
	name         string
	servesModels bool // its backends load models
	engine       *engine.Engine
	carrier      *httpproxy.Carrier
	advisor      *routing.Advisor
	budgets      SharedBudgets
	healthPath   atomic.Pointer[string]
	cancel       context.CancelFunc
	hurry        <-chan struct{} // closed when a stop is to wait for no request
	rank, zone   int

	// What is in force, under the gateway's lock for updates.
	proxies    int
	classes    []balancer.Class
	membership membershipVersion
}

// membershipVersion is what the backends in force were set by.
type membershipVersion struct {
	set       bool
	revision  uint64 // of the service's backends
	evacuated string // the zones
}

// warmupConfig is what backends that have just started bear.
func (b SharedBudgets) warmupConfig(cfg *configuration.Service) budgetshare.WarmupConfig {
	return budgetshare.WarmupConfig{PerSecond: cfg.WarmupRequestsPerS, Excess: b.WarmupExcess, Slack: b.WarmupSlack}
}

func (s *service) balancerConfig() balancer.Config {
	return routing.BalancerConfig(s.classes, s.proxies, s.rank, s.zone, s.advisor)
}

// newService starts a service. It needs at least one class. It runs until stop, also where ctx ends before; from then on
// stop waits for no request.
func (g *Gateway) newService(ctx context.Context, cfg *configuration.Service, classes []balancer.Class, proxies int) (*service, error) {
	s := &service{
		name: cfg.Name, servesModels: cfg.Engine != nil, classes: classes, proxies: proxies, rank: g.identity.rank(),
		zone: g.identity.zoneIndex(g.identity.zone), budgets: g.budgets, hurry: ctx.Done(),
	}
	s.advisor = routing.New(routing.Config{
		Self: g.identity.name, ServesModels: s.servesModels, Warmup: g.budgets.warmupConfig(cfg), RetryBudget: g.budgets.Retry,
	}, engine.ClockStart)
	s.healthPath.Store(&cfg.HealthPath)
	log := g.log.WithValues(logevent.KeyService, cfg.Name)
	metrics := newServiceMetrics(g.metrics, g.metricsLabel(cfg.Name))
	observers := []engine.Observer{metrics}
	var err error
	s.engine, err = engine.New(engine.Config{
		Settings: s.balancerConfig(), Seed: uint64(s.rank), OnFirstMembership: func() {},
		Logf: func(format string, args ...any) {
			log.V(1).Info(logevent.Decision, logevent.KeyDetail, fmt.Sprintf(format, args...))
		},
	})
	if err != nil {
		return nil, eris.Wrapf(err, "starting the engine of service %s", cfg.Name)
	}
	s.carrier = httpproxy.NewCarrier(s.engine, g.maxConnections, nil, g.memory)
	s.carrier.SetDialer(g.dial)
	s.carrier.SetDialect(newDialect(func() string { return *s.healthPath.Load() }))
	s.carrier.OnSurplus(func(*engine.Backend, time.Duration) { metrics.surplus.Inc() })
	s.engine.AddCarrier(s.carrier)
	s.engine.SetHealthChecker(s.carrier)
	if detail := log.V(1); detail.Enabled() {
		observers = append(observers, &requestTracer{detail})
	}
	s.engine.SetObserver(engine.Join(observers...))
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	go s.engine.Run(running)
	return s, nil
}

// callsInterval is how often a service that stops looks whether its backends are done.
const callsInterval = 50 * time.Millisecond

// stop ends the service, and waits for its engine: once its backends have answered what they work on, where there is time
// for that. What is pending then fails.
func (s *service) stop() {
	s.awaitCalls()
	failed := make(chan struct{})
	s.engine.Post(func() {
		s.engine.FailAll(true)
		close(failed)
	})
	<-failed
	s.cancel()
	s.carrier.Close()
	<-s.engine.Done()
}

// awaitCalls takes the service's backends away, so that nothing more is sent to them, and waits until those that have
// requests are done, or there is no time for that.
func (s *service) awaitCalls() {
	s.engine.Post(func() {
		s.engine.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull})
		s.engine.RejectUnsent(0)
	})
	ticker := time.NewTicker(callsInterval)
	defer ticker.Stop()
	late := time.NewTimer(maxRequestTimeout)
	defer late.Stop()
	for s.openCalls() > 0 {
		select {
		case <-ticker.C:
		case <-late.C:
			return
		case <-s.hurry:
			return
		}
	}
}

// openCalls is how many calls the engine has. It runs.
func (s *service) openCalls() int {
	calls := make(chan int, 1)
	s.engine.Post(func() { calls <- s.engine.OpenCalls() })
	return <-calls
}

// configure puts another configuration in force.
func (s *service) configure(cfg *configuration.Service, classes []balancer.Class, proxies int, log logr.Logger) {
	s.healthPath.Store(&cfg.HealthPath)
	warmup := s.budgets.warmupConfig(cfg)
	s.engine.Post(func() { s.advisor.ConfigureWarmup(warmup) })
	if s.proxies == proxies && slices.Equal(s.classes, classes) {
		return
	}
	s.proxies, s.classes = proxies, classes
	settings := s.balancerConfig()
	s.engine.Post(func() {
		if err := s.engine.Reconfigure(settings); err != nil {
			log.Error(err, logevent.ServiceUpdateFailed, logevent.KeyService, s.name)
		}
	})
}

// setBackends sets the service's backends among all backends.
func (s *service) setBackends(all []*api.Backend, self identity, evacuated map[string]bool) {
	list := engine.Membership{Kind: balancer.MembershipFull}
	for _, b := range all {
		if b.Service != s.name {
			continue
		}
		state := balancer.Ready
		if b.Draining || evacuated[b.Zone] {
			state = balancer.Draining
		}
		list.Entries = append(list.Entries, engine.Entry{
			Name: b.Id, Addr: b.Address, State: state,
			Zone: self.zoneIndex(b.Zone), Kind: -1, Cell: -1,
		})
	}
	s.engine.Post(func() {
		s.engine.ApplyMembership(list)
		s.advisor.SetBackends(s.engine.Now(), s.advisedBackends(all))
	})
}

// advisedBackends are the service's backends as its advisor knows them. Only on the engine's goroutine.
func (s *service) advisedBackends(all []*api.Backend) []routing.Backend {
	var advised []routing.Backend
	for _, b := range all {
		listed := s.engine.Backend(b.Id)
		if listed == nil || b.Service != s.name {
			continue
		}
		backend := routing.Backend{
			Backend: prefixcache.Backend{ID: listed.ID, Slots: int(b.Slots)}, Name: b.Id,
			WarmupLeft: time.Duration(b.WarmupLeftMs) * time.Millisecond,
		}
		for _, m := range b.Models {
			backend.Loaded = append(backend.Loaded, prefixcache.LoadedModel{Model: m.Name, Adapters: m.Adapters})
		}
		advised = append(advised, backend)
	}
	return advised
}

// setSharers tells the budgets who shares them.
func (s *service) setSharers(names []string, fresh bool) {
	s.engine.Post(func() { s.advisor.SetSharers(s.engine.Now(), names, fresh) })
}

// takeRetry takes one retry from the budget for a call whose answer broke off, unless maxRuns backends may have run it
// already. It gives how many have.
func (s *service) takeRetry(c *call, maxRuns int) (runs int, taken bool) {
	type result struct {
		runs  int
		taken bool
	}
	results := make(chan result, 1)
	s.engine.Post(func() {
		runs := c.Runs()
		results <- result{runs, runs < maxRuns && s.advisor.TryRetry(s.engine.Now())}
	})
	select {
	case r := <-results:
		return r.runs, r.taken
	case <-s.engine.Done():
		return 0, false
	}
}
