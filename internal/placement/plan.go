package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// horizon is for how long the worth of what is placed is counted.
	horizon = 8.0 // seconds
	// missed is what a request loses where nobody holds its model, and late what one loses
	// whose backends have too much to do.
	missed = 1.0
	late   = 0.7
	// missedInTime is what one loses that can wait for a load: that may come too late, and costs something.
	missedInTime = 0.35
	// waitsWorth is what one that waits for a model gains by its load.
	waitsWorth = 2.0
	// easy is how much of its time a backend may work on one model without anything being
	// late. What is asked beyond that of all holders is late.
	easy = 0.7
	// loadCost is the worth of a load from the store, and ownDiskCost of one from the
	// backend's own disk; evictionCost that of an order to unload.
	loadCost     = 0.25
	ownDiskCost  = 0.1
	evictionCost = 0.03
	// crossing is what a request loses that goes to another zone.
	crossing = 0.03
	// running is what each request a second costs that runs where its model is to leave:
	// the room comes when they have ended.
	running = 0.5
	// busyCost is what it costs to bring as much work as a backend can easily do to one that has all of its time
	// to do.
	busyCost = 2.0
	// worthMore is how many times more a model must be worth at a backend than what it
	// takes the place of.
	worthMore = 1.3
	// keptFor is how long what was just loaded stays.
	keptFor = 3 * time.Second
	// reserveFor is how long room is kept for a model that is to be loaded.
	reserveFor = 2 * time.Second
	// adapterWork is how much work one backend is to have of one adapter.
	adapterWork = 300.0
	// newAdapters is which part of the requests for adapters need one that is not there.
	newAdapters = 0.2
	// adapterRate is from which rate on an adapter is kept where nobody waits for it.
	adapterRate = 0.03
	// adapterCopies is how many backends should hold an adapter that is asked for.
	adapterCopies = 2
	// waitingWorth is what a request that waits for an adapter counts for, in requests a second.
	waitingWorth = 2.0
)

// Plan gives the orders to send now. Each counts as under way from here on, until Taken,
// Failed or Reported say otherwise.
func (p *Planner) Plan(now time.Duration) []Order {
	if p.service.CapacityMB <= 0 {
		return nil
	}
	p.forgetDemands(now)
	p.count()
	clear(p.rooms)
	var orders []Order
	asked := p.figuresOf(now)
	orders = append(orders, p.fillReserved(now, asked)...)
	orders = append(orders, p.planModels(now, asked)...)
	orders = append(orders, p.planAdapters(now)...)
	return orders
}

// give makes an order be under way.
func (p *Planner) give(now time.Duration, b *backend, operation Operation, key Key) Order {
	o := Order{Backend: b.id, Operation: operation, Key: key, Revision: b.revision}
	p.recount(b, func() { b.order, b.orderAt, b.taken = &o, now, false })
	delete(p.rooms, b)
	return o
}

// loss is what a model loses a second where so many backends hold it and it asks for so much of their time.
func (f *figures) loss(holders int, work float64) float64 {
	rate := max(f.rate, work/f.each)
	if holders <= 0 {
		return f.missed * rate
	}
	if work <= 0 {
		return 0
	}
	return late * rate * max(0, 1-float64(holders)*easy*1000/work)
}

// gain is what one more backend is worth, and keeping what one of them is.
func (f *figures) gain(holders int) float64 {
	gain := horizon * (f.loss(holders, f.work) - f.loss(holders+1, f.work))
	if holders == 0 {
		gain += waitsWorth * float64(f.waits)
	}
	return gain
}

func (f *figures) keeping(holders int) float64 {
	if f == nil {
		return 0
	}
	work := max(f.work, f.workSoon)
	keeping := horizon*(f.loss(holders-1, work)-f.loss(holders, work)) + running*f.rate/float64(max(1, holders))
	if holders <= 1 {
		keeping += waitsWorth * float64(f.waits)
	}
	return keeping
}

// brought is the part of a backend's easy time that a model asks for at each of so many holders.
func (f *figures) brought(holders int) float64 {
	return min(1, f.work/float64(max(1, holders))/(easy*1000))
}

// want is a model that one more backend should hold.
type want struct {
	model string
	gain  float64
}

// wants are the models that are worth one more backend, those of the most worth first.
func (p *Planner) wants(now time.Duration, asked map[string]*figures) []want {
	var wants []want
	for name, f := range asked {
		if _, known := p.service.Models[name]; !known {
			continue
		}
		holders := p.census.holders[name]
		if holders == 0 && f.waits == 0 {
			continue // nobody asks right now
		}
		if gain := f.gain(holders); gain+p.nearest(name, f) > ownDiskCost {
			wants = append(wants, want{name, gain})
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.model, b.model))
	})
	return wants
}

