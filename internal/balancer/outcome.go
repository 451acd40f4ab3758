package balancer

// Outcomes: what is learned from the end of an attempt, and what happens to its request.

import (
	"math"
	"slices"
	"time"
)

const (
	retryBudgetRatio = 0.1 // retries that each good answer adds to the budget
	maxRetryTokens   = 10  // retries that the budget can hold

	minTookMillis       = 0.01 // least duration of an attempt, so that no delay ratio is 0
	cancelledWeight     = 0.5  // weight of a cancelled attempt's age, which is a lower bound of its delay
	minOverloadEvidence = 0.5  // above this evidence of overload, a timeout counts as slow, not as lost
)

// OnAttemptEnd handles the end of an attempt and decides what happens to its request.
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

// find returns a request and one of its attempts, or nil.
func (b *Balancer) find(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) {
		return nil, nil
	}
	return r, r.attempts[index]
}

// continueRequest decides whether a request whose attempt has ended is finished, waits for another attempt
// in flight, or is queued for a retry.
func (b *Balancer) continueRequest(r *request, a *attempt, result Result) {
	if r.ended {
		b.finish(r, a)
		return
	}
	if result == Unprocessable { // every other attempt would get the same answer
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

// takeRetry takes a retry from this proxy's budget and the Advice's, or returns false if either is used up.
func (b *Balancer) takeRetry() bool {
	if b.retryTokens < 1 || !b.advice.TryRetry(b.now) {
		return false
	}
	b.retryTokens--
	return true
}

// completeAttempt removes an attempt from its backend's load and learns from its outcome.
func (b *Balancer) completeAttempt(a *attempt, o Outcome) {
	t, r := a.target, a.request
	a.done = true
	a.mayRun = !o.Result.NeverRan()
	r.inFlight--
	t.removeInFlight(a)
	if a.firstByteAt > 0 { // its delay was already recorded at the first byte
		b.recordPassiveCheck(a, o.Result)
		return
	}
	t.trackAge(a, -1)
	b.recordPassiveCheck(a, o.Result)
	took := max(millis(b.now-a.sent), minTookMillis)
	weight := b.recordGrayFailure(a, o.Result)
	overload := weight
	// A lower concurrency limit helps an overloaded backend, but not one that loses answers, so an attempt
	// that timed out counts only as far as the backend is probably slow.
	if o.Result == Timeout {
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
	if len(t.inFlight) == 0 { // drops accumulated rounding errors
		t.load = 0
	}
}

// recordSlowStart records the outcome of an attempt at a warming backend for the slow start.
func (b *Balancer) recordSlowStart(a *attempt, result Result, took float64) {
	if _, warming := b.warmupCapacity(a.target); !warming {
		return
	}
	if result == OK || result == Rejected || result == Timeout {
		b.slowStart.RecordOutcome(b.now, result == OK && took <= millis(a.request.class.LatencyTarget))
	}
}

// recordFailedAttempt learns from a failed attempt. Failures can be fast, and a broken backend would look
// fast and attract all traffic, so a failure counts as at least as slow as the latency target and the
// median. It does not count as a multiple of the median, as that would raise the median without bound while
// all backends fail.
func (b *Balancer) recordFailedAttempt(a *attempt, result Result, took, overload, weight float64) {
	class := a.request.Class
	if result == Timeout && overload > minOverloadEvidence { // probably slow rather than lost
		b.prediction.RecordOutcome(class, a.predicted, took, false)
		b.delayModels[class].add(millis(a.request.Cost), max(took, a.expected))
	}
	latencyTarget := millis(a.request.class.LatencyTarget)
	ratio := max(took/a.expected, latencyTarget/a.expected, b.medianDelayRatio)
	b.recordDelayRatio(a, ratio, weight)
}

// recordAnswer learns from a good answer. final is set if the answer went to the client.
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

// generationStarted records the first byte of an answer that is generated while it is streamed: its delay
// is known now, but the attempt stays in flight at the backend until its end.
func (b *Balancer) generationStarted(a *attempt) {
	a.firstByteAt = b.now
	a.target.trackAge(a, -1)
	b.recordPassiveCheck(a, OK)
	b.recordGrayFailure(a, OK)
	b.updateConcurrencyLimit(a, OK, 1)
	a.overdueAt = math.MaxInt64
	b.recordAnswer(a, max(millis(b.now-a.sent), minTookMillis), true)
}

// OnClientGone handles a client's disconnect: its request needs no answer any more.
func (b *Balancer) OnClientGone(now time.Duration, id RequestID) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.ended {
		return
	}
	b.retryStorm.RecordEnd(now, b.identityKey(r.Request), r.firstArrived, 0, false)
	b.finish(r, nil)
}

// OnRequestComplete handles the end of a request's upload: its last byte was forwarded only now. The times
// of the request and its attempts count from here; otherwise a slow upload would count as a slow backend.
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
