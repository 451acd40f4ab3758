package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// Call is one request of a client in the engine's table.
type Call struct {
	balancer.Request                   // ID is the engine's
	ClientRequestID  string            // the client's own, new with each request; "" is not checked for duplicates
	Front            Front             // who takes the answer
	Carrier          Carrier           // who takes attempts to backends
	Snapshot         *SettingsSnapshot // by which the request was parsed; nil is the one in force
	Payload          any               // the carrier's

	// ClientConnected tells whether the call's client is still there, as its connection shows at this moment; nil is
	// that nothing can be seen. A carrier asks before an attempt's first byte, on any goroutine.
	ClientConnected func() bool

	// Receiving says that the call's last byte has not come yet. Its time counts from then on, which
	// HandleRequestComplete tells, and Timeout is how long it is. The engine sets Deadline.
	Receiving bool
	Timeout   time.Duration

	arrived         time.Duration
	deadlineMargin  time.Duration // how long before the deadline the engine answers by itself
	accepted        bool          // it is, or was, in the table
	answered        bool          // or the client has disconnected: nothing more goes out
	attempts        []*Attempt
	pendingAttempts int // attempts without an outcome
	deadlineTimer   *Timer
	streaming       *Attempt // whose answer is on its way, of a class that generates
	declinedReply   any      // of a backend that found the request itself at fault
}

// Arrived is when the call was taken, on the engine's clock.
func (c *Call) Arrived() time.Duration { return c.arrived }

// Attempts are those made so far. Only on the engine's goroutine.
func (c *Call) Attempts() []*Attempt { return c.attempts }

// Runs is how many backends may have run the request: in the call's own attempts, and in those before it. Only on the
// engine's goroutine.
func (c *Call) Runs() int {
	runs := c.PriorRuns
	for _, a := range c.attempts {
		if !a.ended || a.mayHaveRun {
			runs++
		}
	}
	return runs
}

// Answered tells whether the call has its answer, or its client has disconnected. Only on the engine's goroutine.
func (c *Call) Answered() bool { return c.answered }

// Accepted tells whether the call was accepted into the table of open calls. Only on the engine's goroutine.
func (c *Call) Accepted() bool { return c.accepted }

// EachPendingAttempt calls each for the pending attempts of calls that have no answer yet, nor the beginning of one.
// Only on the engine's goroutine.
func (e *Engine) EachPendingAttempt(each func(a *Attempt)) {
	for _, c := range e.calls {
		if c.answered {
			continue
		}
		for _, a := range c.attempts {
			if !a.ended {
				each(a)
			}
		}
	}
}

// OpenCalls is how many calls are in the table. Only on the engine's goroutine.
func (e *Engine) OpenCalls() int { return len(e.calls) }

// HandleCall takes a call over: from now on it gets exactly one answer, before its deadline. arrived is when its last
// byte came, or its first of a call that is Receiving, on the engine's clock. Only on the engine's goroutine.
func (e *Engine) HandleCall(c *Call, arrived time.Duration) {
	if c.answered { // its client has disconnected before
		return
	}
	c.arrived = arrived
	if e.lease != nil {
		e.applyLeaseState()
	}
	if !e.meansTheSame(c) {
		e.decline(c, Answer{Verdict: Rejected})
		return
	}
	if limit := e.cfg.MaxOpenCalls; limit > 0 && len(e.calls) >= limit {
		e.decline(c, Answer{Verdict: Overloaded, RetryAfter: e.RetryAfter()})
		return
	}
	// Backends tell requests apart by this ID. Under the ID of another request this one would get that one's answer,
	// or give it its own.
	if c.ClientRequestID != "" && !e.recentNames.add(c.ClientRequestID, e.Now()) {
		e.decline(c, Answer{Verdict: DuplicateID})
		return
	}
	e.accept(c)
}

// decline answers a call that is not accepted.
func (e *Engine) decline(c *Call, a Answer) {
	c.answered = true
	e.deliver(c, a)
}

// accept puts a call into the table, with its timers, and gives it to the balancer.
func (e *Engine) accept(c *Call) {
	e.lastID++
	c.ID = e.lastID
	c.accepted = true
	e.calls[c.ID] = c
	if c.Receiving {
		c.Deadline = c.arrived + maxReceiveTime
		c.deadlineMargin = min(MaxDeadlineMargin, c.Timeout/deadlineMarginDivisor)
		e.Schedule(e.Now()+receivingInterval, func() { e.reportReceiving(c) })
	} else {
		c.deadlineMargin = min(MaxDeadlineMargin, max(0, c.Deadline-c.arrived)/deadlineMarginDivisor)
		e.startDeadlineTimer(c)
	}
	now := e.Now()
	if e.observer != nil {
		e.observer.OnCallAccepted(now, c)
	}
	e.balancer.OnRequest(now, c.Request)
}

