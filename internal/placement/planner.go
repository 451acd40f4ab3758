package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Model is a model that may be loaded.
type Model struct {
	Name          string
	SizeMB        float64
	LoadTime      time.Duration
	AdapterSizeMB float64
}

// Service is what is configured of a service's model backends.
type Service struct {
	Models            map[string]Model
	CapacityMB        float64
	MaxAdapters       int
	MaxLoadsPerSecond float64
}

// Backend is what is known of a backend by its heartbeats.
type Backend struct {
	ID     string
	Zone   string
	Usable bool                // it may get orders
	Loaded map[string][]string // adapters by model
}

// Operation is what an order does.
type Operation int

// The operations.
const (
	Load Operation = iota
	Unload
)

// Order is an order to a backend.
type Order struct {
	Backend   string
	Operation Operation
	Key
	Revision uint64 // the number of orders that the backend must have taken so far
}

// backend is what the planner keeps of one backend.
type backend struct {
	id         string
	zone       string
	usable     bool
	known      bool // asked since this planner began, so that its count of orders is known
	revision   uint64
	holds      map[string]map[string]bool
	since      map[string]time.Duration // when each model was seen there first
	had        map[string]bool          // models that it has held: they come from its own disk
	order      *Order
	orderAt    time.Duration // when it was given, and from when on it was acknowledged that
	taken      bool          // it was acknowledged
	reserved   string        // the model that room is being made for
	reservedAt time.Duration
	restUntil  time.Duration // after an order that failed
}

// Planner decides on the backends of one service. Not safe for concurrent use.
type Planner struct {
	service  Service
	known    map[string]Model // what is configured, and what was and is held still
	backends map[string]*backend
	demands  map[Key]*demand
	keys     []Key                // of all demands, in order; nil: to be found anew
	trends   map[string]*trend    // by model
	works    map[string]*meanWork // likewise
	began    time.Duration
	slopes   float64 // how fast rates change, requests a second a second
	loads    bucket
	census   *census            // of the plan that is being made
	rooms    map[*backend]*room // likewise
	order    []*backend         // all, by id
}

// New makes a planner that knows nothing of what was done before it.
func New(now time.Duration) *Planner {
	return &Planner{
		known: map[string]Model{}, backends: map[string]*backend{}, demands: map[Key]*demand{},
		trends: map[string]*trend{}, works: map[string]*meanWork{}, slopes: leastRate, began: now, loads: bucket{at: now}, rooms: map[*backend]*room{},
	}
}

// Configure sets what is configured.
func (p *Planner) Configure(s Service) {
	p.service = s
	known := map[string]Model{}
	maps.Copy(known, s.Models)
	for _, b := range p.backends {
		for name := range b.holds {
			if _, configured := known[name]; configured {
				continue
			}
			if m, before := p.known[name]; before {
				known[name] = m
			}
		}
	}
	p.known = known
}

// heldMB is the room that a model takes where it is held, with so many adapters: by the last
// configuration that named it. One that none has named may take all that there is.
func (p *Planner) heldMB(model string, adapters int) float64 {
	m, known := p.known[model]
	if !known {
		return p.service.CapacityMB
	}
	return m.SizeMB + float64(adapters)*m.AdapterSizeMB
}

