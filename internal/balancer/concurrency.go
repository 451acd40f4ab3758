package balancer

// The concurrency limit: how much load may be in flight at a backend.

import "marlreel/internal/balancer/concurrencylimit"

const (
	// An attempt is overdue after this multiple of its class's tail delay.
	overdueTailFactor = 1.5
	// It is not overdue before this fraction of its latency target, which alone counts while no tail is
	// known.
	minOverdueTargetRatio = 0.3
	maxTailRatio          = 2 // upper bound of tailRatio
	maxUtilitySpeedup     = 4 // spacingElapsed divides the wait of a request of high utility by this at most
	maxRequestWeight      = 8 // largest weight of an attempt in its backend's load
)

// underLimit tells whether a backend may have one more attempt in flight. Where many proxies share a
// backend, the limit may be below one: then attempts are spaced out in time.
func (b *Balancer) underLimit(r *request, t *target) bool {
	if slots := b.advice.Slots(t.ID); slots > 0 {
		return len(t.inFlight) < slots
	}
	if t.load+1 <= t.concurrencyLimit {
		return true
	}
	if len(t.inFlight) > 0 {
		return false
	}
	return t.concurrencyLimit >= 1 || b.spacingElapsed(r, t)
}

// spacingElapsed tells whether enough time has passed since the last attempt at a backend whose limit is
// below one. No queue puts the requests in order of utility here, so a request of higher utility waits
// less. The mean utility may be 0.
func (b *Balancer) spacingElapsed(r *request, t *target) bool {
	speedup := min(max(r.utilityPerWork/max(b.meanUtilityPerWork, 1e-300), 1), maxUtilitySpeedup)
	return b.now >= t.lastSent+fromMillis(b.meanDelay()*b.delayRatio(t)/t.concurrencyLimit/speedup)
}

// tailRatio is how much longer than the others a backend takes at its best, because its machine is slower.
// That is not overload; if it counted as such, the backend would never get more than one attempt at a time.
func (b *Balancer) tailRatio(t *target) float64 {
	if b.medianTail <= 0 {
		return 1
	}
	return min(max(1, t.tail.min/b.medianTail), maxTailRatio)
}

// updateConcurrencyLimit adapts a backend's limit to whether its answers take their usual time. An
// overloaded backend answers all its requests late and may stay slow for long. The end of an attempt would
// show that too late, so an attempt counts as overdue while it is still in flight. weight, 0 to 1, is how
// much the attempt says about the backend as a whole: less if its class is served badly there.
func (b *Balancer) updateConcurrencyLimit(a *attempt, result Result, weight float64) {
	t := a.target
	if result == Rejected {
		a.overdueAt = b.now
	}
	newlyOverdue := b.now >= a.overdueAt && !a.overdue
	switch {
	case newlyOverdue || result == Timeout:
		a.overdue = true
		t.concurrencyLimit = concurrencylimit.Decrease(t.concurrencyLimit, b.sharers(), weight)
	case result == OK && !a.overdue:
		t.concurrencyLimit = concurrencylimit.Increase(t.concurrencyLimit, a.loadAtSend, b.sharers())
	}
}
