package balancer

// The slow start: what a backend that has just started may be sent.

import (
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/slowstart"
)

const (
	servedWindow       = 2    // decay times over which the work that backends serve is averaged
	warmupSafetyFactor = 0.8  // of the rate that would overload a warming backend, that it may be sent
	warmupBurstRatio   = 0.25 // of the overload window that a warming backend's tokens may be saved up over
)

// warmupCapacity gives the share of its capacity that a backend has at least, and whether it is still
// warming up.
func (b *Balancer) warmupCapacity(t *target) (capacity float64, warming bool) {
	o := b.cfg.Obligations
	age := b.now - t.warmupStarted
	if t.warmupStarted <= 0 || age >= o.WarmupDuration {
		return 1, false
	}
	return o.InitialCapacity + (1-o.InitialCapacity)*max(0, float64(age)/float64(o.WarmupDuration)), true
}

// recordStart notes a start, known or suspected. What the backend served before says nothing any more. One
// request at once from each of many proxies would overload it, so its tokens begin in debt.
func (b *Balancer) recordStart(t *target, at time.Duration) {
	if at <= t.warmupStarted {
		return
	}
	t.warmupStarted = at
	t.warmupTokens = b.initialWarmupDebt(t)
	t.warmupTokensAt = b.now
	t.servedWork = decay.Sum{}
}

// initialWarmupDebt is what this proxy's tokens for a backend that starts begin with, ms: proxies take turns.
func (b *Balancer) initialWarmupDebt(t *target) float64 {
	return -max(b.meanWork, b.expectedDelay(0, 0)) * slowstart.Stagger(b.cfg.Rank, uint64(t.ID))
}

// suspectRestart takes a run of failures for a crash, and with that for a start to come: the backend may be
// up again before the membership says that it died. Where connections break by themselves every backend has
// such a run now and then, and all would count as warming and get next to nothing. So where a living
// backend may well have such a run, one that has answered within an interval has not died.
func (b *Balancer) suspectRestart(t *target) bool {
	run := max(1, t.consecutiveBreaks, t.failedChecks)
	answeredLately := t.lastOK > 0 && b.now-t.lastOK < b.healthCheckInterval
	if b.connectionFailures.MayBeAlive(run, b.now) && answeredLately {
		return false
	}
	b.recordStart(t, b.now)
	return true
}

// updateWarmupRates sets what each warming backend may be sent a second: the share of its capacity that it
// has at least, of what each would serve of this proxy's requests. It goes by the proxy's own part, so that
// all proxies together stay within the budget.
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
		// Where no backend is warm there is nothing to compare with.
		rate := b.slowStart.Rate(b.now, capacity, anyWarm) / float64(b.cfg.Instances)
		// Where few are up in a zone, all its proxies use the same ones, however many they are.
		capacity *= max(1, b.usableBySide[b.zoneSide(t)]/b.subsetSize) / float64(len(b.ready))
		compared := served * capacity * warmupSafetyFactor * b.cfg.Obligations.OverloadMultiple
		t.warmupRate = max(compared, rate*b.meanWork)
		saved := t.warmupTokens + t.warmupRate*(b.now-t.warmupTokensAt).Seconds()
		t.warmupTokens = min(saved, t.warmupRate*warmupBurstRatio*window)
		t.warmupTokensAt = b.now
	}
}

// warmupAllows guards the slow start.
func (b *Balancer) warmupAllows(t *target, work float64) bool {
	if _, warming := b.warmupCapacity(t); !warming {
		return true
	}
	if t.warmupTokens >= max(work, b.meanWork) {
		return true
	}
	// Answers that come fast, or a cancel, let one request at a time add up; it needs tokens too.
	return len(t.inFlight) == 0 && t.warmupTokens >= 0 && work <= 2*b.meanWork
}

// mayReceive guards drains: only backends listed ready get anything new.
func (b *Balancer) mayReceive(t *target, work float64) bool {
	return t.State == Ready && b.warmupAllows(t, work) && b.advice.Allows(b.now, t.ID)
}
