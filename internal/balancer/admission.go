package balancer

// Admission: what is queued, in which order it is sent, and what is rejected or failed.

import (
	"cmp"
	"slices"
	"time"

	"marlreel/internal/balancer/retrystorm"
)

const (
	maxDispatchMisses     = 20   // queued requests that find no backend, after which no more are looked at
	maxQueuedPerBackend   = 4    // requests that may be queued for each ready backend
	minWorthwhileRatio    = 0.5  // part of its utility that sending a request must add
	maxHopelessPicks      = 4    // picks that have to be hopeless before a request is
	minAnswersForHopeless = 20   // answers of a class before that is asked
	hopelessSampleRatio   = 0.05 // of the hopeless requests, that is sent and shows whether they are
)

// OnRequest takes a request that the proxy has just received.
func (b *Balancer) OnRequest(now time.Duration, q Request) {
	b.now = now
	if _, pending := b.requests[q.ID]; pending {
		return
	}
	q.Class = min(max(q.Class, 0), len(b.cfg.Classes)-1)
	r := b.newRequest(q)
	b.requests[q.ID] = r
	if b.lastRequest > 0 {
		b.requestGap += (now - b.lastRequest - b.requestGap) / requestGapWindow
	}
	b.lastRequest = now
	b.meanWindow = min(b.meanWindow+1, maxMeanWindow)
	b.meanWork = smooth(b.meanWork, b.work(r), b.meanWindow)
	b.recordExpectedDelay(b.expectedDelay(q.Class, millis(q.Cost)), b.delayModels[q.Class].n >= 1)
	b.recordOffered(r)
	b.enqueue(r)
	b.dispatch()
}

// newRequest begins what is known of a request.
func (b *Balancer) newRequest(q Request) *request {
	class := &b.cfg.Classes[q.Class]
	arrival := b.retryStorm.RecordArrival(b.now, b.identityKey(q), q.IsRetry)
	q.IsRetry = arrival.IsRetry
	target := class.LatencyTarget + time.Duration(class.LatencyTargetStretch*float64(q.Cost))
	return &request{
		Request:        q,
		class:          class,
		maxAttempts:    b.cfg.Caps.MaxAttempts,
		terms:          class.terms(),
		arrived:        b.now,
		firstArrived:   arrival.FirstArrival,
		targetAt:       min(arrival.CountFrom+target, q.Deadline),
		priorityFactor: arrival.PriorityFactor,
	}
}

// recordOffered notes the utility that a request asks for.
func (b *Balancer) recordOffered(r *request) {
	r.utility = r.class.Value
	if b.cfg.ValueByWork {
		r.utility *= b.work(r)
	}
	r.overQuota = b.quota.RecordRequest(r.Tenant, b.now)
	r.utility *= (1 - r.overQuota*(1-b.cfg.OverQuotaValue)) * r.priorityFactor
	b.meanUtility = smooth(b.meanUtility, r.utility, b.meanWindow)
	if !r.IsRetry {
		b.goodput.Record(r.Class, r.Tenant, r.utility, 0)
	}
}

// enqueue lets a request that has nothing in flight wait for the next dispatch, if it may still be sent.
func (b *Balancer) enqueue(r *request) {
	if len(r.attempts) > 0 && !b.anyBackendLeft(r) {
		b.rejectOrFail(r)
		return
	}
	r.waitUntil = b.now + b.slack(r)/2
	b.queue = append(b.queue, r)
}

// anyBackendLeft tells whether a ready backend may have another attempt of a request.
func (b *Balancer) anyBackendLeft(r *request) bool {
	return slices.ContainsFunc(b.ready, func(t *target) bool {
		return b.maySend(r, t) && !b.isClassEjected(r, t)
	})
}

// slack is how long a request can wait and still be answered usefully by a median backend; it may be below 0.
func (b *Balancer) slack(r *request) time.Duration {
	return b.usefulUntil(r) - b.now - fromMillis(b.expectedDelay(r.Class, millis(r.Cost))*b.medianDelayRatio)
}

// computeUtilityPerWork is what serving a request now adds to the goal, for each unit of its work: its part
// of all utility, of its class's if that is the worst served, and of its tenant's likewise, times the
// probability that the answer comes in time.
func (b *Balancer) computeUtilityPerWork(r *request) float64 {
	probability := b.valueProbability(r, b.expectedDelay(r.Class, millis(r.Cost))*b.medianDelayRatio)
	return b.goodput.MarginalUtility(r.Class, r.Tenant, 1-r.overQuota) * r.utility * probability / b.work(r)
}

