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
// the balancer's advisor, which only the engine's goroutine may use.
type service struct {
	name         string
	servesModels bool // its backends load models
	engine       *engine.Engine
	carrier      *httpproxy.Carrier
	advisor      *routing.Advisor
	budgets      SharedBudgets
	healthPath   atomic.Pointer[string]
	cancel       context.CancelFunc
	stopNow      <-chan struct{} // once closed, stop waits for no request
	rank, zone   int

	// What was applied last; guarded by Gateway.mu.
	proxies    int
	classes    []balancer.Class
	membership membershipVersion
}

// membershipVersion identifies the state from which a service's backends were set.
type membershipVersion struct {
	set       bool
	revision  uint64 // of the service's backends
	evacuated string // the evacuated zones, sorted
}

// warmupConfig returns the limits of requests to backends that have just started.
func (b SharedBudgets) warmupConfig(cfg *configuration.Service) budgetshare.WarmupConfig {
	return budgetshare.WarmupConfig{PerSecond: cfg.WarmupRequestsPerS, Excess: b.WarmupExcess, Slack: b.WarmupSlack}
}

func (s *service) balancerConfig() balancer.Config {
	return routing.BalancerConfig(s.classes, s.proxies, s.rank, s.zone, s.advisor)
}

// newService starts a service, which needs at least one class. The service runs until stop is called, even if ctx ends
// before; once ctx has ended, stop waits for no request.
func (g *Gateway) newService(ctx context.Context, cfg *configuration.Service, classes []balancer.Class, proxies int) (*service, error) {
	s := &service{
		name: cfg.Name, servesModels: cfg.Engine != nil, classes: classes, proxies: proxies, rank: g.identity.rank(),
		zone: g.identity.zoneIndex(g.identity.zone), budgets: g.budgets, stopNow: ctx.Done(),
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

// openCallsPollInterval is how often a stopping service checks whether calls are still open.
const openCallsPollInterval = 50 * time.Millisecond

// stop stops the service and waits for its engine. Backends first get time to answer pending requests (awaitCalls);
// requests that are still pending then fail.
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

// awaitCalls removes the service's backends, so that nothing more is sent to them, and waits until no call is open,
// maxRequestTimeout is over or the process is shutting down.
func (s *service) awaitCalls() {
	s.engine.Post(func() {
		s.engine.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull})
		s.engine.RejectUnsent(0)
	})
	ticker := time.NewTicker(openCallsPollInterval)
	defer ticker.Stop()
	deadline := time.NewTimer(maxRequestTimeout)
	defer deadline.Stop()
	for s.openCalls() > 0 {
		select {
		case <-ticker.C:
		case <-deadline.C:
			return
		case <-s.stopNow:
			return
		}
	}
}

// openCalls returns the number of open calls. The engine must be running.
func (s *service) openCalls() int {
	calls := make(chan int, 1)
	s.engine.Post(func() { calls <- s.engine.OpenCalls() })
	return <-calls
}

// configure applies a new configuration.
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

// setBackends selects the service's backends from all backends and passes them to the engine and the advisor.
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

// advisedBackends returns the service's backends as the advisor takes them. Only the engine's goroutine may call it.
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

// setSharers sets the proxies that share the budgets.
func (s *service) setSharers(names []string, fresh bool) {
	s.engine.Post(func() { s.advisor.SetSharers(s.engine.Now(), names, fresh) })
}

// takeRetry takes one retry from the budget for a call whose answer broke off, unless maxRuns backends may have run it
// already. runs is how many may have.
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
