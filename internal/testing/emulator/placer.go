package emulator

import (
	"time"

	"marlreel/internal/placement"
)

const (
	// planEvery is how often the planner looks, and orderWay how long an order is on its way.
	planEvery = 100 * time.Millisecond
	orderWay  = 2 * time.Millisecond
	// reportLag is how old a backend's report is; reportAgain and reportLead are when it is asked.
	reportLag   = 100 * time.Millisecond
	reportAgain = 180 * time.Millisecond
	reportLead  = 50 * time.Millisecond
	// smallOrder is after what time an order that takes next to none counts as done.
	smallOrder = 60 * time.Millisecond
	// newsTime is how long news of what a backend holds takes to all proxies.
	newsTime = 120 * time.Millisecond
)

// placer drives the planner as its agent does.
type placer struct {
	world   *world
	planner *placement.Planner
	askedAt map[string]time.Duration
	doneAt  map[string]time.Duration
}

func newPlacer(w *world) *placer {
	c := &w.cfg
	p := &placer{world: w, planner: placement.New(0), askedAt: map[string]time.Duration{}, doneAt: map[string]time.Duration{}}
	service := placement.Service{
		Models: map[string]placement.Model{}, CapacityMB: c.Engine.CapacityMB, MaxAdapters: c.Engine.AdapterSlots,
		MaxLoadsPerSecond: c.Engine.LoadPerSecond,
	}
	for _, name := range c.models() {
		service.Models[name] = placement.Model{Name: name, SizeMB: c.ModelMB, LoadTime: c.Engine.LoadTime, AdapterSizeMB: c.AdapterMB}
	}
	p.planner.Configure(service)
	return p
}

// start makes the backends known.
func (p *placer) start() {
	var list []placement.Backend
	for _, b := range p.world.backends {
		list = append(list, placement.Backend{ID: b.id, Zone: zoneName(b.zone), Usable: true, Loaded: b.holdings()})
	}
	p.planner.SetBackends(0, list)
	p.world.clock.every(planEvery, 0, p.step)
}

// step is one look of the planner.
func (p *placer) step() {
	now := p.world.clock.now
	for _, id := range p.planner.UnknownBackends() {
		p.ask(id)
	}
	p.planner.VisitPendingOrders(now, func(o placement.Order, since, expected time.Duration, quick bool) {
		switch {
		case quick && now-since >= smallOrder:
			if holds, done := p.planner.AssumeCompleted(now, o); done {
				p.world.observe(o.Backend, holds)
			}
		case !quick && now-since >= expected-reportLead:
			p.ask(o.Backend)
		}
	})
	for _, o := range p.planner.Plan(now) {
		notice := p.planner.UnloadDelay(now, o)
		if notice > 0 {
			p.world.observe(o.Backend, p.planner.LoadedAfterUnload(o))
		}
		p.world.clock.after(orderWay+notice, func() { p.give(o) })
	}
}

// ask asks a backend for its report.
func (p *placer) ask(id string) {
	now := p.world.clock.now
	if at, before := p.askedAt[id]; before && now-at < reportAgain {
		return
	}
	p.askedAt[id] = now
	b := p.world.byID[id]
	p.world.clock.after(orderWay, func() {
		at, was := p.doneAt[id]
		lags := was && p.world.clock.now-at < reportLag
		report := placement.Report{Busy: b.busy || lags, Revision: b.orders, Loaded: b.holdings()}
		p.world.clock.after(orderWay, func() {
			if p.planner.OnReport(p.world.clock.now, id, report) {
				p.world.observe(id, report.Loaded)
			}
		})
	})
}

// give has a backend carry an order out.
func (p *placer) give(o placement.Order) {
	now := p.world.clock.now
	b := p.world.byID[o.Backend]
	if b.busy || o.Revision != b.orders {
		p.planner.OnOrderRejected(now, o)
		return
	}
	done := func() { p.doneAt[b.id] = p.world.clock.now }
	p.planner.OnOrderAccepted(now, o)
	if o.Operation == placement.Load {
		if o.Adapter == "" {
			p.world.score.Loads++
		}
		b.load(o.Model, o.Adapter, done)
		return
	}
	p.world.observe(b.id, p.planner.LoadedAfterUnload(o))
	b.unload(o.Model, o.Adapter, done)
}