// UnknownBackends are the backends of which it has to be asked what they hold, before they get orders.
func (p *Planner) UnknownBackends() []string {
	var ids []string
	for id, b := range p.backends {
		if b.usable && !b.known {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// SetBackends sets the backends that there are, with what their heartbeats say.
func (p *Planner) SetBackends(now time.Duration, list []Backend) {
	listed := map[string]bool{}
	for _, l := range list {
		listed[l.ID] = true
		b := p.backends[l.ID]
		if b == nil {
			b = &backend{id: l.ID, had: map[string]bool{}, since: map[string]time.Duration{}}
			p.backends[l.ID], p.order = b, nil
		}
		b.usable, b.zone = l.Usable, l.Zone
		if !b.known {
			b.setHolds(now, l.Loaded)
		}
	}
	for id := range p.backends {
		if !listed[id] {
			delete(p.backends, id)
			p.order = nil
		}
	}
}

func (b *backend) setHolds(now time.Duration, holds map[string][]string) {
	b.holds = map[string]map[string]bool{}
	for model, adapters := range holds {
		set := map[string]bool{}
		for _, name := range adapters {
			set[name] = true
		}
		b.holds[model] = set
		b.had[model] = true
		if _, known := b.since[model]; !known {
			b.since[model] = now
		}
	}
	for model := range b.since {
		if b.holds[model] == nil {
			delete(b.since, model)
		}
	}
}

// Report is what a backend answers when it is asked.
type Report struct {
	Busy     bool
	Revision uint64
	Loaded   map[string][]string
}

// OnReport takes in what a backend says. It tells whether the order that was under way is done.
func (p *Planner) OnReport(now time.Duration, id string, r Report) (done bool) {
	b := p.backends[id]
	if b == nil {
		return false
	}
	if r.Revision < b.revision && now-b.orderAt < orderLag {
		return false // as it was before the last order
	}
	if r.Busy {
		b.revision = r.Revision
		return false
	}
	done = b.order != nil
	b.order, b.known, b.revision = nil, true, r.Revision
	b.setHolds(now, r.Loaded)
	return done
}

// orderLag is how old a report may be.
const orderLag = 600 * time.Millisecond

// OnOrderAccepted notes that a backend carries an order out.
func (p *Planner) OnOrderAccepted(now time.Duration, o Order) {
	if b := p.backends[o.Backend]; b != nil && b.order != nil && *b.order == o {
		b.orderAt, b.taken = now, true
		b.revision = o.Revision + 1
	}
}

// OnOrderFailed notes that a backend does not carry an order out, or that this is not known. It
// gets no other before it was asked again.
func (p *Planner) OnOrderFailed(now time.Duration, o Order) {
	if b := p.backends[o.Backend]; b != nil {
		b.order, b.known, b.restUntil = nil, false, now+failureRest
	}
}

// failureRest is how long a backend gets no order after one that failed.
const failureRest = 300 * time.Millisecond

// unansweredAfter is after what time the answer to an order counts as lost: calls to
// backends are given up sooner.
const unansweredAfter = 2 * time.Second

// VisitPendingOrders are the orders that are being carried out, with the time since they were taken.
// quick: they take next to no time, and can be assumed to be done after it. Orders without an
// answer are left out: whoever sent them will say how that ended.
func (p *Planner) VisitPendingOrders(now time.Duration, each func(o Order, since, expected time.Duration, quick bool)) {
	for _, b := range p.sorted() {
		switch {
		case b.order == nil:
		case b.taken:
			each(*b.order, b.orderAt, p.expected(b, *b.order), p.quick(now, *b.order))
		case now-b.orderAt > unansweredAfter:
			each(*b.order, b.orderAt, 0, false)
		}
	}
}

// idleRate is up to which rate a model is taken to have no request running: an unload
// waits for those that run.
const idleRate = 0.3

func (p *Planner) quick(now time.Duration, o Order) bool {
	if o.Adapter != "" {
		return true
	}
	return o.Operation == Unload && p.modelRate(now, o.Model) <= idleRate
}

// modelRate is how many requests a second are asked of a model with its adapters.
func (p *Planner) modelRate(now time.Duration, model string) float64 {
	rate := 0.0
	for _, key := range p.sortedKeys() {
		if key.Model == model {
			rate += p.demands[key].rate(now, p.began)
		}
	}
	return rate
}

// unloadNotice is how long before an order to unload a model that is asked for the proxies are told: news of what a
// backend holds takes about so long to reach them. Danger: a backend that unloads turns away what comes for the model,
// and each request that has to go elsewhere takes from the budget of repeats.
const unloadNotice = 300 * time.Millisecond

// UnloadDelay is how long an order has to wait once proxies are told what the backend will hold after it; 0: it needs none.
func (p *Planner) UnloadDelay(now time.Duration, o Order) time.Duration {
	if o.Operation != Unload || o.Adapter != "" || p.modelRate(now, o.Model) <= idleRate {
		return 0
	}
	return unloadNotice
}

// OnOrderRejected notes that a backend has not taken an order, being busy still. Room that is being
// made there goes on being made.
func (p *Planner) OnOrderRejected(now time.Duration, o Order) {
	if b := p.backends[o.Backend]; b != nil {
		b.order, b.known, b.restUntil = nil, false, now+refusalRest
		if o.Operation == Load && o.Adapter == "" && b.reserved == "" {
			b.reserved, b.reservedAt = o.Model, now
		}
	}
}

// refusalRest is how long a backend gets no order after one that it has not taken.
const refusalRest = 80 * time.Millisecond

// expected is how long an order takes, about.
func (p *Planner) expected(b *backend, o Order) time.Duration {
	const small = 20 * time.Millisecond
	if o.Operation == Unload || o.Adapter != "" {
		return small
	}
	if took := p.service.Models[o.Model].LoadTime; !b.had[o.Model] {
		return took
	} else {
		return took / 4
	}
}

// sorted are all backends by their ids. It must not be changed.
func (p *Planner) sorted() []*backend {
	if len(p.order) != len(p.backends) {
		p.order = p.order[:0]
		for _, b := range p.backends {
			p.order = append(p.order, b)
		}
		slices.SortFunc(p.order, func(x, y *backend) int { return cmp.Compare(x.id, y.id) })
	}
	return p.order
}

// free tells whether a backend can get an order now.
func (b *backend) free(now time.Duration) bool {
	return b.usable && b.known && b.order == nil && now >= b.restUntil
}

// usedMB is the room that is taken at a backend.
func (p *Planner) usedMB(b *backend) float64 {
	used := 0.0
	for name, adapters := range b.holds {
		used += p.heldMB(name, len(adapters))
	}
	return used
}

func (b *backend) adapters() int {
	count := 0
	for _, adapters := range b.holds {
		count += len(adapters)
	}
	return count
}

// bucket spaces loads from the store.
type bucket struct {
	level float64
	at    time.Duration
}

// storeBurst is how many loads may begin at once: the bound allows three more than its rate.
const storeBurst = 3

// mayLoad tells whether one more load from the store may begin.
func (p *Planner) mayLoad(now time.Duration) bool {
	p.loads.level = min(storeBurst, p.loads.level+p.service.MaxLoadsPerSecond*(now-p.loads.at).Seconds())
	p.loads.at = now
	return p.loads.level >= 1
}

// LoadedAfterUnload is what a backend holds once an order to unload, which it has taken, is done.
func (p *Planner) LoadedAfterUnload(o Order) map[string][]string {
	b := p.backends[o.Backend]
	if b == nil {
		return nil
	}
	holds := b.list()
	if o.Adapter == "" {
		delete(holds, o.Model)
		return holds
	}
	holds[o.Model] = slices.DeleteFunc(holds[o.Model], func(name string) bool { return name == o.Adapter })
	return holds
}

// AssumeCompleted counts an order that was taken as done, and gives what the backend holds then. Danger: one that has no
// answer may never have reached the backend; what it was to make room for would then be loaded beyond the room there,
// as the count of orders would be right.
func (p *Planner) AssumeCompleted(now time.Duration, o Order) (holds map[string][]string, done bool) {
	b := p.backends[o.Backend]
	if b == nil || b.order == nil || *b.order != o || !b.taken {
		return nil, false
	}
	b.order = nil
	if o.Operation == Load {
		holds = b.list()
		if o.Adapter == "" {
			holds[o.Model] = nil
		} else {
			holds[o.Model] = append(holds[o.Model], o.Adapter)
		}
	} else {
		holds = p.LoadedAfterUnload(o)
	}
	b.setHolds(now, holds)
	return holds, true
}

// list gives what a backend holds.
func (b *backend) list() map[string][]string {
	holds := map[string][]string{}
	for model, adapters := range b.holds {
		names := []string{}
		for name := range adapters {
			names = append(names, name)
		}
		slices.Sort(names)
		holds[model] = names
	}
	return holds
}
