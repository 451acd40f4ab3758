package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/placement"
	"marlreel/internal/process/bootstrap"
)

const (
	// planEvery is how often a placer looks at what is and what is wanted.
	planEvery = 100 * time.Millisecond
	// planSoon is how long what has happened waits for more to happen.
	planSoon = 15 * time.Millisecond
	// reportAgain is the time between two questions for an order that is under way.
	reportAgain = 180 * time.Millisecond
	// reportLead is how long before an order's expected end the first question is put.
	reportLead = 50 * time.Millisecond
	// smallOrder is after what time an order for an adapter, or to unload, counts as done.
	smallOrder = 60 * time.Millisecond
	// mostEvents bounds what waits for a placer.
	mostEvents = 1024
	// describeEvery is how often a placer logs how things stand, and mostDescribed of how
	// many models.
	describeEvery = time.Second
	mostDescribed = 5
)

// placer places the models of one service while this agent holds that role.
type placer struct {
	service  string
	agent    *Agent
	fence    uint64
	planner  *placement.Planner
	began    time.Time
	backends map[string]*api.Backend
	askedAt  map[string]time.Time
	revision uint64 // of the feed, as it was read last
	readable bool   // there was a configuration of the service then
	events   chan func()
	log      logr.Logger

	describedAt time.Duration
}

func newPlacer(a *Agent, service string, fence uint64) *placer {
	return &placer{
		service: service, agent: a, fence: fence, planner: placement.New(time.Second), began: time.Now().Add(-time.Second),
		backends: map[string]*api.Backend{}, askedAt: map[string]time.Time{},
		events: make(chan func(), mostEvents), log: a.log.WithValues("service", service, "fence", fence),
	}
}

func (p *placer) now() time.Duration { return time.Since(p.began) }

// allowed tells whether this agent holds the role under this token at this moment.
func (p *placer) allowed() bool {
	_, allowed := p.permit()
	return allowed
}

// permit tells the same, and until when it holds by what is known now.
func (p *placer) permit() (until time.Time, allowed bool) {
	lease, runs := p.agent.leases.lease(lease.PlacementKey(p.service))
	return lease.until, runs && lease.fence == p.fence
}

// run works until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	p.log.Info("places models", "event", "placement")
	var soon <-chan time.Time
	for {
		select {
		case event := <-p.events:
			event()
			if soon == nil {
				soon = time.After(planSoon)
			}
			continue
		case <-soon:
		case <-ticker.C:
		case <-ctx.Done():
			p.log.Info("places models no more", "event", "placement")
			return
		}
		soon = nil
		if p.allowed() {
			p.step()
		}
	}
}

// post has something done on the placer's goroutine.
func (p *placer) post(event func()) {
	select {
	case p.events <- event:
	default: // it is asked again
	}
}

// step looks at what is and gives the orders that are due.
func (p *placer) step() {
	if !p.readFeed() {
		return
	}
	now := p.now()
	for _, id := range p.planner.UnknownBackends() {
		p.ask(id, reportAgain)
	}
	p.planner.VisitPendingOrders(now, func(o placement.Order, since, expected time.Duration, quick bool) {
		switch {
		case quick && now-since >= smallOrder:
			p.assumeDone(o)
		case !quick && now-since >= expected-reportLead:
			p.ask(o.Backend, reportAgain)
		}
	})
	for _, o := range p.planner.Plan(now) {
		p.give(o)
	}
	p.describe(now)
}

// describe logs how things stand, for who looks into single decisions.
func (p *placer) describe(now time.Duration) {
	if !p.log.V(1).Enabled() || now-p.describedAt < describeEvery {
		return
	}
	p.describedAt = now
	busy, known := p.planner.CountBackends()
	p.log.V(1).Info("placement", "event", "placement-status", "backends", len(p.backends), "known", known, "busy", busy)
	for _, s := range p.planner.Status(now)[:min(mostDescribed, len(p.planner.Status(now)))] {
		p.log.V(1).Info("model", "event", "placement-model", "model", s.Model, "rate", s.RequestsPerSecond, "work", s.WorkMSPerSecond,
			"waiting", s.Waiting, "holders", s.Replicas, "loading", s.Loading)
	}
}

// readFeed takes in the configuration and the backends.
func (p *placer) readFeed() bool {
	revision := p.agent.feed.Revision()
	if revision != p.revision || !p.readable {
		p.readable = p.read()
		p.revision = revision
	}
	return p.readable
}

// read takes the feed in whole.
func (p *placer) read() bool {
	var cfg *configuration.Service
	evacuated := map[string]bool{}
	p.agent.feed.ReadState(func(m *state.Machine) {
		if document := m.Document(); document != nil {
			cfg = document.Service(p.service)
		}
		for _, zone := range m.EvacuatedZones() {
			evacuated[zone] = true
		}
	})
	if cfg == nil || cfg.Engine == nil {
		return false
	}
	p.planner.Configure(serviceOf(cfg, p.agent.settings.Bounds))
	var list []placement.Backend
	clear(p.backends)
	for _, b := range p.agent.feed.Backends() {
		if b.Service != p.service {
			continue
		}
		p.backends[b.Id] = b
		l := placement.Backend{ID: b.Id, Zone: b.Zone, Usable: !b.Draining && !evacuated[b.Zone], Loaded: map[string][]string{}}
		for _, m := range b.Models {
			l.Loaded[m.Name] = m.Adapters
		}
		list = append(list, l)
	}
	p.planner.SetBackends(p.now(), list)
	return true
}