// planModels loads what is wanted, or makes room for it.
func (p *Planner) planModels(now time.Duration, asked map[string]*figures) []Order {
	var orders []Order
	wants := p.wants(now, asked)
	for _, w := range wants[:min(len(wants), mostWants)] {
		b, victim := p.chooseFor(now, w, asked)
		if b == nil {
			continue
		}
		if victim != "" {
			p.recount(b, func() { b.reserved, b.reservedAt = w.model, now })
			orders = append(orders, p.give(now, b, Unload, Key{Model: victim}))
			continue
		}
		if o, may := p.load(now, b, w.model); may {
			orders = append(orders, o)
		}
	}
	return orders
}

// mostAdapterWants is the same for adapters.
const mostAdapterWants = 64

// mostWants is how many models are looked at for one plan: those that gain the most.
const mostWants = 24

// load gives the order to load a model, if the store allows one more.
func (p *Planner) load(now time.Duration, b *backend, model string) (Order, bool) {
	if !b.had[model] {
		if !p.mayLoad(now) {
			return Order{}, false
		}
		p.loads.level--
	}
	p.recount(b, func() { b.reserved = "" })
	return p.give(now, b, Load, Key{Model: model}), true
}

// fillReserved goes on where room was being made for a model.
func (p *Planner) fillReserved(now time.Duration, asked map[string]*figures) []Order {
	var orders []Order
	for _, b := range p.sorted() {
		if b.reserved == "" {
			continue
		}
		if _, configured := p.service.Models[b.reserved]; !configured || now-b.reservedAt > reserveFor || !b.usable {
			p.recount(b, func() { b.reserved = "" })
			continue
		}
		if !b.free(now) {
			if b.order != nil && b.order.Operation == Unload {
				b.reservedAt = now // the room comes when what runs there has ended
			}
			continue
		}
		victim, _, fits := p.roomAt(now, b, asked).make(p, b.reserved)
		if !fits {
			p.recount(b, func() { b.reserved = "" })
			continue
		}
		if victim != "" {
			orders = append(orders, p.give(now, b, Unload, Key{Model: victim}))
			continue
		}
		if o, may := p.load(now, b, b.reserved); may {
			orders = append(orders, o)
		}
	}
	return orders
}

// planAdapters loads adapters where their model is, those that requests wait for first.
func (p *Planner) planAdapters(now time.Duration) []Order {
	type adapterWant struct {
		key     Key
		waiting int
		usage   float64
	}
	var wants []adapterWant
	for key, d := range p.demands {
		if _, configured := p.service.Models[key.Model]; key.Adapter == "" || !configured {
			continue
		}
		holders := p.census.adapters[key]
		needed := max(adapterCopies, int(math.Ceil(d.fast.perSecond(now, fastSpan, p.began)/adapterWork)))
		waits := d.waits(now)
		if holders >= min(needed, p.census.now[key.Model]) || waits == 0 && d.rate(now, p.began) < adapterRate {
			continue
		}
		wants = append(wants, adapterWant{key, waits, p.usage(now, key)})
	}
	slices.SortFunc(wants, func(a, b adapterWant) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.usage, a.usage),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	var orders []Order
	for _, w := range wants[:min(len(wants), mostAdapterWants)] {
		if o, found := p.placeAdapter(now, w.key); found {
			orders = append(orders, o)
		}
	}
	return orders
}

// placeAdapter loads an adapter at the backend with the fewest, or makes room for it there.
func (p *Planner) placeAdapter(now time.Duration, key Key) (Order, bool) {
	var best *backend
	for _, b := range p.census.at[key.Model] {
		if !b.free(now) || b.reserved != "" || b.holds[key.Model][key.Adapter] {
			continue
		}
		if best == nil || b.adapters() < best.adapters() {
			best = b
		}
	}
	if best == nil {
		return Order{}, false
	}
	size := p.service.Models[key.Model].AdapterSizeMB
	if best.adapters() < p.service.MaxAdapters && p.usedMB(best)+size <= p.service.CapacityMB {
		return p.give(now, best, Load, key), true
	}
	victim, found := p.leastAdapter(now, best)
	if !found || p.usage(now, victim) > p.usage(now, key)+waitingWorth*float64(p.waitsFor(now, key)) {
		return Order{}, false
	}
	return p.give(now, best, Unload, victim), true
}

// leastAdapter is the adapter at a backend of which the least is asked.
func (p *Planner) leastAdapter(now time.Duration, b *backend) (least Key, found bool) {
	lowest := math.Inf(1)
	for model, adapters := range b.holds {
		for name := range adapters {
			key := Key{model, name}
			usage := p.usage(now, key)
			if p.waitsFor(now, key) == 0 && (usage < lowest || usage == lowest && (key.Model+key.Adapter) < (least.Model+least.Adapter)) {
				least, lowest, found = key, usage, true
			}
		}
	}
	return least, found
}
