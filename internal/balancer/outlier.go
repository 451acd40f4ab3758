package balancer

// Outlier ejection: a backend that leaves attempts without an answer gets nothing for a while.

import "fmt"

const (
	maxEjectedRatio = 0.5 // share of the ready backends that may be ejected or unhealthy
	// Check intervals that an ejection lasts at most; the first lasts one, each next twice as long.
	maxEjectionIntervals = 8
)

// recordPassiveCheck takes an attempt's end as evidence of its backend's health.
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
	// One connection that carries many requests breaks under all of them at once: that is one break.
	if result == Reset && a.sent < t.lastBreak && b.now-t.lastBreak < b.cfg.Tick {
		return
	}
	if result == Reset || result == ConnectFailed {
		t.consecutiveBreaks++
		t.lastBreak = b.now
	}
	if !b.speaksOfBackend(a, result) {
		return
	}
	b.recordFailure(t, result)
}

// speaksOfBackend tells whether a failure is evidence against the whole backend. In an overload all
// attempts time out, and a backend that still answers others is only slow. A request that no backend can
// use would eject one after the other. A class that is ejected there by itself says nothing new.
func (b *Balancer) speaksOfBackend(a *attempt, result Result) bool {
	switch result {
	case Rejected, Cancelled, NotSent, Unprocessable:
		return false
	}
	if a.target.lastOK > a.sent {
		return false
	}
	return result == Reset || result == ConnectFailed || !b.isClassEjected(a.request, a.target)
}

// recordFailure counts an attempt without an answer, and ejects the backend after too many in a row.
func (b *Balancer) recordFailure(t *target, result Result) {
	threshold := b.connectionFailures.FailureThreshold(b.now)
	if result == ConnectFailed && t.consecutiveFailures > 0 && !b.suspectRestart(t) {
		// If it did die, further attempts are lost: one more failure is enough.
		t.consecutiveFailures = max(t.consecutiveFailures, threshold-1)
	}
	t.consecutiveFailures++
	if t.consecutiveFailures < threshold || t.ejectedUntil > b.now || !b.mayEjectOneMore() {
		return
	}
	interval := b.suspectCheckInterval()
	t.ejectionDuration = min(max(2*t.ejectionDuration, interval), maxEjectionIntervals*interval)
	t.ejectedUntil = b.now + t.ejectionDuration // the failures stay counted: after it, one more is enough
	b.log(fmt.Sprintf("backend %d ejected: %d attempts in a row without an answer",
		t.ID, t.consecutiveFailures))
}

// mayEjectOneMore tells whether one more backend may be ejected beside those that get nothing now.
func (b *Balancer) mayEjectOneMore() bool {
	ejected := 1
	for _, t := range b.ready {
		if !b.isHealthy(t) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedRatio*float64(len(b.ready))
}
