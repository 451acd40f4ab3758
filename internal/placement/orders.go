package placement

import (
	"slices"
	"time"
)

const (
	// maxReportAge is the greatest age of a report from a backend.
	maxReportAge = 600 * time.Millisecond
	// failureBackoff is how long a backend gets no order after a failed one.
	failureBackoff = 300 * time.Millisecond
	// rejectionBackoff is how long a backend gets no order after it rejected one.
	rejectionBackoff = 80 * time.Millisecond
	// unansweredTimeout is the time after which the response to an order counts as lost. Calls to backends time out
	// sooner.
	unansweredTimeout = 2 * time.Second
	// idleRate is the rate, in requests a second, up to which a model is assumed to have no request in flight. An unload
	// waits for the requests in flight.
	idleRate = 0.3
	// unloadNotice is how long before an order to unload a model in demand the proxies are notified. A change of a
	// backend's loaded models takes about this long to reach them. A backend that is unloading a model rejects requests
	// for it, and each retry elsewhere uses up retry budget.
	unloadNotice = 300 * time.Millisecond
	// instantDuration is about how long an order takes that loads no model: an unload, or any order for an adapter.
	instantDuration = 20 * time.Millisecond
	// localLoadSpeedup is how many times faster a load from the backend's own disk is than one from the store.
	localLoadSpeedup = 4
)

// Report is a backend's response to a request for its state.
type Report struct {
	Busy     bool                // an order is in progress
	Revision uint64              // number of orders that the backend has accepted so far
	Loaded   map[string][]string // adapters by model
}

// OnReport records a backend's report. It returns whether a pending order is done. A report from before the last order
// is ignored.
func (p *Planner) OnReport(now time.Duration, id string, r Report) (done bool) {
	b := p.backends[id]
	if b == nil {
		return false
	}
	if r.Revision < b.revision && now-b.pendingAt < maxReportAge {
		return false // from before the last order
	}
	if b.awaitsAnswer(now) && r.Revision <= b.pending.Revision {
		return false // from before the order whose response is outstanding
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

// OnOrderAccepted records that a backend has accepted an order and is carrying it out.
func (p *Planner) OnOrderAccepted(now time.Duration, o Order) {
	b := p.backends[o.Backend]
	if b == nil || b.pending == nil || *b.pending != o {
		return
	}
	b.pendingAt, b.accepted = now, true
	b.revision = o.Revision + 1
}

// OnOrderFailed records that a backend does not carry out an order, or that this is not known. The backend gets no other
// order until its next report.
func (p *Planner) OnOrderFailed(now time.Duration, o Order) {
	if b := p.backends[o.Backend]; b != nil {
		b.pending, b.reported, b.backoffUntil = nil, false, now+failureBackoff
	}
}

// OnOrderRejected records that a backend has rejected an order because it is still busy. Memory that was freed there for
// a load stays reserved.
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

// VisitPendingOrders calls visit for each order in progress, by backend id, with its start, its expected duration and
// whether it is instant, so that the caller can soon assume it completed (AssumeCompleted). Orders whose response is
// outstanding are left out until it counts as lost, because their sender still reports the outcome.
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

// isInstant reports whether an order loads no model and waits for no request in flight.
func (p *Planner) isInstant(now time.Duration, o Order) bool {
	if o.Adapter != "" {
		return true
	}
	return o.Operation == Unload && p.modelRate(now, o.Model) <= idleRate
}

// expectedDuration estimates how long an order takes.
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

// UnloadDelay returns how long to wait between notifying the proxies of an unload and sending the order. 0 means that
// the order needs no notice.
func (p *Planner) UnloadDelay(now time.Duration, o Order) time.Duration {
	if o.Operation != Unload || o.Adapter != "" || p.modelRate(now, o.Model) <= idleRate {
		return 0
	}
	return unloadNotice
}

// LoadedAfterUnload returns what a backend will have loaded once an order to unload is done: adapters by model.
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

// AssumeCompleted counts an accepted order as completed, and returns what the backend then has loaded. done is false,
// and nothing changes, if the order is not pending or not accepted, or if the backend is carrying out another one: an
// order without a response may never have reached the backend, so a load into the memory that it was to free could exceed
// the backend's memory.
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

// issueOrder creates an order and marks it as pending.
func (p *Planner) issueOrder(now time.Duration, b *backendState, operation Operation, key Key) Order {
	o := Order{Backend: b.id, Operation: operation, Key: key, Revision: b.revision}
	p.updateSnapshot(b, func() { b.pending, b.pendingAt, b.accepted = &o, now, false })
	delete(p.evictions, b)
	return o
}

// issueLoad issues an order to load a model, unless the load would exceed the store's rate limit.
func (p *Planner) issueLoad(now time.Duration, b *backendState, model string) (Order, bool) {
	if !b.everLoaded[model] && !p.storeLoads.take(now, p.service.MaxLoadsPerSecond) {
		return Order{}, false
	}
	p.updateSnapshot(b, func() { b.reservedModel = "" })
	return p.issueOrder(now, b, Load, Key{Model: model}), true
}
