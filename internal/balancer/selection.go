package balancer

// The selection of a backend for an attempt: of two sampled backends, the one with the lower expected delay
// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).

import (
	"cmp"
	"slices"

	"marlreel/internal/balancer/prediction"
)

const (
	// How much worse the score of the own zone's candidate may be before one in another zone is taken.
	crossZonePenalty     = 0.75
	replicaPenaltyFactor = 3    // multiplies crossZonePenalty for a request that few backends can run
	preferredReplicas    = 2    // how many of the backends that can run such a request a proxy prefers
	rebalanceUtility     = 0.15 // utility of relieving a slower backend entirely, in requests of mean utility
	// Fraction of its latency target for which a request waits for the two preferred backends of its key.
	affinityWaitRatio = 0.15
	affinityPenalty   = 1.0 // how much worse a key's first backend may score before its second is taken
)

// stage is a set of backends to search. The stages are searched in order.
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

// pick returns the backend for an attempt, or nil if there is none now.
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

// findCandidates sets b.candidates to the backends of a stage that may receive the request. found is set if
// any backend is eligible, fresh if any candidate has had no attempt of the request yet; the other
// candidates are dropped in that case.
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

// eligible tells whether a backend may be considered for a request in a stage. A class that is ejected at a
// backend gets only first attempts there, in the last stage: a second one would probably be lost like the
// first. Requests with Needs skip the subset, as it often contains only one backend that has the model
// loaded, whatever its load.
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

// narrowCandidates keeps the candidates that are under their concurrency limits; with key affinity, it
// first keeps only the key's two preferred backends for a while. Otherwise, when all backends are at their
// limits, keys would go to any backend with room, miss its cache, and the extra work would keep all
// backends at their limits.
func (b *Balancer) narrowCandidates(r *request, keyed bool) {
	if keyed {
		slices.SortFunc(b.candidates, r.compareByKey)
		if b.now < r.arrived+fromMillis(affinityWaitRatio*millis(r.targetAt-r.arrived)) {
			b.candidates = b.candidates[:min(2, len(b.candidates))]
		}
	}
	b.candidates = slices.DeleteFunc(b.candidates, func(t *target) bool { return !b.underLimit(r, t) })
}

// score is the expected delay of a request at a backend, as a multiple of the class's usual delay: the load
// plus this request, times the delay ratio, plus a latency target for each attempt that is expected to fail
// before one is answered.
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

// choose returns one of b.candidates: with key affinity one of the key's two preferred backends, otherwise
// the better of two sampled ones.
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

// shouldLeavePreferred tells whether best, sampled from all candidates, is better than local, sampled from
// the preferred ones, by enough to be chosen instead.
func (b *Balancer) shouldLeavePreferred(r *request, local, best *target) bool {
	localScore, bestScore := b.score(r, local), b.score(r, best)
	if bestScore*(1+crossZonePenalty*r.replicaFactor()) >= localScore {
		return false
	}
	relief := rebalanceUtility * (1 - bestScore/localScore)
	return b.costs.ExpectedUtility(b.evaluate(r, best))+relief > b.costs.ExpectedUtility(b.evaluate(r, local))
}

// preferred returns the preferred candidates: those of the own zone, or, for a request that few backends
// can run, the first ones in this proxy's order, so that few connections are needed.
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

// connectionRank is 0 while an idle connection to a backend is likely to be open, and 1 otherwise.
func (b *Balancer) connectionRank(t *target) int {
	if b.now-t.lastSent < b.cfg.Caps.ConnIdle/2 {
		return 0
	}
	return 1
}

// compareByKey orders backends by rendezvous hash of the request's key, the same way at every proxy.
func (r *request) compareByKey(x, y *target) int {
	return cmp.Compare(mix(r.Key, x.ID), mix(r.Key, y.ID))
}

// replicaFactor scales crossZonePenalty for a request: for one that few backends can run, the preferred
// backends have open connections and warm caches, which are worth keeping.
func (r *request) replicaFactor() float64 {
	if r.Needs == nil {
		return 1
	}
	return replicaPenaltyFactor
}

// evaluate returns the utility, cost and success probability of sending a request to a backend.
func (b *Balancer) evaluate(r *request, t *target) prediction.Attempt {
	weight := b.goodput.RelativeUtility(r.Class, r.Tenant, 1-r.overQuota)
	return prediction.Attempt{
		Utility:            r.utility / b.meanUtility * weight,
		Work:               b.work(r) / b.meanWork,
		CrossZone:          b.zoneSide(t) > 0,
		SuccessProbability: b.valueProbability(r, b.predictDelay(r, t)),
	}
}

// sample draws two backends and returns the one with the lower score.
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
