package balancer

// The subset: which backends this proxy uses.

import (
	"cmp"

	"marlreel/internal/balancer/concurrencylimit"
)

const (
	// That have each backend in their subsets, about. More spreads load better and costs connections.
	proxiesPerBackend = 7
	minSubsetSize     = 2 // backends that each proxy uses at least
)

// selectSubset takes the first backends in this proxy's rendezvous order until enough are healthy, a
// warming one counting for its share. Many proxies with little traffic each can't measure all backends,
// and every pair would hold a connection, whose handshake and upkeep wear the backend out.
func (b *Balancer) selectSubset() {
	b.subsetSize = max(minSubsetSize, proxiesPerBackend*float64(len(b.ready))/float64(b.cfg.Instances))
	b.subset, b.usableBySide = b.subset[:0], [2]float64{}
	var found [2]float64
	for _, t := range b.ready {
		capacity := b.usableCapacity(t)
		side, was := b.zoneSide(t), t.inSubset
		t.inSubset = false
		if found[side] < b.subsetSize {
			b.subset = append(b.subset, t)
			t.inSubset = capacity > 0
			found[side] += capacity
		}
		b.usableBySide[side] += capacity
		if was && !t.inSubset {
			b.host.Release(t.ID) // idle connections would fill the backend's table until they time out
		}
	}
	for _, t := range b.ready {
		t.concurrencyLimit = cmp.Or(t.concurrencyLimit, concurrencylimit.Initial(b.sharers()))
	}
}

// usableCapacity is the share of its capacity that a backend can give now: 0 to 1.
func (b *Balancer) usableCapacity(t *target) float64 {
	if !b.isHealthy(t) {
		return 0
	}
	capacity, _ := b.warmupCapacity(t)
	return capacity
}

// sharers is how many proxies have one backend in their subsets, about.
func (b *Balancer) sharers() float64 {
	return max(1, float64(b.cfg.Instances*len(b.subset))/float64(max(1, len(b.ready))))
}

// zoneSide is 0 for the own zone and 1 for all others.
func (b *Balancer) zoneSide(t *target) int { return min(1, t.Zone^b.cfg.Zone) }
