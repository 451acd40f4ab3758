package balancer

// Attempts: whether a request may be sent, also again, and how it is sent.

import (
	"time"

	"marlreel/internal/balancer/idempotency"
)

// maySend tells whether a request may be sent to a backend, as its first attempt or a further one.
func (b *Balancer) maySend(r *request, t *target) bool {
	_, may := b.attemptDeadline(r, t)
	return may
}

// attemptDeadline is maySend, and also returns the time before which the attempt has to be sent; 0 means no
// bound.
func (b *Balancer) attemptDeadline(r *request, t *target) (before time.Duration, may bool) {
	may = b.mayAttempt(r, t)
	before = idempotency.NoDeadline
	for _, a := range r.attempts {
		if !a.mayRun {
			continue
		}
		retryBefore, mayRetry := r.terms.RetryDeadline(a.location, locationOf(t))
		before = min(before, retryBefore)
		may = may && mayRetry && !r.class.NeverRerun
	}
	before -= b.cfg.Tick
	if before > idempotency.NoDeadline/2 {
		return 0, may
	}
	return before, may && b.now < before
}

// mayAttempt tells whether a request may have another attempt at a backend, regardless of whether earlier
// ones ran.
func (b *Balancer) mayAttempt(r *request, t *target) bool {
	switch {
	case r.ended, r.streaming, !b.attemptsLeft(r), !b.advice.CanServe(&r.Request, t.ID), b.now >= r.Deadline:
		return false
	}
	return r.inFlight == 0 || b.cfg.Caps.Hedging
}

// attemptsLeft tells whether the attempt limit allows one more. If the class sets MaxRuns, the attempts
// that may have run are limited, otherwise all of them.
func (b *Balancer) attemptsLeft(r *request) bool {
	if r.class.MaxRuns == 0 {
		return len(r.attempts) < min(r.maxAttempts, b.cfg.Caps.MaxAttempts)
	}
	runs := r.PriorRuns
	for _, a := range r.attempts {
		if a.mayRun {
			runs++
		}
	}
	return runs < r.class.MaxRuns && len(r.attempts) < b.cfg.Caps.MaxAttempts
}

// send begins an attempt. It is the only place that does, and it checks maySend and mayReceive once more.
func (b *Balancer) send(r *request, t *target) bool {
	work := b.work(r)
	before, may := b.attemptDeadline(r, t)
	if !may || !b.mayReceive(t, work) {
		return false
	}
	a := b.newAttempt(r, t, work)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	t.inFlight = append(t.inFlight, a)
	t.lastSent = b.now
	b.advice.RecordSent(b.now, &r.Request, t.ID)
	t.load += a.weight
	a.loadAtSend = t.load
	t.trackAge(a, 1)
	// Each request counts as the mean work at least: handshakes are work too, and any number of light
	// requests would fit into a budget of work.
	t.warmupTokens -= max(work, b.meanWork)
	a.overdueAt = b.now + b.overdueAfter(a)
	a.trial = b.isClassEjected(r, t)
	b.grayFailure.RecordSent(&t.classHealth[r.Class].Cell, r.Class, a.trial)
	b.host.Send(r.ID, t.ID, b.giveUpAt(a), before)
	return true
}

func (b *Balancer) newAttempt(r *request, t *target, work float64) *attempt {
	expected := b.expectedDelay(r.Class, millis(r.Cost))
	return &attempt{
		request:   r,
		index:     len(r.attempts),
		target:    t,
		location:  idempotency.Attempt{Location: locationOf(t), SentAt: b.now},
		sent:      b.now,
		expected:  expected,
		predicted: b.predictDelay(r, t),
		work:      work,
		weight:    min(max(expected/b.meanExpectedDelay, 1.0/maxRequestWeight), maxRequestWeight),
		mayRun:    true,
	}
}

// overdueAfter is how long an attempt may take before it counts against its backend's concurrency limit. A
// request with a high cost hint may take longer, whatever the backend's load.
func (b *Balancer) overdueAfter(a *attempt) time.Duration {
	r := a.request
	mean := b.expectedDelay(r.Class, 0)
	latencyTarget := millis(r.targetAt - r.firstArrived)
	tail := overdueTailFactor * b.delayTails[r.Class].min * b.tailRatio(a.target)
	usual := max(tail, minOverdueTargetRatio*latencyTarget)
	return fromMillis(max(1, a.expected/mean) * min(usual, latencyTarget))
}

// giveUpAt is the time at which an attempt is abandoned. A trial of a retryable request is abandoned early
// enough to serve the request elsewhere.
func (b *Balancer) giveUpAt(a *attempt) time.Duration {
	r := a.request
	at := min(r.Deadline, max(b.usefulUntil(r)-b.cfg.Tick, b.now+b.cfg.Tick))
	if a.trial && r.class.Effect != Unsafe {
		at = min(at, b.now+(at-b.now)/3)
	}
	return at
}

func (b *Balancer) cancelAllBut(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a != winner && !a.done {
			b.cancel(a)
		}
	}
}

func (b *Balancer) cancel(a *attempt) {
	if b.cfg.Caps.Cancel && !a.cancelled {
		a.cancelled = true
		b.host.Cancel(a.request.ID, a.index)
	}
}
