package placement

import (
	"cmp"
	"slices"
	"time"
)

// maxScaleUps limits the models that one plan considers for one more replica: those with the greatest gain.
const maxScaleUps = 24

// Plan returns the orders to send now. Each is pending until OnOrderAccepted and OnReport, OnOrderFailed or
// OnOrderRejected records its outcome.
func (p *Planner) Plan(now time.Duration) []Order {
	if p.service.CapacityMB <= 0 {
		return nil
	}
	p.expireDemands(now)
	p.takeSnapshot()
	clear(p.evictions)
	var orders []Order
	demands := p.forecastDemand(now)
	orders = append(orders, p.continueReservations(now, demands)...)
	orders = append(orders, p.planModels(now, demands)...)
	orders = append(orders, p.planAdapters(now)...)
	return orders
}

// scaleUp is a model that would gain from one more replica.
type scaleUp struct {
	model string
	gain  float64 // utility
}

// scaleUps returns the models for which one more replica may be worth its cost, greatest gain first.
func (p *Planner) scaleUps(demands map[string]*modelDemand) []scaleUp {
	var candidates []scaleUp
	for name, d := range demands {
		if _, configured := p.service.Models[name]; !configured {
			continue
		}
		replicas := p.snapshot.replicas[name]
		if replicas == 0 && d.waiting == 0 {
			continue // no request needs the model right now
		}
		gain := p.weights.gain(d, replicas)
		if gain+p.maxZoneAffinity(name, d) > p.weights.localLoadCost {
			candidates = append(candidates, scaleUp{name, gain})
		}
	}
	slices.SortFunc(candidates, func(a, b scaleUp) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.model, b.model))
	})
	return candidates
}

// planModels orders one more replica of the models that gain the most, or an eviction that makes room for it.
func (p *Planner) planModels(now time.Duration, demands map[string]*modelDemand) []Order {
	var orders []Order
	candidates := p.scaleUps(demands)
	for _, c := range candidates[:min(len(candidates), maxScaleUps)] {
		b, victim := p.selectBackend(now, c, demands)
		if b == nil {
			continue
		}
		if victim != "" {
			p.updateSnapshot(b, func() { b.reservedModel, b.reservedAt = c.model, now })
			orders = append(orders, p.issueOrder(now, b, Unload, Key{Model: victim}))
			continue
		}
		if o, issued := p.issueLoad(now, b, c.model); issued {
			orders = append(orders, o)
		}
	}
	return orders
}

// continueReservations issues the next order at each backend that frees memory for a model.
func (p *Planner) continueReservations(now time.Duration, demands map[string]*modelDemand) []Order {
	var orders []Order
	for _, b := range p.sortedBackends() {
		if b.reservedModel == "" {
			continue
		}
		if o, issued := p.continueReservation(now, b, demands); issued {
			orders = append(orders, o)
		}
	}
	return orders
}

// continueReservation evicts the next model or, once there is enough memory, loads the reserved one.
func (p *Planner) continueReservation(now time.Duration, b *backendState, demands map[string]*modelDemand) (Order, bool) {
	_, configured := p.service.Models[b.reservedModel]
	if !configured || now-b.reservedAt > p.weights.reservationTTL || !b.usable {
		p.cancelReservation(b)
		return Order{}, false
	}
	if !b.acceptsOrders(now) {
		if b.pending != nil && b.pending.Operation == Unload {
			b.reservedAt = now // the reservation expires only after the unload, which waits for the requests in flight
		}
		return Order{}, false
	}
	victim, _, fits := p.evictionsAt(now, b, demands).freeFor(p, b.reservedModel)
	if !fits {
		p.cancelReservation(b)
		return Order{}, false
	}
	if victim != "" {
		return p.issueOrder(now, b, Unload, Key{Model: victim}), true
	}
	return p.issueLoad(now, b, b.reservedModel)
}

func (p *Planner) cancelReservation(b *backendState) {
	p.updateSnapshot(b, func() { b.reservedModel = "" })
}
