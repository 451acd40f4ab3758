package balancer

// The subset: which backends this proxy uses.

import (
	"cmp"

	"marlreel/internal/balancer/concurrencylimit"
)

const (
	// About how many proxies have each backend in their subsets. More spread the load better but cost
	// connections.
	proxiesPerBackend = 7
	minSubsetSize     = 2 // backends that each proxy uses at least
)

// selectSubset takes the first backends in this proxy's rendezvous order until enough of them are healthy,
// a warming one counted by its capacity. Many proxies with little traffic each can't measure all backends,
// and a connection for every pair would overload the backends with handshakes and upkeep.
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

// usableCapacity is the fraction of its capacity that a backend has now: 0 to 1.
func (b *Balancer) usableCapacity(t *target) float64 {
	if !b.isHealthy(t) {
		return 0
	}
	capacity, _ := b.warmupCapacity(t)
	return capacity
}

// sharers is about how many proxies have a given backend in their subsets.
func (b *Balancer) sharers() float64 {
	return max(1, float64(b.cfg.Instances*len(b.subset))/float64(max(1, len(b.ready))))
}

// zoneSide is 0 for the own zone and 1 for all others.
func (b *Balancer) zoneSide(t *target) int { return min(1, t.Zone^b.cfg.Zone) }
