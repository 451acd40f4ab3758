package balancer

// The selection of a backend for an attempt: the better of two sampled ones, by expected delay
// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).

import (
	"cmp"
	"slices"

	"marlreel/internal/balancer/prediction"
)

const (
	// How much worse the own zone's candidate may be before one elsewhere is taken.
	crossZonePenalty     = 0.75
	replicaPenaltyFactor = 3    // times more for a request that few backends can run
	preferredReplicas    = 2    // backends that can run it, to which a proxy turns first
	rebalanceUtility     = 0.15 // of relieving a slower backend altogether, in requests of mean utility
	// Part of its latency target for which a request waits for its key's own two backends.
	affinityWaitRatio = 0.15
	affinityPenalty   = 1.0 // how much worse the key's first backend may be before its second is taken
)

// stage is where a backend is looked for, one stage after the other.
type stage int

const (
	stageSubset  stage = iota // healthy backends of the subset
	stageHealthy              // all healthy backends
	stageAll                  // all ready backends
	stages
)

func (b *Balancer) backendsOf(s stage) []*target {
	if s == stageSubset {
		return b.subset
	}
	return b.ready
}

// pick finds the backend for an attempt; nil: there is none now.
func (b *Balancer) pick(r *request) *target {
	work := b.work(r)
	keyed := b.cfg.KeyAffinity && r.Key != 0
	if t := b.pickTrial(r, work); t != nil {
		return t
	}
	for s := range stages {
		found, fresh := b.findCandidates(r, s, work)
		b.narrowCandidates(r, keyed)
		if len(b.candidates) > 0 && (fresh || s > stageSubset) {
			return b.choose(r, keyed)
		}
		if found && (s > stageSubset || len(r.attempts) == 0) {
			return nil
		}
	}
	return nil
}

// findCandidates sets b.candidates to the backends of a stage that may receive the request. found tells
// whether any could run it, fresh whether any of the candidates has had no attempt of it: those alone are
// candidates then.
func (b *Balancer) findCandidates(r *request, s stage, work float64) (found, fresh bool) {
	b.candidates = b.candidates[:0]
	for _, t := range b.backendsOf(s) {
		if !b.eligible(r, t, s) {
			continue
		}
		found = true
		if b.mayReceive(t, work) {
			b.candidates = append(b.candidates, t)
			fresh = fresh || !attempted(r, t)
		}
	}
	if fresh {
		b.candidates = slices.DeleteFunc(b.candidates, func(t *target) bool { return attempted(r, t) })
	}
	return found, fresh
}

// eligible tells whether a stage takes a backend for a request. A second attempt where its class is served
// badly is lost like the first. Of the backends that have what a request needs loaded, the subset would
// often have just one, whatever its load.
func (b *Balancer) eligible(r *request, t *target, s stage) bool {
	switch {
	case s == stageSubset && r.Needs != nil, !b.maySend(r, t):
		return false
	case s < stageAll && !b.isHealthy(t):
		return false
	case b.isClassEjected(r, t):
		return s == stageAll && len(r.attempts) == 0
	}
	return true
}

// narrowCandidates keeps the candidates that are under their limits; with affinity, for a while only the
// key's own two. Where all are at their limits, keys that go wherever there is room find nothing warm, and
// their extra work keeps all at their limits.
func (b *Balancer) narrowCandidates(r *request, keyed bool) {
	if keyed {
		slices.SortFunc(b.candidates, r.compareByKey)
		if b.now < r.arrived+fromMillis(affinityWaitRatio*millis(r.targetAt-r.arrived)) {
			b.candidates = b.candidates[:min(2, len(b.candidates))]
		}
	}
	b.candidates = slices.DeleteFunc(b.candidates, func(t *target) bool { return !b.underLimit(r, t) })
}

// score is the expected delay of a request at a backend, in multiples of what the class usually takes: the
// load and one more, times the delay ratio, and the latency target for each attempt that is lost on the way
// to an answer.
func (b *Balancer) score(r *request, t *target) float64 {
	cell := &t.classHealth[r.Class].Cell
	mean := t.delays.Mean(&t.answers, b.now, b.decayTime)
	score := (t.load + 1) * b.grayFailure.DelayRatio(cell, r.Class, b.now, b.delayRatio(t), mean)
	expected := b.expectedDelay(r.Class, millis(r.Cost))
	if success := b.grayFailure.RelativeSuccess(cell, r.Class, b.now); success < 1 {
		score += (1 - success) / success * millis(r.class.LatencyTarget) / expected
	}
	return score + b.extraDelay(r, t)/expected
}