// valueProbability is the part of its utility that a request earns on average with a predicted delay, ms.
func (b *Balancer) valueProbability(r *request, delay float64) float64 {
	inTime := b.prediction.SuccessProbability(r.Class, delay, millis(r.targetAt-b.now))
	lateRatio := r.class.LateValueRatio
	if lateRatio <= 0 {
		return inTime
	}
	byDeadline := b.prediction.SuccessProbability(r.Class, delay, millis(r.Deadline-b.now))
	return inTime + lateRatio*(byDeadline-inTime)
}

// dispatch sends what is queued, the greatest utility for its work first, while backends have room.
func (b *Balancer) dispatch() {
	queued := b.queue
	b.queue = b.queue[:0:0]
	b.sortByUtility(queued)
	clear(b.queuedAhead)
	misses := 0
	for _, r := range queued {
		if r.ended {
			continue
		}
		if misses < maxDispatchMisses {
			if b.sendOrEnd(r) {
				continue
			}
			misses++
		}
		b.requeue(r)
	}
	if len(b.queue) > 0 && !b.dispatchScheduled {
		b.dispatchScheduled = true
		b.startTimer(2*b.cfg.Tick+time.Millisecond, timerDispatch)
	}
}

func (b *Balancer) sortByUtility(queued []*request) {
	for _, r := range queued {
		r.utilityPerWork = b.computeUtilityPerWork(r)
		b.meanUtilityPerWork = smooth(b.meanUtilityPerWork, r.utilityPerWork, b.meanWindow)
	}
	slices.SortStableFunc(queued, func(x, y *request) int {
		return cmp.Compare(y.utilityPerWork, x.utilityPerWork)
	})
}

// sendOrEnd sends a request, or ends it where that is hopeless. done is not set where it has to wait.
func (b *Balancer) sendOrEnd(r *request) (done bool) {
	t, worthwhile, hopeless := b.pickWorthwhile(r)
	// What is never sent teaches nothing; but a retry whose time is over does not either.
	if hopeless && (b.rng.Float64() >= hopelessSampleRatio || r.firstArrived < r.arrived) {
		b.rejectOrFail(r)
		return true
	}
	return t != nil && (worthwhile || hopeless) && b.send(r, t)
}

// pickWorthwhile picks a backend that is worth sending to. It picks a few times, as the two that were
// sampled may be the worst of all.
func (b *Balancer) pickWorthwhile(r *request) (t *target, worthwhile, hopeless bool) {
	t = b.pick(r)
	for n := 1; t != nil; n++ {
		worthwhile, hopeless = b.isWorthwhile(r, t)
		if !hopeless || n == maxHopelessPicks {
			break
		}
		t = b.pick(r)
	}
	return t, worthwhile, hopeless
}

// requeue lets a request wait on, or ends it where it has waited for long enough or too many wait.
func (b *Balancer) requeue(r *request) {
	full := len(b.queue) >= maxQueuedPerBackend*(len(b.ready)+1) || b.queueTooLong(r, b.queuedAhead[r.Class])
	if full || b.now >= r.waitUntil {
		b.rejectOrFail(r)
		return
	}
	b.queue = append(b.queue, r)
	b.queuedAhead[r.Class]++
}

// isWorthwhile tells whether a request is worth sending there, or hopeless. One that is not worth crossing
// zones alone is neither: it waits.
func (b *Balancer) isWorthwhile(r *request, t *target) (worthwhile, hopeless bool) {
	if b.delayModels[r.Class].n < minAnswersForHopeless {
		return true, false
	}
	return b.costs.IsWorthwhile(b.evaluate(r, t), minWorthwhileRatio)
}

// usefulUntil is the time after which an answer earns nothing.
func (b *Balancer) usefulUntil(r *request) time.Duration {
	if r.class.LateValueRatio > 0 {
		return r.Deadline
	}
	return r.targetAt
}

// mayReject guards rejections: a rejection promises the client that a retry is harmless.
func (b *Balancer) mayReject(r *request) bool {
	return r.terms.MayReject() || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun })
}

// rejectOrFail gives the final answer and cancels what is still in flight.
func (b *Balancer) rejectOrFail(r *request) {
	if r.ended || r.streaming {
		return
	}
	due := time.Duration(0)
	if b.mayReject(r) {
		after := b.retryStorm.RetryAfter(b.now, b.slack(r))
		due = b.now + after
		b.host.Reject(r.ID, after)
	} else {
		b.host.Fail(r.ID)
	}
	b.retryStorm.RecordEnd(b.now, b.identityKey(r.Request), r.firstArrived, due, false)
	b.finish(r, nil)
}

// finish marks a request as over and cancels its other attempts.
func (b *Balancer) finish(r *request, winner *attempt) {
	r.ended = true
	b.cancelAllBut(r, winner)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// RetryStormState is the phase of a retry storm, as this proxy alone sees it.
func (b *Balancer) RetryStormState() retrystorm.State { return b.retryStorm.State() }
