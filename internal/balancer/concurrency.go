package balancer

// The concurrency limit: how much may be in flight at a backend.

import "marlreel/internal/balancer/concurrencylimit"

const (
	overdueTailFactor = 1.5 // times its class's tail of delays after which an attempt is overdue,
	// And this part of its latency target at least, which alone counts while no tail is known.
	minOverdueTargetRatio = 0.3
	maxTailRatio          = 2 // times longer that a backend's own tail may be than the others' median one
	maxUtilitySpeedup     = 4 // times sooner at most that a request of more than the mean utility is sent
	maxRequestWeight      = 8 // attempts that one attempt counts for at most
)

// underLimit tells whether a backend may have one more attempt in flight. A limit below one spaces attempts
// out in time, as where many proxies share a backend.
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
	return t.concurrencyLimit >= 1 || b.spacedOut(r, t)
}

// spacedOut tells whether the last attempt at a backend whose limit is below one lies back far enough.
// There is no queue that would let utility go first, so a request of more utility waits less. The mean
// utility may be 0.
func (b *Balancer) spacedOut(r *request, t *target) bool {
	speedup := min(max(r.utilityPerWork/max(b.meanUtilityPerWork, 1e-300), 1), maxUtilitySpeedup)
	return b.now >= t.lastSent+fromMillis(b.meanDelay()*b.delayRatio(t)/t.concurrencyLimit/speedup)
}

// tailRatio is how much longer a backend takes at its best than the others do, as its machine has it: that
// is no overload, and it would never get more than one attempt at a time.
func (b *Balancer) tailRatio(t *target) float64 {
	if b.medianTail <= 0 {
		return 1
	}
	return min(max(1, t.tail.min/b.medianTail), maxTailRatio)
}

// updateConcurrencyLimit learns how much may be in flight at a backend from whether its answers take their
// usual time. An overloaded backend answers all of its requests late, and may turn slow for long. Waiting
// for an attempt's end would show that when it is done, so one counts as overdue while still in flight.
// weight is how far the attempt speaks of the backend, 0 to 1: one of a class that is served badly there
// speaks less.
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