// choose takes one of b.candidates: one of the key's own two with affinity, else the better of two sampled
// ones.
func (b *Balancer) choose(r *request, keyed bool) *target {
	if keyed {
		return b.chooseByKey(r)
	}
	best := b.sample(r, b.candidates)
	preferred := b.preferred(r)
	if len(preferred) == 0 {
		return best
	}
	local := b.sample(r, preferred)
	if b.shouldLeavePreferred(r, local, best) {
		return best
	}
	return local
}

func (b *Balancer) chooseByKey(r *request) *target {
	first, second := b.candidates[0], b.candidates[min(1, len(b.candidates)-1)]
	if b.score(r, second)*(1+affinityPenalty) < b.score(r, first) {
		return second
	}
	return first
}

// shouldLeavePreferred tells whether the best of all is so much better than the best of the preferred that it
// is taken.
func (b *Balancer) shouldLeavePreferred(r *request, local, best *target) bool {
	localScore, bestScore := b.score(r, local), b.score(r, best)
	if bestScore*(1+crossZonePenalty*r.replicaFactor()) >= localScore {
		return false
	}
	relief := rebalanceUtility * (1 - bestScore/localScore)
	return b.costs.ExpectedUtility(b.evaluate(r, best))+relief > b.costs.ExpectedUtility(b.evaluate(r, local))
}

// preferred gives the candidates that are preferred: those of the own zone; for a request that few backends
// can run the first ones in this proxy's order, so that few connections are needed.
func (b *Balancer) preferred(r *request) []*target {
	if r.Needs == nil {
		return slices.DeleteFunc(b.candidates, func(t *target) bool { return t.Zone != b.cfg.Zone })
	}
	slices.SortStableFunc(b.candidates, b.compareByDistance)
	return b.candidates[:min(len(b.candidates), preferredReplicas)]
}

// compareByDistance orders backends by zone, and by whether a connection is likely to be open.
func (b *Balancer) compareByDistance(x, y *target) int {
	return cmp.Or(b.zoneSide(x)-b.zoneSide(y), b.connectionRank(x)-b.connectionRank(y))
}

// connectionRank is 0 while an idle connection to a backend is likely to be open, and 1 else.
func (b *Balancer) connectionRank(t *target) int {
	if b.now-t.lastSent < b.cfg.Caps.ConnIdle/2 {
		return 0
	}
	return 1
}

// compareByKey orders backends for a request's key, the same way at every proxy.
func (r *request) compareByKey(x, y *target) int {
	return cmp.Compare(mix(r.Key, x.ID), mix(r.Key, y.ID))
}

// replicaFactor scales crossZonePenalty for a request: one that few backends can run has a connection and a
// cache there, which are worth keeping.
func (r *request) replicaFactor() float64 {
	if r.Needs == nil {
		return 1
	}
	return replicaPenaltyFactor
}

// evaluate is what sending a request there has to win and to lose.
func (b *Balancer) evaluate(r *request, t *target) prediction.Attempt {
	weight := b.goodput.RelativeUtility(r.Class, r.Tenant, 1-r.overQuota)
	return prediction.Attempt{
		Utility:            r.utility / b.meanUtility * weight,
		Work:               b.work(r) / b.meanWork,
		CrossZone:          b.zoneSide(t) > 0,
		SuccessProbability: b.valueProbability(r, b.predictDelay(r, t)),
	}
}

// sample draws two backends and takes the one of lower expected delay.
func (b *Balancer) sample(r *request, candidates []*target) *target {
	n := len(candidates)
	i := b.rng.IntN(n)
	j := (i + 1 + b.rng.IntN(max(n-1, 1))) % n
	if b.score(r, candidates[j]) < b.score(r, candidates[i]) {
		return candidates[j]
	}
	return candidates[i]
}

// attempted tells whether a request has had an attempt at a backend.
func attempted(r *request, t *target) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.target == t })
}
