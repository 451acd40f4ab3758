package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// workEach is how much work, ms a second, one backend is to have of one model.
	workEach = 250.0
	// worthMore is how many times more a model must be worth at a backend than what it
	// takes the place of.
	worthMore = 1.5
	// reserveFor is how long room is kept for a model that is to be loaded.
	reserveFor = 2 * time.Second
	// waitingWorth is what a waiting request counts for, in requests a second.
	waitingWorth = 2.0
	// adapterWork is how much work one backend is to have of one adapter.
	adapterWork = 400.0
)

// Plan gives the orders to send now. Each counts as under way from here on, until Taken,
// Failed or Reported say otherwise.
func (p *Planner) Plan(now time.Duration) []Order {
	if p.service.CapacityMB <= 0 {
		return nil
	}
	p.forgetDemands(now)
	var orders []Order
	orders = append(orders, p.fillReserved(now)...)
	orders = append(orders, p.planModels(now)...)
	orders = append(orders, p.planAdapters(now)...)
	return orders
}

// give makes an order be under way.
func (p *Planner) give(now time.Duration, b *backend, operation Operation, key Key) Order {
	o := Order{Backend: b.id, Operation: operation, Key: key, Revision: b.revision}
	b.order, b.orderAt = &o, now
	return o
}

// want is a model that more backends should hold.
type want struct {
	model   string
	worth   float64 // a second, at one backend more
	waiting bool
}

// wants are the models that lack a backend, those that are worth the most first.
func (p *Planner) wants(now time.Duration) []want {
	work, usage := p.workOn(now), p.modelUsage(now)
	waits := map[string]int{}
	for key := range p.demands {
		waits[key.Model] += p.waitsFor(now, key)
	}
	var wants []want
	for name := range p.service.Models {
		if work[name] < 1e-6 && waits[name] == 0 {
			continue
		}
		holders := p.holders(name)
		needed := min(int(math.Ceil(work[name]/workEach)), len(p.backends))
		if holders >= max(1, needed) {
			continue
		}
		worth := (usage[name] + waitingWorth*float64(waits[name])) / float64(holders+1)
		if holders == 0 && waits[name] == 0 {
			continue // nobody asks right now
		}
		wants = append(wants, want{name, worth, holders == 0})
	}
	slices.SortFunc(wants, func(a, b want) int {
		if a.waiting != b.waiting {
			if a.waiting {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.model, b.model))
	})
	return wants
}

// holders is how many usable backends hold a model, or will.
func (p *Planner) holders(model string) int {
	count := 0
	for _, b := range p.backends {
		_, holds := b.holds[model]
		loads := b.order != nil && b.order.Operation == Load && b.order.Adapter == "" && b.order.Model == model
		unloads := b.order != nil && b.order.Operation == Unload && b.order.Adapter == "" && b.order.Model == model
		if b.usable && (holds && !unloads || loads || b.reserved == model) {
			count++
		}
	}
	return count
}

// planModels loads what is wanted, or makes room for it.
func (p *Planner) planModels(now time.Duration) []Order {
	var orders []Order
	usage := p.modelUsage(now)
	for _, w := range p.wants(now) {
		b, victims := p.chooseFor(now, w, usage)
		if b == nil {
			continue
		}
		if len(victims) > 0 {
			b.reserved, b.reservedAt = w.model, now
			orders = append(orders, p.give(now, b, Unload, Key{Model: victims[0]}))
			continue
		}
		if o, may := p.load(now, b, w.model); may {
			orders = append(orders, o)
		}
	}
	return orders
}

// load gives the order to load a model, if the store allows one more.
func (p *Planner) load(now time.Duration, b *backend, model string) (Order, bool) {
	if !b.had[model] {
		if !p.mayLoad(now) {
			return Order{}, false
		}
		p.loads.level--
	}
	b.reserved = ""
	return p.give(now, b, Load, Key{Model: model}), true
}

// fillReserved goes on where room was being made for a model.
func (p *Planner) fillReserved(now time.Duration) []Order {
	var orders []Order
	usage := p.modelUsage(now)
	for _, b := range p.sorted() {
		if b.reserved == "" {
			continue
		}
		if now-b.reservedAt > reserveFor || !b.usable {
			b.reserved = ""
			continue
		}
		if !b.free(now) {
			continue
		}
		victims, fits := p.victims(now, b, b.reserved, math.Inf(1), usage)
		if !fits {
			b.reserved = ""
			continue
		}
		if len(victims) > 0 {
			orders = append(orders, p.give(now, b, Unload, Key{Model: victims[0]}))
			continue
		}
		if o, may := p.load(now, b, b.reserved); may {
			orders = append(orders, o)
		}
	}
	return orders
}

