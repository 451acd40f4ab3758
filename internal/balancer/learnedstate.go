package balancer

// The learned state, for the process that takes over, and back. What is in flight, queued or owed is
// its own process's and stays there; so do health checks that are under way.

import (
	"slices"
	"time"

	"marlreel/internal/balancer/concurrencylimit"
	"marlreel/internal/balancer/decay"
	"marlreel/internal/process/learnedstate"
)

// maxRestoredWeight is how many ends of attempts what another process had learnt of a class counts for at
// most: that many of its own, and this process knows as much itself.
const maxRestoredWeight = 50

// LearnedBackends are the backends of which something was learnt that another process can't know from
// the list, in no order.
func (b *Balancer) LearnedBackends() []BackendID {
	var ids []BackendID
	for _, t := range b.targets {
		if t.State != Gone && (t.lastOK > 0 || t.consecutiveFailures > 0 || t.warmupStarted > 0 || !t.healthy || t.failedChecks > 0) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// LearnedState is what was learnt, but for the backends: LearntOf gives one. They are taken one by
// one, so that no event takes as long as all of them.
func (b *Balancer) LearnedState(now time.Duration) learnedstate.State {
	b.now = now
	alarms, answered := b.connectionFailures.State(now)
	s := learnedstate.State{Common: learnedstate.Common{
		Mean: b.meanDelay(), MeanWork: b.meanWork, MeanWorth: b.meanUtility, MeanRank: b.meanUtilityPerWork,
		Over: b.meanWindow, Gap: b.requestGap, Retries: b.retryTokens, Alarms: alarms, Answered: answered, Asked: b.goodput.Total(),
	}}
	for i := range b.cfg.Classes {
		l := b.delayModels[i]
		s.Classes = append(s.Classes, learnedstate.Class{
			Name: b.cfg.Classes[i].Name, Line: [5]float64{l.n, l.x, l.y, l.xx, l.xy},
			Tail: b.delayTails[i].parts(), Served: b.servedByClass[i].Value(now, b.healthCheckInterval), Forecast: b.prediction.State(i),
			Gray: b.grayFailure.KindState(i, now), Asked: b.goodput.Class(i),
		})
	}
	for i, t := range b.cfg.Tenants {
		s.Tenants = append(s.Tenants, learnedstate.Tenant{Name: t.Name, Asked: b.goodput.Tenant(i)})
	}
	return s
}

// LearnedBackend is what was learnt of a backend, if it is still there.
func (b *Balancer) LearnedBackend(now time.Duration, id BackendID) (k learnedstate.Backend, found bool) {
	b.now = now
	t := b.byID[id]
	if t == nil {
		return k, false
	}
	age := func(at time.Duration) time.Duration {
		if at <= 0 {
			return learnedstate.Never
		}
		return max(0, now-at)
	}
	k = learnedstate.Backend{
		ID: uint32(id), Healthy: t.healthy, Fails: t.failedChecks, Passes: t.passedChecks, Bad: t.consecutiveFailures, Broken: t.consecutiveBreaks,
		LastOK: age(t.lastOK), Ejected: max(0, t.ejectedUntil-now), Hold: t.ejectionDuration, Cold: age(t.warmupStarted), Tokens: t.warmupTokens,
		Limit: t.concurrencyLimit, Delays: t.delays.Value(now, b.decayTime), Answers: t.answers.Value(now, b.decayTime),
		Tail: t.tail.parts(),
	}
	for i := range t.classHealth {
		k.Cells = append(k.Cells, b.grayFailure.State(&t.classHealth[i].Cell, now))
	}
	return k, true
}

// Restore goes on with what another process of this proxy had learnt, away ago. It is believed
// where this one knows nothing itself: of a class or a backend that it has had answers of, its
// own word stands. Budgets are what is less on either side. A backend that has started since is
// another one to all that was learnt. k.ID of each backend is this process's.
func (b *Balancer) Restore(now, away time.Duration, s *learnedstate.State) {
	b.now = now
	c := &s.Common
	b.retryTokens = min(b.retryTokens, max(0, c.Retries))
	// Danger: where none of its classes is known here it is of another customer, as is all that it says of
	// work.
	if !slices.ContainsFunc(s.Classes, func(k learnedstate.Class) bool {
		return slices.ContainsFunc(b.cfg.Classes, func(c Class) bool { return c.Name == k.Name })
	}) {
		for i := range s.Backends {
			if t := b.byID[BackendID(s.Backends[i].ID)]; t != nil {
				b.restoreStart(t, away, &s.Backends[i])
			}
		}
		return
	}
	if b.meanWindow < c.Over && c.Mean > 0 && c.MeanWork > 0 {
		b.meanExpectedDelay, b.meanWork, b.meanUtility, b.meanUtilityPerWork, b.meanWindow = c.Mean, c.MeanWork, c.MeanWorth, c.MeanRank, min(c.Over, maxMeanWindow)
		b.requestGap = max(c.Gap, 1)
		// Else it is a guess.
		if slices.ContainsFunc(s.Classes, func(k learnedstate.Class) bool { return k.Line[0] >= 1 }) {
			b.knownDelay = average{b.meanWindow, c.Mean}
		}
		b.goodput.ResumeTotal(c.Asked)
	}
	if _, answered := b.connectionFailures.State(now); answered == 0 {
		b.connectionFailures.Resume(c.Alarms, c.Answered, away, now)
	}
	place := make([]int, len(s.Classes)) // of each class here; -1: it is not known here, or by itself
	for i := range s.Classes {
		place[i] = b.restoreClass(away, &s.Classes[i])
	}
	for _, known := range s.Tenants {
		i := slices.IndexFunc(b.cfg.Tenants, func(t Tenant) bool { return t.Name == known.Name })
		if i >= 0 && b.goodput.Tenant(i).Offered == 0 {
			b.goodput.ResumeTenant(i, known.Asked)
		}
	}
	for i := range s.Backends {
		if t := b.byID[BackendID(s.Backends[i].ID)]; t != nil {
			b.restoreBackend(t, away, &s.Backends[i], place)
		}
	}
	b.selectSubset()
	b.updateMedians()
	b.updateWarmupRates()
}

// restoreClass gives the place of a class here, or -1 if it is none or has been learnt here.
func (b *Balancer) restoreClass(away time.Duration, k *learnedstate.Class) int {
	i := slices.IndexFunc(b.cfg.Classes, func(c Class) bool { return c.Name == k.Name })
	if i < 0 || b.delayModels[i].n >= k.Line[0] {
		return i
	}
	// Danger: a delay that none of its requests can have had would refuse all of them, or let them wait
	// for longer than their clients do, and then nothing is learnt that would mend it.
	l := linearFit{k.Line[0], k.Line[1], k.Line[2], k.Line[3], k.Line[4]}
	l = l.limitedTo(maxRestoredWeight)
	if !(l.n >= 1 && l.mean() > 0 && l.mean() <= millis(b.cfg.Classes[i].ClientTimeout)) {
		return i
	}
	b.delayModels[i] = l
	b.delayTails[i] = newTailQuantile(k.Tail)
	b.servedByClass[i] = decay.NewSum(k.Served, b.now-away)
	b.prediction.Resume(i, k.Forecast, maxRestoredWeight)
	b.grayFailure.ResumeKind(i, k.Gray, maxRestoredWeight, away, b.now)
	if b.goodput.Class(i).Offered == 0 {
		b.goodput.ResumeClass(i, k.Asked)
	}
	return i
}

// restoreStart takes over what is known of a backend's start. Danger: the budget that another process has
// spent on a cold backend is spent for this one too.
func (b *Balancer) restoreStart(t *target, away time.Duration, k *learnedstate.Backend) {
	if k.Cold >= 0 {
		tokens := k.Tokens
		if _, cold := b.warmupCapacity(t); cold {
			tokens = min(tokens, t.warmupTokens)
		}
		t.warmupStarted = max(t.warmupStarted, b.now-away-k.Cold, 1)
		t.warmupTokens, t.warmupTokensAt = tokens, b.now
	}
}

func (b *Balancer) restoreBackend(t *target, away time.Duration, k *learnedstate.Backend, place []int) {
	b.restoreStart(t, away, k)
	if t.Started > b.now-away || t.answers.Value(b.now, b.decayTime) > 0 {
		return
	}
	t.healthy, t.failedChecks, t.passedChecks, t.consecutiveFailures, t.consecutiveBreaks = k.Healthy, k.Fails, k.Passes, k.Bad, k.Broken
	if k.LastOK >= 0 {
		t.lastOK = max(1, b.now-away-k.LastOK)
	}
	if left := k.Ejected - away; left > 0 {
		t.ejectedUntil = b.now + min(left, maxEjectionIntervals*b.suspectCheckInterval())
	}
	t.ejectionDuration = min(k.Hold, maxEjectionIntervals*b.suspectCheckInterval())
	t.concurrencyLimit = concurrencylimit.Clamp(k.Limit, b.sharers())
	t.delays, t.answers = decay.NewSum(k.Delays, b.now-away), decay.NewSum(k.Answers, b.now-away)
	t.tail = newTailQuantile(k.Tail)
	if !t.healthy || t.failedChecks > 0 {
		t.nextCheck = b.now
	}
	for n, i := range place {
		if i >= 0 {
			t.classHealth[i].Cell = b.grayFailure.Resume(k.Cells[n], away, b.now)
			_, _, out := t.classHealth[i].EjectionState()
			t.setIsolated(&t.classHealth[i], out)
			t.classHealth[i].lastTrial = b.now
		}
	}
}
