package balancer

// Admission: which requests are queued, in which order they are sent, and which are rejected or failed.

import (
	"cmp"
	"slices"
	"time"

	"marlreel/internal/balancer/retrystorm"
)

const (
	maxDispatchMisses     = 20   // dispatch stops trying to send after this many requests found no backend
	maxQueuedPerBackend   = 4    // requests that may be queued for each ready backend
	minWorthwhileRatio    = 0.5  // fraction of its utility that sending a request must add
	maxHopelessPicks      = 4    // picked backends that must all be hopeless before the request is
	minAnswersForHopeless = 20   // answers of a class before any of its requests can be hopeless
	hopelessSampleRatio   = 0.05 // fraction of hopeless requests sent anyway, to check that they are hopeless
)

// OnRequest handles a request that the proxy has just received.
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

// newRequest returns the state of a request that has just arrived.
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

// recordOffered records the utility that serving a request would earn.
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

// enqueue queues a request that has no attempt in flight for the next dispatch, or ends it if no backend
// may still get it.
func (b *Balancer) enqueue(r *request) {
	if len(r.attempts) > 0 && !b.anyBackendLeft(r) {
		b.rejectOrFail(r)
		return
	}
	r.waitUntil = b.now + b.slack(r)/2
	b.queue = append(b.queue, r)
}

// anyBackendLeft tells whether any ready backend may get another attempt of a request.
func (b *Balancer) anyBackendLeft(r *request) bool {
	return slices.ContainsFunc(b.ready, func(t *target) bool {
		return b.maySend(r, t) && !b.isClassEjected(r, t)
	})
}

// slack is how long a request can wait and still be answered usefully by a median backend; it may be below 0.
func (b *Balancer) slack(r *request) time.Duration {
	return b.usefulUntil(r) - b.now - fromMillis(b.expectedDelay(r.Class, millis(r.Cost))*b.medianDelayRatio)
}

// computeUtilityPerWork is what serving a request now adds to the goal, per unit of its work: its part of
// the total utility, also of its class's and its tenant's if that is the worst served one, times the
// probability that the answer comes in time.
func (b *Balancer) computeUtilityPerWork(r *request) float64 {
	probability := b.valueProbability(r, b.expectedDelay(r.Class, millis(r.Cost))*b.medianDelayRatio)
	return b.goodput.MarginalUtility(r.Class, r.Tenant, 1-r.overQuota) * r.utility * probability / b.work(r)
}

// valueProbability is the fraction of its utility that a request is expected to earn with a predicted
// delay, ms.
func (b *Balancer) valueProbability(r *request, delay float64) float64 {
	inTime := b.prediction.SuccessProbability(r.Class, delay, millis(r.targetAt-b.now))
	lateRatio := r.class.LateValueRatio
	if lateRatio <= 0 {
		return inTime
	}
	byDeadline := b.prediction.SuccessProbability(r.Class, delay, millis(r.Deadline-b.now))
	return inTime + lateRatio*(byDeadline-inTime)
}

// dispatch sends queued requests while backends have room, in descending order of utility per work.
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

// sendOrEnd sends a request, or ends it if it is hopeless. done is not set if the request has to wait.
func (b *Balancer) sendOrEnd(r *request) (done bool) {
	t, worthwhile, hopeless := b.pickWorthwhile(r)
	// Some hopeless requests are sent, as only answers can show that they no longer are. Clients' retries
	// are not: their time is already over, so their answers show nothing.
	if hopeless && (b.rng.Float64() >= hopelessSampleRatio || r.firstArrived < r.arrived) {
		b.rejectOrFail(r)
		return true
	}
	return t != nil && (worthwhile || hopeless) && b.send(r, t)
}

// pickWorthwhile picks a backend that is worth sending to. It picks several times, as the two sampled
// backends may be the worst of all.
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

// requeue keeps a request queued, or ends it if it has waited too long or the queue is full.
func (b *Balancer) requeue(r *request) {
	full := len(b.queue) >= maxQueuedPerBackend*(len(b.ready)+1) || b.queueTooLong(r, b.queuedAhead[r.Class])
	if full || b.now >= r.waitUntil {
		b.rejectOrFail(r)
		return
	}
	b.queue = append(b.queue, r)
	b.queuedAhead[r.Class]++
}

// isWorthwhile tells whether a request is worth sending to a backend, or hopeless. A request for which only
// the cost of crossing zones is too high is neither: it waits.
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

// mayReject tells whether a request may be rejected: a rejection promises the client that a retry is
// harmless.
func (b *Balancer) mayReject(r *request) bool {
	return r.terms.MayReject() || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun })
}

// rejectOrFail ends a request with a final answer and cancels its attempts in flight.
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

// finish marks a request as ended and cancels its attempts other than winner.
func (b *Balancer) finish(r *request, winner *attempt) {
	r.ended = true
	b.cancelAllBut(r, winner)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// RetryStormState is the phase of a retry storm, as observed by this proxy alone.
func (b *Balancer) RetryStormState() retrystorm.State { return b.retryStorm.State() }
