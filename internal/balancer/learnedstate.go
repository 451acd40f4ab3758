package balancer

// Export of the learned state to the process that takes over, and its import there. Requests that are in flight,
// queued or not answered yet stay with their own process; so do health checks in flight.

import (
	"slices"
	"time"

	"marlreel/internal/balancer/concurrencylimit"
	"marlreel/internal/balancer/decay"
	"marlreel/internal/process/learnedstate"
)

// maxRestoredWeight is the largest weight, in outcomes, of what another process learned about a class: after as many
// outcomes of its own, this process knows as much itself.
const maxRestoredWeight = 50

// LearnedBackends returns, in no order, the backends with learned state that another process can't get from the
// membership.
func (b *Balancer) LearnedBackends() []BackendID {
	var ids []BackendID
	for _, t := range b.targets {
		if t.State != Gone && t.hasLearnedState() {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func (t *target) hasLearnedState() bool {
	return t.lastOK > 0 || t.consecutiveFailures > 0 || t.warmupStarted > 0 || !t.healthy || t.failedChecks > 0
}

// LearnedState returns the learned state without the backends. LearnedBackend returns those one by one, so that no
// single event takes as long as exporting all of them.
func (b *Balancer) LearnedState(now time.Duration) learnedstate.State {
	b.now = now
	s := learnedstate.State{Common: b.learnedCommon()}
	for i := range b.cfg.Classes {
		s.Classes = append(s.Classes, b.learnedClass(i))
	}
	for i, t := range b.cfg.Tenants {
		s.Tenants = append(s.Tenants, learnedstate.Tenant{Name: t.Name, Offered: b.goodput.Tenant(i)})
	}
	return s
}

func (b *Balancer) learnedCommon() learnedstate.Common {
	falseAlarms, answers := b.connectionFailures.State(b.now)
	return learnedstate.Common{
		MeanDelay:          b.meanDelay(),
		MeanWork:           b.meanWork,
		MeanUtility:        b.meanUtility,
		MeanUtilityPerWork: b.meanUtilityPerWork,
		MeanWindow:         b.meanWindow,
		RequestGap:         b.requestGap,
		RetryTokens:        b.retryTokens,
		FalseAlarms:        falseAlarms,
		Answers:            answers,
		Offered:            b.goodput.Total(),
	}
}

func (b *Balancer) learnedClass(class int) learnedstate.Class {
	l := b.delayModels[class]
	return learnedstate.Class{
		Name:       b.cfg.Classes[class].Name,
		DelayFit:   [5]float64{l.n, l.x, l.y, l.xx, l.xy},
		DelayTail:  b.delayTails[class].parts(),
		Served:     b.servedByClass[class].Value(b.now, b.healthCheckInterval),
		Prediction: b.prediction.State(class),
		Gray:       b.grayFailure.ClassState(class, b.now),
		Offered:    b.goodput.Class(class),
	}
}

// LearnedBackend returns the learned state of a backend; found is not set if the backend is no longer known.
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
		ID:                  uint32(id),
		Healthy:             t.healthy,
		FailedChecks:        t.failedChecks,
		PassedChecks:        t.passedChecks,
		ConsecutiveFailures: t.consecutiveFailures,
		ConsecutiveBreaks:   t.consecutiveBreaks,
		LastOK:              age(t.lastOK),
		EjectedFor:          max(0, t.ejectedUntil-now),
		EjectionDuration:    t.ejectionDuration,
		SinceStart:          age(t.warmupStarted),
		WarmupTokens:        t.warmupTokens,
		ConcurrencyLimit:    t.concurrencyLimit,
		DelayRatios:         t.delays.Value(now, b.decayTime),
		Answers:             t.answers.Value(now, b.decayTime),
		DelayTail:           t.tail.parts(),
	}
	for i := range t.classHealth {
		k.Cells = append(k.Cells, b.grayFailure.State(&t.classHealth[i].Cell, now))
	}
	return k, true
}

// Restore takes over what another process of this proxy had learned; away is the time since then. The state is used
// only where this process has no evidence of its own: a class or backend that has answered this process keeps its
// state. Of each budget, the lower one of both processes counts. For a backend that has started since, nothing that
// was learned is used. The backends carry the IDs of this process.
func (b *Balancer) Restore(now, away time.Duration, s *learnedstate.State) {
	b.now = now
	b.retryTokens = min(b.retryTokens, max(0, s.Common.RetryTokens))
	if !b.knowsAnyClass(s) {
		// The state is of another customer's settings, so its measurements of work don't apply. Backend starts do.
		for i := range s.Backends {
			if t := b.byID[BackendID(s.Backends[i].ID)]; t != nil {
				b.restoreStart(t, away, &s.Backends[i])
			}
		}
		return
	}
	b.restoreCommon(away, s)
	indices := make([]int, len(s.Classes)) // of the state's classes in this process's settings; -1: not there
	for i := range s.Classes {
		indices[i] = b.restoreClass(away, &s.Classes[i])
	}
	for _, known := range s.Tenants {
		i := slices.IndexFunc(b.cfg.Tenants, func(t Tenant) bool { return t.Name == known.Name })
		if i >= 0 && b.goodput.Tenant(i).Offered == 0 {
			b.goodput.ResumeTenant(i, known.Offered)
		}
	}
	for i := range s.Backends {
		if t := b.byID[BackendID(s.Backends[i].ID)]; t != nil {
			b.restoreBackend(t, away, &s.Backends[i], indices)
		}
	}
	b.selectSubset()
	b.updateMedians()
	b.updateWarmupRates()
}

// knowsAnyClass tells whether any class of the state is among this process's settings.
func (b *Balancer) knowsAnyClass(s *learnedstate.State) bool {
	return slices.ContainsFunc(s.Classes, func(k learnedstate.Class) bool {
		return slices.ContainsFunc(b.cfg.Classes, func(c Class) bool { return c.Name == k.Name })
	})
}

// restoreCommon takes over the state that belongs to no single class or backend.
func (b *Balancer) restoreCommon(away time.Duration, s *learnedstate.State) {
	c := &s.Common
	if b.meanWindow < c.MeanWindow && c.MeanDelay > 0 && c.MeanWork > 0 {
		b.meanExpectedDelay = c.MeanDelay
		b.meanWork = c.MeanWork
		b.meanUtility = c.MeanUtility
		b.meanUtilityPerWork = c.MeanUtilityPerWork
		b.meanWindow = min(c.MeanWindow, maxMeanWindow)
		b.requestGap = max(c.RequestGap, 1)
		// Without an answer in any class the mean delay is a guess.
		if slices.ContainsFunc(s.Classes, func(k learnedstate.Class) bool { return k.DelayFit[0] >= 1 }) {
			b.knownDelay = average{b.meanWindow, c.MeanDelay}
		}
		b.goodput.ResumeTotal(c.Offered)
	}
	if _, answers := b.connectionFailures.State(b.now); answers == 0 {
		b.connectionFailures.Resume(c.FalseAlarms, c.Answers, away, b.now)
	}
}

// restoreClass takes over what was learned about a class, unless this process knows more about it. It returns the
// index of the class in this process's settings, or -1 if there is none.
func (b *Balancer) restoreClass(away time.Duration, k *learnedstate.Class) int {
	i := slices.IndexFunc(b.cfg.Classes, func(c Class) bool { return c.Name == k.Name })
	if i < 0 || b.delayModels[i].n >= k.DelayFit[0] {
		return i
	}
	fit := linearFit{k.DelayFit[0], k.DelayFit[1], k.DelayFit[2], k.DelayFit[3], k.DelayFit[4]}
	fit = fit.limitedTo(maxRestoredWeight)
	// A mean delay that no request of the class can have had would cause all of them to be rejected, or queued for
	// longer than their clients wait. Then none would be sent, and no answer would correct the mean.
	if !(fit.n >= 1 && fit.mean() > 0 && fit.mean() <= millis(b.cfg.Classes[i].ClientTimeout)) {
		return i
	}
	b.delayModels[i] = fit
	b.delayTails[i] = newTailQuantile(k.DelayTail)
	b.servedByClass[i] = decay.NewSum(k.Served, b.now-away)
	b.prediction.Resume(i, k.Prediction, maxRestoredWeight)
	b.grayFailure.ResumeClass(i, k.Gray, maxRestoredWeight, away, b.now)
	if b.goodput.Class(i).Offered == 0 {
		b.goodput.ResumeClass(i, k.Offered)
	}
	return i
}

// restoreStart takes over a backend's start time. What the other process has spent of a warming backend's budget
// counts here too, as the backend got that work.
func (b *Balancer) restoreStart(t *target, away time.Duration, k *learnedstate.Backend) {
	if k.SinceStart < 0 {
		return
	}
	tokens := k.WarmupTokens
	if _, warming := b.warmupCapacity(t); warming {
		tokens = min(tokens, t.warmupTokens)
	}
	t.warmupStarted = max(t.warmupStarted, b.now-away-k.SinceStart, 1)
	t.warmupTokens = tokens
	t.warmupTokensAt = b.now
}

// restoreBackend takes over what was learned about a backend; indices maps the state's classes to this process's.
func (b *Balancer) restoreBackend(t *target, away time.Duration, k *learnedstate.Backend, indices []int) {
	b.restoreStart(t, away, k)
	if t.Started > b.now-away || t.answers.Value(b.now, b.decayTime) > 0 {
		return
	}
	b.restoreHealth(t, away, k)
	t.concurrencyLimit = concurrencylimit.Clamp(k.ConcurrencyLimit, b.sharers())
	t.delays = decay.NewSum(k.DelayRatios, b.now-away)
	t.answers = decay.NewSum(k.Answers, b.now-away)
	t.tail = newTailQuantile(k.DelayTail)
	for n, i := range indices {
		if i < 0 {
			continue
		}
		health := &t.classHealth[i]
		health.Cell = b.grayFailure.Resume(k.Cells[n], away, b.now)
		_, _, ejected := health.EjectionState()
		t.setIsolated(health, ejected)
		health.lastTrial = b.now
	}
}

// restoreHealth takes over a backend's health and ejection; a suspect backend is checked at once.
func (b *Balancer) restoreHealth(t *target, away time.Duration, k *learnedstate.Backend) {
	t.healthy = k.Healthy
	t.failedChecks = k.FailedChecks
	t.passedChecks = k.PassedChecks
	t.consecutiveFailures = k.ConsecutiveFailures
	t.consecutiveBreaks = k.ConsecutiveBreaks
	if k.LastOK >= 0 {
		t.lastOK = max(1, b.now-away-k.LastOK)
	}
	maxEjection := maxEjectionIntervals * b.suspectCheckInterval()
	if left := k.EjectedFor - away; left > 0 {
		t.ejectedUntil = b.now + min(left, maxEjection)
	}
	t.ejectionDuration = min(k.EjectionDuration, maxEjection)
	if !t.healthy || t.failedChecks > 0 {
		t.nextCheck = b.now
	}
}
