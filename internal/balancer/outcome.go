package balancer

// Outcomes: what the end of an attempt teaches, and what comes next.

import (
	"math"
	"slices"
	"time"
)

const (
	retryBudgetRatio = 0.1 // further attempts, as a share of the answers
	maxRetryTokens   = 10  // further attempts that may be saved up

	minTookMillis       = 0.01 // of an attempt, so that no ratio is of nothing
	cancelledWeight     = 0.5  // of the age of a cancelled attempt, which is a lower bound of its delay
	minOverloadEvidence = 0.5  // from which an attempt that timed out counts as slow and not as lost
)

// OnAttemptEnd takes the end of an attempt and decides what comes next.
func (b *Balancer) OnAttemptEnd(now time.Duration, o Outcome) {
	b.now = now
	r, a := b.find(o.ID, o.Attempt)
	if a == nil || a.done {
		return
	}
	b.completeAttempt(a, o)
	if o.Final && !r.ended {
		r.ended = true
		b.retryStorm.RecordEnd(now, b.identityKey(r.Request), r.firstArrived, 0, o.Result == OK)
	}
	b.continueRequest(r, a, o.Result)
	b.dispatch()
}

// find gives a request and one of its attempts, or nil.
func (b *Balancer) find(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) {
		return nil, nil
	}
	return r, r.attempts[index]
}

// continueRequest decides whether a request whose attempt has ended is over, waits for another attempt, or
// is queued for a retry.
func (b *Balancer) continueRequest(r *request, a *attempt, result Result) {
	if r.ended {
		b.finish(r, a)
		return
	}
	if result == Unprocessable { // and so would every other attempt be
		b.host.Fail(r.ID)
		b.finish(r, a)
		return
	}
	if r.inFlight > 0 {
		return
	}
	costsWork := result != ConnectFailed && result != NotSent
	if b.now >= b.usefulUntil(r)-b.cfg.Tick || costsWork && !b.takeRetry() {
		b.rejectOrFail(r)
		return
	}
	b.enqueue(r)
}

// takeRetry takes a retry from the budgets; it tells whether there was one.
func (b *Balancer) takeRetry() bool {
	if b.retryTokens < 1 || !b.advice.TryRetry(b.now) {
		return false
	}
	b.retryTokens--
	return true
}

// completeAttempt takes an attempt off its backend's load and learns from it.
func (b *Balancer) completeAttempt(a *attempt, o Outcome) {
	t, r := a.target, a.request
	a.done = true
	a.mayRun = !o.Result.NeverRan()
	r.inFlight--
	t.removeInFlight(a)
	if a.firstByteAt > 0 { // what could be learned came with the first byte
		b.recordPassiveCheck(a, o.Result)
		return
	}
	t.trackAge(a, -1)
	b.recordPassiveCheck(a, o.Result)
	took := max(millis(b.now-a.sent), minTookMillis)
	weight := b.recordGrayFailure(a, o.Result)
	overload := weight
	if o.Result == Timeout { // where answers are lost no limit helps, and limits would sink
		overload *= b.grayFailure.SlowProbability(r.Class, b.now, took, b.delayExpectation(a))
	}
	b.updateConcurrencyLimit(a, o.Result, overload)
	b.recordSlowStart(a, o.Result, took)
	switch o.Result {
	case OK:
		b.recordAnswer(a, took, o.Final)
	case Cancelled, NotSent, Unprocessable:
		if took > a.expected {
			b.recordDelayRatio(a, took/a.expected, cancelledWeight*weight)
		}
	default:
		b.recordFailedAttempt(a, o.Result, took, overload, weight)
	}
}

func (t *target) removeInFlight(a *attempt) {
	if i := slices.Index(t.inFlight, a); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
	t.load -= a.weight
	if len(t.inFlight) == 0 { // no error of rounding stays
		t.load = 0
	}
}

