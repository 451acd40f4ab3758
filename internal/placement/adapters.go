package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxAdapterCandidates limits the adapters that one plan considers, those with the most waiting requests first.
const maxAdapterCandidates = 64

// adapterCandidate is an adapter that should be loaded at one more backend.
type adapterCandidate struct {
	key     Key
	waiting int     // requests
	rate    float64 // requests a second
}

// planAdapters orders loads of adapters at backends that have their model loaded. Adapters with waiting requests come
// first.
func (p *Planner) planAdapters(now time.Duration) []Order {
	var orders []Order
	candidates := p.adapterCandidates(now)
	for _, c := range candidates[:min(len(candidates), maxAdapterCandidates)] {
		if o, issued := p.planAdapter(now, c.key); issued {
			orders = append(orders, o)
		}
	}
	return orders
}

// adapterCandidates returns the adapters in demand with too few replicas, by priority.
func (p *Planner) adapterCandidates(now time.Duration) []adapterCandidate {
	var candidates []adapterCandidate
	for key, d := range p.demands {
		if _, configured := p.service.Models[key.Model]; key.Adapter == "" || !configured {
			continue
		}
		workRate := d.work.ratePerSecond(now, workSpan, p.startedAt)
		needed := max(p.weights.adapterReplicas, int(math.Ceil(workRate/p.weights.adapterWork)))
		waiting := d.waitingRequests(now)
		if p.snapshot.adapterReplicas[key] >= min(needed, p.snapshot.loaded[key.Model]) {
			continue
		}
		if waiting == 0 && d.rate(now, p.startedAt) < p.weights.minAdapterRate {
			continue
		}
		candidates = append(candidates, adapterCandidate{key, waiting, p.rateOf(now, key)})
	}
	slices.SortFunc(candidates, func(a, b adapterCandidate) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.rate, a.rate),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return candidates
}

// planAdapter loads an adapter at the eligible backend that has the fewest adapters. If that one is full, it evicts the
// least used adapter there, unless that is in higher demand.
func (p *Planner) planAdapter(now time.Duration, key Key) (Order, bool) {
	var best *backendState
	for _, b := range p.snapshot.loadedAt[key.Model] {
		if !b.acceptsOrders(now) || b.reservedModel != "" || b.loaded[key.Model][key.Adapter] {
			continue
		}
		if best == nil || b.adapterCount() < best.adapterCount() {
			best = b
		}
	}
	if best == nil {
		return Order{}, false
	}
	size := p.service.Models[key.Model].AdapterSizeMB
	if best.adapterCount() < p.service.MaxAdapters && p.usedMB(best)+size <= p.service.CapacityMB {
		return p.issueOrder(now, best, Load, key), true
	}
	victim, found := p.leastUsedAdapter(now, best)
	if !found || p.rateOf(now, victim) > p.rateOf(now, key)+p.weights.waitingAdapterRate*float64(p.waitingFor(now, key)) {
		return Order{}, false
	}
	return p.issueOrder(now, best, Unload, victim), true
}

// leastUsedAdapter returns the adapter at a backend with the lowest request rate among those without waiting requests.
func (p *Planner) leastUsedAdapter(now time.Duration, b *backendState) (victim Key, found bool) {
	lowest := math.Inf(1)
	for model, adapters := range b.loaded {
		for name := range adapters {
			key := Key{model, name}
			rate := p.rateOf(now, key)
			before := rate < lowest || rate == lowest && (key.Model+key.Adapter) < (victim.Model+victim.Adapter)
			if before && p.waitingFor(now, key) == 0 {
				victim, lowest, found = key, rate, true
			}
		}
	}
	return victim, found
}
