package emulator

import (
	"time"

	"marlreel/internal/placement"
)

const (
	// planInterval is the time between two plans, and orderDelay the one-way delay of orders and reports.
	planInterval = 100 * time.Millisecond
	orderDelay   = 2 * time.Millisecond
	// reportLag is how long a backend still reports an order as running after its completion. The planner requests a
	// report at most once per reportInterval, starting reportLead before the expected completion of an order.
	reportLag      = 100 * time.Millisecond
	reportInterval = 180 * time.Millisecond
	reportLead     = 50 * time.Millisecond
	// instantOrderTime is the time after which a near-instant order is assumed to be completed, without a report.
	instantOrderTime = 60 * time.Millisecond
	// distributionDelay is the interval at which changes of the loaded models are distributed to all proxies.
	distributionDelay = 120 * time.Millisecond
)

// placer drives the planner as the holder of the placement lease does.
type placer struct {
	sim         *simulation
	planner     *placement.Planner
	requestedAt map[string]time.Duration
	completedAt map[string]time.Duration
}

func newPlacer(w *simulation) *placer {
	c := &w.cfg
	p := &placer{sim: w, planner: placement.New(0), requestedAt: map[string]time.Duration{}, completedAt: map[string]time.Duration{}}
	service := placement.Service{
		Models: map[string]placement.Model{}, CapacityMB: c.Engine.CapacityMB, MaxAdapters: c.Engine.MaxAdapters,
		MaxLoadsPerSecond: c.Engine.MaxLoadsPerSecond,
	}
	for _, name := range c.models() {
		service.Models[name] = placement.Model{Name: name, SizeMB: c.ModelMB, LoadTime: c.Engine.LoadTime, AdapterSizeMB: c.AdapterMB}
	}
	p.planner.Configure(service)
	return p
}

// start gives the planner the backends and starts the periodic planning.
func (p *placer) start() {
	var list []placement.Backend
	for _, b := range p.sim.backends {
		list = append(list, placement.Backend{ID: b.id, Zone: zoneName(b.zone), Usable: true, Loaded: b.loadedNames()})
	}
	p.planner.SetBackends(0, list)
	p.sim.clock.every(planInterval, 0, p.step)
}

// step requests due reports, makes one plan and sends its orders.
func (p *placer) step() {
	now := p.sim.clock.now
	for _, id := range p.planner.UnknownBackends() {
		p.requestReport(id)
	}
	p.planner.VisitPendingOrders(now, func(o placement.Order, since, expected time.Duration, instant bool) {
		switch {
		case instant && now-since >= instantOrderTime:
			if loaded, done := p.planner.AssumeCompleted(now, o); done {
				p.sim.observeLoaded(o.Backend, loaded)
			}
		case !instant && now-since >= expected-reportLead:
			p.requestReport(o.Backend)
		}
	})
	for _, o := range p.planner.Plan(now) {
		delay := p.planner.UnloadDelay(now, o)
		if delay > 0 {
			p.sim.observeLoaded(o.Backend, p.planner.LoadedAfterUnload(o))
		}
		p.sim.clock.after(orderDelay+delay, func() { p.sendOrder(o) })
	}
}

// requestReport requests a backend's report, at most once per reportInterval.
func (p *placer) requestReport(id string) {
	now := p.sim.clock.now
	if at, before := p.requestedAt[id]; before && now-at < reportInterval {
		return
	}
	p.requestedAt[id] = now
	b := p.sim.byID[id]
	p.sim.clock.after(orderDelay, func() {
		at, was := p.completedAt[id]
		lags := was && p.sim.clock.now-at < reportLag
		report := placement.Report{Busy: b.busy || lags, Revision: b.revision, Loaded: b.loadedNames()}
		p.sim.clock.after(orderDelay, func() {
			if p.planner.OnReport(p.sim.clock.now, id, report) {
				p.sim.observeLoaded(id, report.Loaded)
			}
		})
	})
}

// sendOrder starts an order at its backend, which rejects it when busy or at another revision.
func (p *placer) sendOrder(o placement.Order) {
	now := p.sim.clock.now
	b := p.sim.byID[o.Backend]
	if b.busy || o.Revision != b.revision {
		p.planner.OnOrderRejected(now, o)
		return
	}
	done := func() { p.completedAt[b.id] = p.sim.clock.now }
	p.planner.OnOrderAccepted(now, o)
	if o.Operation == placement.Load {
		if o.Adapter == "" {
			p.sim.score.Loads++
		}
		b.load(o.Model, o.Adapter, done)
		return
	}
	p.sim.observeLoaded(b.id, p.planner.LoadedAfterUnload(o))
	b.unload(o.Model, o.Adapter, done)
}
