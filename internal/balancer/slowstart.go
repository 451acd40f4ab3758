package balancer

// Slow start: how much work may be sent to a backend that has just started.

import (
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/slowstart"
)

const (
	servedWindow       = 2    // decay times over which the work that backends serve is averaged
	warmupSafetyFactor = 0.8  // rate sent to a warming backend, as a fraction of one that would overload it
	warmupBurstRatio   = 0.25 // fraction of the overload window over which tokens may accumulate
)

// warmupCapacity returns the fraction of its full capacity that a backend has at least, and whether it is
// still warming up.
func (b *Balancer) warmupCapacity(t *target) (capacity float64, warming bool) {
	o := b.cfg.Obligations
	age := b.now - t.warmupStarted
	if t.warmupStarted <= 0 || age >= o.WarmupDuration {
		return 1, false
	}
	return o.InitialCapacity + (1-o.InitialCapacity)*max(0, float64(age)/float64(o.WarmupDuration)), true
}

// recordStart records a start of a backend, known or suspected. What it served before no longer counts. One
// request from each of many proxies at the same time would overload it, so its tokens start below zero.
func (b *Balancer) recordStart(t *target, at time.Duration) {
	if at <= t.warmupStarted {
		return
	}
	t.warmupStarted = at
	t.warmupTokens = b.initialWarmupDebt(t)
	t.warmupTokensAt = b.now
	t.servedWork = decay.Sum{}
}

// initialWarmupDebt is the initial, negative token count of this proxy for a backend that starts, ms. It
// differs between proxies, so that they take turns.
func (b *Balancer) initialWarmupDebt(t *target) float64 {
	return -max(b.meanWork, b.expectedDelay(0, 0)) * slowstart.Stagger(b.cfg.Rank, uint64(t.ID))
}

// suspectRestart treats a run of failures as a crash and records a start, as the backend may be up again
// before the membership shows that it was down; it returns false if it assumes no crash. Where connections
// break often, every backend has such runs now and then, and all would count as warming and get next to no
// requests. So if such a run is likely for a backend that is up, one that has answered within the last
// health check interval is assumed to be up.
func (b *Balancer) suspectRestart(t *target) bool {
	run := max(1, t.consecutiveBreaks, t.failedChecks)
	answeredLately := t.lastOK > 0 && b.now-t.lastOK < b.healthCheckInterval
	if b.connectionFailures.MayBeAlive(run, b.now) && answeredLately {
		return false
	}
	b.recordStart(t, b.now)
	return true
}

// updateWarmupRates sets how much work each warming backend may be sent per second: the fraction of its
// capacity that it has at least, applied to the work that a warm backend serves for this proxy. As each
// proxy counts only its own part, all of them together stay within the budget.
func (b *Balancer) updateWarmupRates() {
	window := max(b.cfg.Obligations.OverloadWindow, time.Second).Seconds()
	served, anyWarm := 0.0, false
	for _, t := range b.subset {
		_, warming := b.warmupCapacity(t)
		served += t.servedWork.Rate(b.now, servedWindow*b.decayTime)
		anyWarm = anyWarm || !warming
	}
	for _, t := range b.subset {
		capacity, warming := b.warmupCapacity(t)
		if !warming {
			continue
		}
		// The slow start's own rate, for when there is no warm backend to compare with.
		rate := b.slowStart.Rate(b.now, capacity, anyWarm) / float64(b.cfg.Instances)
		// If few backends of a zone are up, all proxies of the zone use the same ones, however many they are.
		capacity *= max(1, b.usableBySide[b.zoneSide(t)]/b.subsetSize) / float64(len(b.ready))
		compared := served * capacity * warmupSafetyFactor * b.cfg.Obligations.OverloadMultiple
		t.warmupRate = max(compared, rate*b.meanWork)
		saved := t.warmupTokens + t.warmupRate*(b.now-t.warmupTokensAt).Seconds()
		t.warmupTokens = min(saved, t.warmupRate*warmupBurstRatio*window)
		t.warmupTokensAt = b.now
	}
}

// warmupAllows tells whether the slow start lets a backend get a request of so much work.
func (b *Balancer) warmupAllows(t *target, work float64) bool {
	if _, warming := b.warmupCapacity(t); !warming {
		return true
	}
	if t.warmupTokens >= max(work, b.meanWork) {
		return true
	}
	// Even one request at a time adds up if answers are fast or attempts are cancelled: it needs tokens too.
	return len(t.inFlight) == 0 && t.warmupTokens >= 0 && work <= 2*b.meanWork
}

// mayReceive tells whether a backend may get a new request: only if it is listed as ready, and the slow
// start and the Advice allow it.
func (b *Balancer) mayReceive(t *target, work float64) bool {
	return t.State == Ready && b.warmupAllows(t, work) && b.advice.Allows(b.now, t.ID)
}