// chooseFor finds the backend where loading a model costs the least, and what has to make
// room for it there.
func (p *Planner) chooseFor(now time.Duration, w want, usage map[string]float64) (best *backend, victims []string) {
	bestCost := math.Inf(1)
	for _, b := range p.sorted() {
		if _, holds := b.holds[w.model]; holds || !b.free(now) || b.reserved != "" {
			continue
		}
		out, fits := p.victims(now, b, w.model, w.worth/worthMore, usage)
		if !fits {
			continue
		}
		cost := p.loadCost(b, w.model) + p.busyness(now, b, usage)
		for _, name := range out {
			cost += p.worthAt(name, usage) + evictionCost
		}
		if cost < bestCost {
			best, victims, bestCost = b, out, cost
		}
	}
	return best, victims
}

const (
	// coldLoadCost is what a load from the store costs more than one from a backend's own
	// disk, in requests a second.
	coldLoadCost = 0.5
	// evictionCost is what an order to unload costs.
	evictionCost = 0.02
	// busyCost is what it costs to load where much is asked already, for all that is.
	busyCost = 0.3
)

func (p *Planner) loadCost(b *backend, model string) float64 {
	if b.had[model] {
		return 0
	}
	return coldLoadCost
}

// busyness is how much of what is asked falls to a backend, by what it holds.
func (p *Planner) busyness(_ time.Duration, b *backend, usage map[string]float64) float64 {
	share, total := 0.0, 1e-9
	for _, u := range usage {
		total += u
	}
	for name := range b.holds {
		share += p.worthAt(name, usage)
	}
	return busyCost * share / total * float64(len(p.backends))
}

// worthAt is what is asked of a model at each of those that hold it.
func (p *Planner) worthAt(model string, usage map[string]float64) float64 {
	return usage[model] / float64(max(1, p.holders(model)))
}

// victims are the models that have to leave a backend for another one: those that are worth
// the least, if all of them together are worth less than most.
func (p *Planner) victims(now time.Duration, b *backend, model string, most float64, usage map[string]float64) ([]string, bool) {
	need := p.usedMB(b) + p.service.Models[model].SizeMB - p.service.CapacityMB
	if need <= 0 {
		return nil, true
	}
	names := make([]string, 0, len(b.holds))
	for name := range b.holds {
		if p.waitsFor(now, Key{Model: name}) == 0 || p.holders(name) > 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(p.worthAt(x, usage), p.worthAt(y, usage)), cmp.Compare(x, y))
	})
	var out []string
	worth := 0.0
	for _, name := range names {
		if need <= 0 {
			break
		}
		m := p.service.Models[name]
		need -= m.SizeMB + float64(len(b.holds[name]))*m.AdapterSizeMB
		worth += p.worthAt(name, usage)
		out = append(out, name)
	}
	return out, need <= 0 && worth <= most
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
		if key.Adapter == "" {
			continue
		}
		holders := p.adapterHolders(key)
		needed := max(1, int(math.Ceil(d.work.perSecond(now, workSpan)/adapterWork)))
		waits := d.waits(now)
		if holders >= needed || holders == 0 && waits == 0 {
			continue
		}
		wants = append(wants, adapterWant{key, waits, p.usage(now, key)})
	}
	slices.SortFunc(wants, func(a, b adapterWant) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.usage, a.usage),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	var orders []Order
	for _, w := range wants {
		if o, found := p.placeAdapter(now, w.key); found {
			orders = append(orders, o)
		}
	}
	return orders
}

func (p *Planner) adapterHolders(key Key) int {
	count := 0
	for _, b := range p.backends {
		loads := b.order != nil && b.order.Operation == Load && b.order.Key == key
		if b.usable && (b.holds[key.Model][key.Adapter] || loads) {
			count++
		}
	}
	return count
}

// placeAdapter loads an adapter at the backend with the fewest, or makes room for it there.
func (p *Planner) placeAdapter(now time.Duration, key Key) (Order, bool) {
	var best *backend
	for _, b := range p.sorted() {
		if _, holds := b.holds[key.Model]; !holds || !b.free(now) || b.reserved != "" || b.holds[key.Model][key.Adapter] {
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
	if best.adapters() < p.service.AdapterCapacity && p.usedMB(best)+size <= p.service.CapacityMB {
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
