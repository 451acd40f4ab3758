package marlreel

// The choice of a backend for an attempt: the pick of two by expected delay.

import (
	"cmp"
	"slices"
)

func tried(r *request, t *target) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.to == t })
}

// pick finds the backend for an attempt, or nil: in the subset, else among the fit, else among all.
func (b *Balancer) pick(r *request) *target {
	work, keyed := b.workOf(r), b.cfg.WarmKeys && r.Key != 0
	for stage, from := range [3][]*target{b.subset, b.ready, b.ready} {
		b.pool = b.pool[:0]
		found, fresh := false, false
		for _, t := range from {
			if stage < 2 && (!b.fit(t) || b.now < t.byClass[r.Class].until) || !b.maySend(r, t) {
				continue
			}
			if found = true; b.mayReceive(t, work) {
				b.pool, fresh = append(b.pool, t), fresh || !tried(r, t)
			}
		}
		if fresh {
			b.pool = slices.DeleteFunc(b.pool, func(t *target) bool { return tried(r, t) })
		}
		if keyed {
			slices.SortFunc(b.pool, func(x, y *target) int {
				return cmp.Compare(mix(r.Key, x.ID), mix(r.Key, y.ID))
			})
			// Danger: where all are at their limits, keys that go wherever there is room find nothing
			// warm, and their extra work keeps all at their limits.
			if b.now < r.arrived+span(keyWait*millis(r.aimAt-r.arrived)) {
				b.pool = b.pool[:min(2, len(b.pool))]
			}
		}
		b.pool = slices.DeleteFunc(b.pool, func(t *target) bool { return !b.room(r, t) })
		if len(b.pool) > 0 && (fresh || stage > 0) {
			return b.choose(keyed)
		}
		if found && (stage > 0 || len(r.attempts) == 0) {
			return nil
		}
	}
	return nil
}

func (b *Balancer) score(t *target) float64 {
	return (t.load + 1) * b.estimate(t)
}

// choose takes one of two from b.pool: the key's own two where keys stay warm, else two sampled.
func (b *Balancer) choose(keyed bool) *target {
	if keyed {
		best := b.pool[0]
		for _, t := range b.pool[1:min(2, len(b.pool))] {
			if b.score(t)*(1+warmGain) < b.score(best) {
				best = t
			}
		}
		return best
	}
	best := b.sample(b.pool)
	near := slices.DeleteFunc(b.pool, func(t *target) bool { return t.Zone != b.cfg.Zone })
	if len(near) == 0 {
		return best
	}
	if local := b.sample(near); b.score(best)*(1+localGain) >= b.score(local) {
		return local
	}
	return best
}

// sample draws two and takes the one of lower expected delay.
func (b *Balancer) sample(pool []*target) *target {
	i, n := b.rng.IntN(len(pool)), len(pool)
	j := (i + 1 + b.rng.IntN(max(n-1, 1))) % n
	if b.score(pool[j]) < b.score(pool[i]) {
		return pool[j]
	}
	return pool[i]
}