func serviceOf(cfg *configuration.Service, bounds bootstrap.Bounds) placement.Service {
	s := placement.Service{
		Models: map[string]placement.Model{}, CapacityMB: cfg.Engine.WeightsMB,
		MaxAdapters: cfg.Engine.AdapterCapacity, MaxLoadsPerSecond: cfg.Engine.LoadPerS,
	}
	for _, m := range cfg.Engine.Models {
		s.Models[m.Name] = placement.Model{
			Name: m.Name, SizeMB: m.WeightsMB, LoadTime: bootstrap.Seconds(m.LoadTimeS),
			AdapterSizeMB: m.AdapterSizeMB,
		}
	}
	return s
}

// ask asks a backend what it holds, if it was not asked of late.
func (p *placer) ask(id string, again time.Duration) {
	b := p.backends[id]
	if b == nil || time.Since(p.askedAt[id]) < again {
		return
	}
	p.askedAt[id] = time.Now()
	go func() {
		report, err := p.agent.backends.report(b.Address, id)
		if err != nil {
			return
		}
		p.post(func() {
			if p.planner.OnReport(p.now(), id, report) {
				p.agent.observations.add(id, report.Loaded)
			}
		})
	}()
}

// give sends an order, and before it word of what it takes away, where requests come for that.
func (p *placer) give(o placement.Order) {
	b := p.backends[o.Backend]
	if b == nil {
		return
	}
	notice := p.planner.UnloadDelay(p.now(), o)
	if notice > 0 {
		p.agent.observations.add(o.Backend, p.planner.LoadedAfterUnload(o))
	}
	p.log.V(1).Info("order", "event", "order", "backend", o.Backend, "operation", operationWords[o.Operation],
		"model", o.Model, "adapter", o.Adapter)
	message := order{
		Operation: operationWords[o.Operation], Model: o.Model, Adapter: o.Adapter, Revision: o.Revision,
		Holder: p.agent.holder, Fence: p.fence,
	}
	go func() {
		rest(context.Background(), notice)
		outcome := p.agent.backends.order(b.Address, o.Backend, message, p.permit)
		p.post(func() { p.ended(o, outcome) })
	}()
}

// ended takes in how sending an order went.
func (p *placer) ended(o placement.Order, outcome orderOutcome) {
	switch outcome {
	case orderTaken:
		p.planner.OnOrderAccepted(p.now(), o)
		if o.Operation == placement.Unload {
			p.agent.observations.add(o.Backend, p.planner.LoadedAfterUnload(o))
		}
	case orderRefused:
		p.planner.OnOrderRejected(p.now(), o)
	case orderFenced:
		p.log.Info("another one holds a higher token", "event", "placement", "backend", o.Backend)
		p.agent.leases.drop()
	default:
		p.planner.OnOrderFailed(p.now(), o)
	}
}

// assumeDone counts an order as done that takes next to no time: a report would be older.
func (p *placer) assumeDone(o placement.Order) {
	if holds, done := p.planner.AssumeCompleted(p.now(), o); done {
		p.agent.observations.add(o.Backend, holds)
	}
}

// ---- The roles of this agent ----

// placers starts and stops placers as roles come and go.
type placers struct {
	agent   *Agent
	mu      sync.Mutex
	running map[string]*runningPlacer
}

type runningPlacer struct {
	placer *placer
	cancel context.CancelFunc
}

// follow keeps one placer for each role that is held, until ctx ends.
func (s *placers) follow(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.adjust(ctx)
		if !s.agent.holdsAny() && s.none() {
			s.agent.awaitRole(ctx)
			continue
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// none tells whether no placer runs.
func (s *placers) none() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0
}

func (s *placers) adjust(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var document *configuration.Document
	s.agent.feed.ReadState(func(m *state.Machine) { document = m.Document() })
	wanted := map[string]uint64{}
	if document != nil {
		for i := range document.Services {
			name := document.Services[i].Name
			if fence, holds := s.agent.leases.fence(lease.PlacementKey(name)); holds && document.Services[i].Engine != nil {
				wanted[name] = fence
			}
		}
	}
	for name, r := range s.running {
		if fence, still := wanted[name]; !still || fence != r.placer.fence {
			r.cancel()
			delete(s.running, name)
		}
	}
	for name, fence := range wanted {
		if s.running[name] != nil {
			continue
		}
		running, cancel := context.WithCancel(ctx)
		p := newPlacer(s.agent, name, fence)
		s.running[name] = &runningPlacer{p, cancel}
		go p.run(running)
	}
}

// asked hands a report on to the placers that it concerns.
func (s *placers) asked(node, zone string, demands []*api.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		r := s.running[d.Service]
		if r == nil {
			continue
		}
		p := r.placer
		p.post(func() {
			p.planner.RecordLatencyTarget(d.Model, bootstrap.Milliseconds(float64(d.LatencyTargetMs)), int(d.Arrived))
			p.planner.RecordDemand(p.now(), node, zone, placement.Key{Model: d.Model, Adapter: d.Adapter}, int(d.Arrived), d.WorkMs, int(d.Waiting))
		})
	}
}