// startDeadlineTimer makes sure that whatever the balancer does, the client has its answer before its deadline.
func (e *Engine) startDeadlineTimer(c *Call) {
	c.deadlineTimer = e.Schedule(c.Deadline-c.deadlineMargin, func() { e.answerAndCancel(c, Answer{Verdict: TimedOut}) })
}

// answerAndCancel gives the engine's own final answer, unless there was one, and tells the balancer that nothing is
// wanted any more.
func (e *Engine) answerAndCancel(c *Call, a Answer) {
	if e.answer(c, a) {
		e.balancer.OnClientGone(e.Now(), c.ID)
	}
}

const (
	// maxReceiveTime bounds a call whose last byte does not come. Its front ends it sooner, where its client makes no
	// progress.
	maxReceiveTime = time.Hour
	// receivingInterval is how often the balancer is told that a call is still being received.
	receivingInterval = 50 * time.Millisecond
)

// reportReceiving keeps the balancer from mistaking a slow client for a slow backend.
func (e *Engine) reportReceiving(c *Call) {
	if !c.Receiving || c.answered {
		return
	}
	e.balancer.OnRequestComplete(e.Now(), c.ID, c.Deadline)
	e.Schedule(e.Now()+receivingInterval, func() { e.reportReceiving(c) })
}

// HandleRequestComplete takes that the last byte of a call that was Receiving came at a time on the engine's clock: its
// timeout counts from then. Only on the engine's goroutine.
func (e *Engine) HandleRequestComplete(c *Call, at time.Duration) {
	if !c.Receiving || c.answered {
		return
	}
	c.Receiving = false
	c.Deadline = at + c.Timeout
	e.startDeadlineTimer(c)
	for _, a := range c.attempts {
		if !a.ended {
			e.StopTimer(a.timeout)
			a.timeout = e.Schedule(c.Deadline-2*c.deadlineMargin, a.expire)
		}
	}
	e.balancer.OnRequestComplete(e.Now(), c.ID, c.Deadline)
}

// deliver hands the answer to the front.
func (e *Engine) deliver(c *Call, a Answer) {
	if e.observer != nil {
		e.observer.OnAnswered(e.Now(), c, a)
	}
	c.Front.HandleAnswer(c, a)
}

// answer gives the final answer, unless there was one.
func (e *Engine) answer(c *Call, a Answer) bool {
	if c.answered {
		return false
	}
	e.deliver(c, a)
	e.finish(c)
	return true
}

// finish ends a call: its attempts that are not yet written never will be.
func (e *Engine) finish(c *Call) {
	c.answered = true
	e.StopTimer(c.deadlineTimer)
	for _, a := range c.attempts {
		if !a.ended {
			a.withdraw()
		}
	}
	e.removeFinished(c)
}

// removeFinished takes a call out of the table once it has its answer and no attempt is pending.
func (e *Engine) removeFinished(c *Call) {
	if c.answered && c.pendingAttempts == 0 {
		delete(e.calls, c.ID)
	}
}

// HandleStreamEnd takes how a streaming answer ended: complete, or broken off. Only on the engine's goroutine.
func (e *Engine) HandleStreamEnd(c *Call, complete bool) {
	if a := c.streaming; a != nil {
		c.streaming = nil
		a.endStream(complete)
	}
	if e.observer != nil {
		e.observer.OnStreamEnded(e.Now(), c, complete)
	}
}

// FailAll ends what is still open when the process has to go. Some of it may have run, so none of it is rejected. A call
// that is still Receiving has not run, and may yet be complete: it ends too where includeReceiving is set. Only on the
// engine's goroutine.
func (e *Engine) FailAll(includeReceiving bool) {
	for _, c := range e.calls {
		if c.Receiving && !includeReceiving {
			continue
		}
		e.answerAndCancel(c, Answer{Verdict: Stopped})
	}
}

// RejectUnsent rejects what has waited for so long and surely has not run, where the process is to end: its clients can
// still turn to another one. Only on the engine's goroutine.
func (e *Engine) RejectUnsent(waited time.Duration) {
	now := e.Now()
	for _, c := range e.calls {
		if c.Receiving || now-c.arrived < waited || c.mayHaveRun() {
			continue
		}
		if e.answer(c, Answer{Verdict: Rejected, RetryAfter: e.RetryAfter() / 10}) {
			e.balancer.OnClientGone(now, c.ID)
		}
	}
}

// mayHaveRun tells whether an attempt is in flight, or has ended without proof that it did not run.
func (c *Call) mayHaveRun() bool {
	for _, a := range c.attempts {
		if !a.ended || a.mayHaveRun {
			return true
		}
	}
	return false
}

// HandleClientGone takes that a call's client has disconnected: no answer is wanted any more. Only on the engine's
// goroutine.
func (e *Engine) HandleClientGone(c *Call) {
	if c.answered {
		return
	}
	e.finish(c)
	if e.observer != nil {
		e.observer.OnClientGone(e.Now(), c)
	}
	e.balancer.OnClientGone(e.Now(), c.ID)
}
