package balancer

// Outlier ejection: a backend that leaves too many attempts in a row unanswered gets no requests for a while.

import "fmt"

const (
	maxEjectedRatio = 0.5 // fraction of the ready backends that may be ejected or unhealthy
	// Longest ejection in check intervals. The first one lasts one interval, each further one twice as long.
	maxEjectionIntervals = 8
)

// recordPassiveCheck records the end of an attempt as evidence of its backend's health.
func (b *Balancer) recordPassiveCheck(a *attempt, result Result) {
	t := a.target
	if result == OK {
		b.connectionFailures.RecordAnswer(t.consecutiveBreaks, b.now)
		t.consecutiveFailures = 0
		t.consecutiveBreaks = 0
		t.lastOK = b.now
		t.ejectionDuration = 0
		return
	}
	// A broken connection ends all the requests that share it at once: that counts as one break.
	if result == Reset && a.sent < t.lastBreak && b.now-t.lastBreak < b.cfg.Tick {
		return
	}
	if result == Reset || result == ConnectFailed {
		t.consecutiveBreaks++
		t.lastBreak = b.now
	}
	if !b.countsAgainstBackend(a, result) {
		return
	}
	b.recordFailure(t, result)
}

// countsAgainstBackend tells whether a failure is evidence against the whole backend. It is not if the
// backend has answered since the attempt was sent: in an overload all attempts time out, but such a backend
// is only slow. Nor is an unprocessable request, which would eject one backend after the other, or an error
// or timeout of a class that is already ejected there.
func (b *Balancer) countsAgainstBackend(a *attempt, result Result) bool {
	switch result {
	case Rejected, Cancelled, NotSent, Unprocessable:
		return false
	}
	if a.target.lastOK > a.sent {
		return false
	}
	return result == Reset || result == ConnectFailed || !b.isClassEjected(a.request, a.target)
}

// recordFailure counts an unanswered attempt, and ejects the backend after too many in a row.
func (b *Balancer) recordFailure(t *target, result Result) {
	threshold := b.connectionFailures.FailureThreshold(b.now)
	if result == ConnectFailed && t.consecutiveFailures > 0 && !b.suspectRestart(t) {
		// If the backend did crash, further attempts would be lost, so one more failure is enough.
		t.consecutiveFailures = max(t.consecutiveFailures, threshold-1)
	}
	t.consecutiveFailures++
	if t.consecutiveFailures < threshold || t.ejectedUntil > b.now || !b.mayEjectOneMore() {
		return
	}
	interval := b.suspectCheckInterval()
	t.ejectionDuration = min(max(2*t.ejectionDuration, interval), maxEjectionIntervals*interval)
	t.ejectedUntil = b.now + t.ejectionDuration // consecutiveFailures stays: one more failure ejects it again
	b.log(fmt.Sprintf("backend %d ejected: %d attempts in a row without an answer",
		t.ID, t.consecutiveFailures))
}

// mayEjectOneMore tells whether one more backend may be ejected beside those that are already out.
func (b *Balancer) mayEjectOneMore() bool {
	ejected := 1
	for _, t := range b.ready {
		if !b.isHealthy(t) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedRatio*float64(len(b.ready))
}
