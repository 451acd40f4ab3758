package placement

import (
	"slices"
	"time"
)

const (
	// maxReportAge is how old a report of a backend may be.
	maxReportAge = 600 * time.Millisecond
	// failureBackoff is how long a backend gets no order after one that failed.
	failureBackoff = 300 * time.Millisecond
	// rejectionBackoff is how long a backend gets no order after one that it has rejected.
	rejectionBackoff = 80 * time.Millisecond
	// unansweredTimeout is after what time the answer to an order counts as lost: calls to backends time out sooner.
	unansweredTimeout = 2 * time.Second
	// idleRate is the request rate, a second, up to which a model is taken to have no request running: an unload
	// waits for those that run.
	idleRate = 0.3
	// unloadNotice is how long before an order to unload a model that is in demand the proxies are notified: a change
	// of what a backend has loaded takes about so long to reach them. A backend that is unloading rejects requests for
	// the model, and each request that has to go elsewhere takes from the retry budget.
	unloadNotice = 300 * time.Millisecond
	// instantDuration is about how long an order takes that needs no load: an unload, or any order for an adapter.
	instantDuration = 20 * time.Millisecond
	// localLoadSpeedup is by how much a load from the backend's own disk is faster than one from the store.
	localLoadSpeedup = 4
)

// Report is a backend's answer when it is asked for its state.
type Report struct {
	Busy     bool                // it carries out an order
	Revision uint64              // orders that it has accepted so far
	Loaded   map[string][]string // adapters by model
}

// OnReport records a backend's report. It tells whether the order that was pending is done. A report that is older
// than the last order changes nothing.
func (p *Planner) OnReport(now time.Duration, id string, r Report) (done bool) {
	b := p.backends[id]
	if b == nil {
		return false
	}
	if r.Revision < b.revision && now-b.pendingAt < maxReportAge {
		return false // from before the last order
	}
	if b.awaitsAnswer(now) && r.Revision <= b.pending.Revision {
		return false // from before the order whose answer is outstanding
	}
	if r.Busy {
		b.recordBusy(r.Revision)
		return false
	}
	done = b.pending != nil
	b.pending, b.reported, b.revision = nil, true, r.Revision
	b.setLoaded(now, r.Loaded)
	return done
}

// OnOrderAccepted records that a backend carries out an order.
func (p *Planner) OnOrderAccepted(now time.Duration, o Order) {
	b := p.backends[o.Backend]
	if b == nil || b.pending == nil || *b.pending != o {
		return
	}
	b.pendingAt, b.accepted = now, true
	b.revision = o.Revision + 1
}

// OnOrderFailed records that a backend does not carry out an order, or that it is not known whether it does. The
// backend gets no other order before it has reported.
func (p *Planner) OnOrderFailed(now time.Duration, o Order) {
	if b := p.backends[o.Backend]; b != nil {
		b.pending, b.reported, b.backoffUntil = nil, false, now+failureBackoff
	}
}

// OnOrderRejected records that a backend has rejected an order, being still busy. Memory that was freed there for a
// load stays reserved.
func (p *Planner) OnOrderRejected(now time.Duration, o Order) {
	b := p.backends[o.Backend]
	if b == nil {
		return
	}
	b.pending, b.reported, b.backoffUntil = nil, false, now+rejectionBackoff
	if o.Operation == Load && o.Adapter == "" && b.reservedModel == "" {
		b.reservedModel, b.reservedAt = o.Model, now
	}
}

// VisitPendingOrders calls visit with each order that is being carried out, in the order of the backends' ids: since
// when, how long it is expected to take, and whether it is instant, so that it can be assumed to be completed soon
// (AssumeCompleted). Orders whose answer is outstanding are left out until that counts as lost: whoever sent them will
// report how that ended.
func (p *Planner) VisitPendingOrders(now time.Duration, visit func(o Order, since, expected time.Duration, instant bool)) {
	for _, b := range p.sortedBackends() {
		switch {
		case b.pending == nil:
		case b.accepted:
			visit(*b.pending, b.pendingAt, p.expectedDuration(b, *b.pending), p.isInstant(now, *b.pending))
		case now-b.pendingAt > unansweredTimeout:
			visit(*b.pending, b.pendingAt, 0, false)
		}
	}
}

func (p *Planner) isInstant(now time.Duration, o Order) bool {
	if o.Adapter != "" {
		return true
	}
	return o.Operation == Unload && p.modelRate(now, o.Model) <= idleRate
}

// expectedDuration is about how long an order takes.
func (p *Planner) expectedDuration(b *backendState, o Order) time.Duration {
	if o.Operation == Unload || o.Adapter != "" {
		return instantDuration
	}
	loadTime := p.service.Models[o.Model].LoadTime
	if b.everLoaded[o.Model] {
		return loadTime / localLoadSpeedup
	}
	return loadTime
}

// UnloadDelay is how long an order has to wait after the proxies were notified of what the backend will have loaded
// after it. 0: it needs no notice.
func (p *Planner) UnloadDelay(now time.Duration, o Order) time.Duration {
	if o.Operation != Unload || o.Adapter != "" || p.modelRate(now, o.Model) <= idleRate {
		return 0
	}
	return unloadNotice
}

// LoadedAfterUnload is what a backend will have loaded once an order to unload is done: adapters by model.
func (p *Planner) LoadedAfterUnload(o Order) map[string][]string {
	b := p.backends[o.Backend]
	if b == nil {
		return nil
	}
	loaded := b.loadedNames()
	if o.Adapter == "" {
		delete(loaded, o.Model)
		return loaded
	}
	loaded[o.Model] = slices.DeleteFunc(loaded[o.Model], func(name string) bool { return name == o.Adapter })
	return loaded
}

// AssumeCompleted counts an accepted order as completed, and gives what the backend then has loaded. done is false,
// and nothing changes, where the order is not pending or was not accepted, or the backend carries out another one: an order
// without an answer may never have reached the backend, and a load into the memory that it was to free would exceed the
// memory there.
func (p *Planner) AssumeCompleted(now time.Duration, o Order) (loaded map[string][]string, done bool) {
	b := p.backends[o.Backend]
	if b == nil || b.pending == nil || *b.pending != o || !b.accepted || !b.reported {
		return nil, false
	}
	b.pending = nil
	switch {
	case o.Operation == Unload:
		loaded = p.LoadedAfterUnload(o)
	case o.Adapter == "":
		loaded = b.loadedNames()
		loaded[o.Model] = nil
	default:
		loaded = b.loadedNames()
		loaded[o.Model] = append(loaded[o.Model], o.Adapter)
	}
	b.setLoaded(now, loaded)
	return loaded, true
}

// issueOrder makes an order pending.
func (p *Planner) issueOrder(now time.Duration, b *backendState, operation Operation, key Key) Order {
	o := Order{Backend: b.id, Operation: operation, Key: key, Revision: b.revision}
	p.updateSnapshot(b, func() { b.pending, b.pendingAt, b.accepted = &o, now, false })
	delete(p.evictions, b)
	return o
}

// issueLoad issues the order to load a model, if the store's rate limit allows one more load.
func (p *Planner) issueLoad(now time.Duration, b *backendState, model string) (Order, bool) {
	if !b.everLoaded[model] && !p.storeLoads.take(now, p.service.MaxLoadsPerSecond) {
		return Order{}, false
	}
	p.updateSnapshot(b, func() { b.reservedModel = "" })
	return p.issueOrder(now, b, Load, Key{Model: model}), true
}