// recordSlowStart tells the slow start what became of an attempt at a warming backend.
func (b *Balancer) recordSlowStart(a *attempt, result Result, took float64) {
	if _, warming := b.warmupCapacity(a.target); !warming {
		return
	}
	if result == OK || result == Rejected || result == Timeout {
		b.slowStart.RecordOutcome(b.now, result == OK && took <= millis(a.request.class.LatencyTarget))
	}
}

// recordFailedAttempt learns from a failure. A failure comes fast: it counts as slow as the latency target,
// or a broken backend would draw all traffic; but as no multiple of the median, which would feed itself
// while all fail.
func (b *Balancer) recordFailedAttempt(a *attempt, result Result, took, overload, weight float64) {
	class := a.request.Class
	if result == Timeout && overload > minOverloadEvidence { // not lost: it takes longer
		b.prediction.RecordOutcome(class, a.predicted, took, false)
		b.delayModels[class].add(millis(a.request.Cost), max(took, a.expected))
	}
	latencyTarget := millis(a.request.class.LatencyTarget)
	ratio := max(took/a.expected, latencyTarget/a.expected, b.medianDelayRatio)
	b.recordDelayRatio(a, ratio, weight)
}

// recordAnswer learns from a good answer; final: it is the client's.
func (b *Balancer) recordAnswer(a *attempt, took float64, final bool) {
	t, r := a.target, a.request
	b.retryTokens = min(b.retryTokens+retryBudgetRatio, maxRetryTokens)
	if final {
		utility := r.utility
		if b.now > r.targetAt {
			utility *= r.class.LateValueRatio
		}
		b.goodput.Record(r.Class, r.Tenant, 0, utility)
	}
	b.delayTails[r.Class].add(took / max(1, a.expected/b.expectedDelay(r.Class, 0)))
	t.tail.add(took / a.expected)
	b.recordDelay(r, took)
	b.prediction.RecordOutcome(r.Class, a.predicted, took, true)
	b.recordDelayRatio(a, took/a.expected, 1)
	b.servedByClass[r.Class].Add(1, b.now, b.healthCheckInterval)
	t.servedWork.Add(a.work, b.now, servedWindow*b.decayTime)
}

// OnFirstByte binds a streamed request to its attempt.
func (b *Balancer) OnFirstByte(now time.Duration, f FirstByte) {
	b.now = now
	r, a := b.find(f.ID, f.Attempt)
	if a == nil {
		return
	}
	r.streaming = true
	b.cancelAllBut(r, a)
	if r.class.Generates && !a.done && a.firstByteAt == 0 {
		b.generationStarted(a)
	}
}

// generationStarted takes in that an answer has begun that is generated as it goes: its delay is known, and
// it stays in flight at the backend until its end.
func (b *Balancer) generationStarted(a *attempt) {
	a.firstByteAt = b.now
	a.target.trackAge(a, -1)
	b.recordPassiveCheck(a, OK)
	b.recordGrayFailure(a, OK)
	b.updateConcurrencyLimit(a, OK, 1)
	a.overdueAt = math.MaxInt64
	b.recordAnswer(a, max(millis(b.now-a.sent), minTookMillis), true)
}

// OnClientGone takes in that a client has left: it is owed nothing any more.
func (b *Balancer) OnClientGone(now time.Duration, id RequestID) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.ended {
		return
	}
	b.retryStorm.RecordEnd(now, b.identityKey(r.Request), r.firstArrived, 0, false)
	b.finish(r, nil)
}

// OnRequestComplete takes in that a request's last byte went out only now: its time, and that of its
// attempts, count from here. A client that writes slowly would count as a slow backend else.
func (b *Balancer) OnRequestComplete(now time.Duration, id RequestID, deadline time.Duration) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.ended {
		return
	}
	delay := now - r.arrived
	r.firstArrived += delay
	r.targetAt = min(r.targetAt+delay, deadline)
	r.arrived = now
	r.Deadline = deadline
	for _, a := range r.attempts {
		if a.done {
			continue
		}
		a.target.trackAge(a, -1)
		a.overdueAt += now - a.sent
		a.sent = now
		a.target.trackAge(a, 1)
	}
}
