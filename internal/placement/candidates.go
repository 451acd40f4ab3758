package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictionOptions holds the cost of freeing memory at a backend, computed once for each plan.
type evictionOptions struct {
	usedMB       float64
	evictable    []evictionCandidate // lowest retention value first
	utilization  float64             // share of the backend's time that its models need
	blockingCost float64             // utility lost for each second in which the backend can take no other order
}

// evictionCandidate is a model that may be evicted from a backend.
type evictionCandidate struct {
	model          string
	sizeMB         float64 // with its adapters
	retentionValue float64
}

// evictionsAt returns the eviction options at a backend.
func (p *Planner) evictionsAt(now time.Duration, b *backendState, demands map[string]*modelDemand) *evictionOptions {
	if e := p.evictions[b]; e != nil {
		return e
	}
	e := &evictionOptions{}
	for _, name := range slices.Sorted(maps.Keys(b.loaded)) {
		d, size := demands[name], p.loadedSizeMB(name, len(b.loaded[name]))
		replicas := p.snapshot.replicas[name]
		e.usedMB += size
		if d != nil {
			e.utilization += d.workRate / 1000 / float64(max(1, replicas))
			e.blockingCost += p.weights.newAdapterShare * d.adapterRate / float64(max(1, p.snapshot.idle[name]))
		}
		if now-b.loadedSince[name] >= p.weights.minLoadedTime {
			value := p.weights.retentionValue(d, replicas) + p.zoneAffinity(b.zone, name, d, 1)
			e.evictable = append(e.evictable, evictionCandidate{name, size, value})
		}
	}
	slices.SortFunc(e.evictable, func(x, y evictionCandidate) int {
		return cmp.Or(cmp.Compare(x.retentionValue, y.retentionValue), cmp.Compare(x.model, y.model))
	})
	p.evictions[b] = e
	return e
}

// freeFor returns the model to evict first so that another one fits ("" if none), the utility lost by all evictions
// that are needed, and whether the model fits at all.
func (e *evictionOptions) freeFor(p *Planner, model string) (first string, loss float64, fits bool) {
	neededMB := e.usedMB + p.service.Models[model].SizeMB - p.service.CapacityMB
	for _, c := range e.evictable {
		if neededMB <= 0 {
			break
		}
		if c.model == model {
			continue
		}
		if first == "" {
			first = c.model
		}
		neededMB -= c.sizeMB
		loss += c.retentionValue + p.weights.evictionCost
	}
	return first, loss, neededMB <= 0
}

// selectBackend returns the backend where loading a model costs the least, and the model to evict there first ("" if
// none). It returns nil if the cost is below the gain at no backend.
func (p *Planner) selectBackend(now time.Duration, c scaleUp, demands map[string]*modelDemand) (best *backendState, victim string) {
	w, demand := &p.weights, demands[c.model]
	bestCost := c.gain
	loadSeconds := p.service.Models[c.model].LoadTime.Seconds()
	addedUtilization := w.utilization(demand, p.snapshot.replicas[c.model]+1)
	affinities := map[string]float64{}
	for zone := range demand.zoneRates {
		affinities[zone] = p.zoneAffinity(zone, c.model, demand, 0)
	}
	for _, b := range p.sortedBackends() {
		if _, loaded := b.loaded[c.model]; loaded || !b.acceptsOrders(now) || b.reservedModel != "" {
			continue
		}
		e := p.evictionsAt(now, b, demands)
		first, loss, fits := e.freeFor(p, c.model)
		if !fits {
			continue
		}
		cost := w.evictionHysteresis*loss + w.busyCost*e.utilization*addedUtilization + e.blockingCost*loadSeconds - affinities[b.zone]
		if b.everLoaded[c.model] {
			cost += w.localLoadCost
		} else {
			cost += w.storeLoadCost
		}
		if cost < bestCost {
			best, victim, bestCost = b, first, cost
		}
	}
	return best, victim
}
