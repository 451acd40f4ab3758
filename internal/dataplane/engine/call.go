package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// Call is one client request in the engine's table.
type Call struct {
	balancer.Request                   // the engine sets ID
	ClientRequestID  string            // set by the client, new for each request; "" is not checked for duplicates
	Front            Front             // takes the answer
	Carrier          Carrier           // sends the attempts to backends
	Snapshot         *SettingsSnapshot // the settings used to parse the request; nil means those in force
	Payload          any               // opaque to the engine, read by the carrier

	// ClientConnected reports whether the client's connection is still open; nil if that can't be determined. A
	// carrier calls it before it writes an attempt, on any goroutine.
	ClientConnected func() bool

	// Receiving is set until the last byte of the request has arrived, which the front reports with
	// HandleRequestComplete. Timeout counts from then on, and the engine sets Deadline.
	Receiving bool
	Timeout   time.Duration

	arrived         time.Duration
	deadlineMargin  time.Duration // how long before the deadline the engine answers by itself
	accepted        bool          // the call is, or was, in the table
	answered        bool          // the call has its answer or its client has disconnected: nothing more is sent
	attempts        []*Attempt
	pendingAttempts int // attempts that have not ended
	deadlineTimer   *Timer
	streaming       *Attempt // the attempt whose streaming answer is in progress; only in classes that generate
	declinedReply   any      // the reply of a backend that found the request itself invalid
}

// Arrived returns the time that was given to HandleCall, on the engine's clock.
func (c *Call) Arrived() time.Duration { return c.arrived }

// Attempts returns the attempts made so far. Only on the engine's goroutine.
func (c *Call) Attempts() []*Attempt { return c.attempts }

// Runs returns how many times the request may have run: in this call's attempts, and before this call (PriorRuns).
// Only on the engine's goroutine.
func (c *Call) Runs() int {
	runs := c.PriorRuns
	for _, a := range c.attempts {
		if !a.ended || a.mayHaveRun {
			runs++
		}
	}
	return runs
}

// Answered reports whether the call has its answer or its client has disconnected. Only on the engine's goroutine.
func (c *Call) Answered() bool { return c.answered }

// Accepted reports whether the call was accepted into the table of open calls. Only on the engine's goroutine.
func (c *Call) Accepted() bool { return c.accepted }

// EachPendingAttempt calls each for the pending attempts of calls that have no answer yet. A streaming answer that has
// begun counts as an answer. Only on the engine's goroutine.
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

// OpenCalls returns how many calls are in the table. Only on the engine's goroutine.
func (e *Engine) OpenCalls() int { return len(e.calls) }

// HandleCall takes responsibility for a call: it gets exactly one answer, before its deadline. arrived is when the last
// byte of the call arrived, or the first byte if it is still Receiving, on the engine's clock. Only on the engine's
// goroutine.
func (e *Engine) HandleCall(c *Call, arrived time.Duration) {
	if c.answered { // the client has already disconnected
		return
	}
	c.arrived = arrived
	if e.lease != nil {
		e.applyLeaseState()
	}
	if !e.sameMeaning(c) {
		e.decline(c, Answer{Verdict: Rejected})
		return
	}
	if limit := e.cfg.MaxOpenCalls; limit > 0 && len(e.calls) >= limit {
		e.decline(c, Answer{Verdict: Overloaded, RetryAfter: e.RetryAfter()})
		return
	}
	// Backends identify requests by this ID. If two requests shared one, either could get the other's answer.
	if c.ClientRequestID != "" && !e.recentIDs.add(c.ClientRequestID, e.Now()) {
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

// accept adds a call to the table, sets its timers, and hands it to the balancer.
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

// startDeadlineTimer ensures that the client gets an answer before its deadline, whatever the balancer does.
func (e *Engine) startDeadlineTimer(c *Call) {
	c.deadlineTimer = e.Schedule(c.Deadline-c.deadlineMargin, func() { e.answerAndCancel(c, Answer{Verdict: TimedOut}) })
}

// answerAndCancel sends the engine's own final answer, unless the call already has one, and tells the balancer that the
// call needs no more work.
func (e *Engine) answerAndCancel(c *Call, a Answer) {
	if e.answer(c, a) {
		e.balancer.OnClientGone(e.Now(), c.ID)
	}
}

const (
	// maxReceiveTime is the longest time in which a request may be received. Fronts end calls earlier if the client
	// makes no progress.
	maxReceiveTime = time.Hour
	// receivingInterval is how often the balancer is told that a call is still being received.
	receivingInterval = 50 * time.Millisecond
)

// reportReceiving periodically tells the balancer that the request is still arriving, so that it doesn't mistake a slow
// client for a slow backend.
func (e *Engine) reportReceiving(c *Call) {
	if !c.Receiving || c.answered {
		return
	}
	e.balancer.OnRequestComplete(e.Now(), c.ID, c.Deadline)
	e.Schedule(e.Now()+receivingInterval, func() { e.reportReceiving(c) })
}

// HandleRequestComplete handles the arrival of the last byte of a call that was Receiving. at is when it arrived, on
// the engine's clock; the call's timeout counts from then. Only on the engine's goroutine.
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

// answer delivers the final answer and reports true, unless the call already has one.
func (e *Engine) answer(c *Call, a Answer) bool {
	if c.answered {
		return false
	}
	e.deliver(c, a)
	e.finish(c)
	return true
}

// finish ends a call and withdraws its attempts that can't have run yet.
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

// removeFinished removes a call from the table once it has its answer and no attempt is pending.
func (e *Engine) removeFinished(c *Call) {
	if c.answered && c.pendingAttempts == 0 {
		delete(e.calls, c.ID)
	}
}

// HandleStreamEnd handles the end of a streaming answer, which was complete or broke off. Only on the engine's
// goroutine.
func (e *Engine) HandleStreamEnd(c *Call, complete bool) {
	if a := c.streaming; a != nil {
		c.streaming = nil
		a.endStream(complete)
	}
	if e.observer != nil {
		e.observer.OnStreamEnded(e.Now(), c, complete)
	}
}

// FailAll ends the open calls when the process stops. As some of them may have run, it answers with Stopped, not with
// Rejected. Calls that are still Receiving have not run and may yet complete, so they end only if includeReceiving is
// set. Only on the engine's goroutine.
func (e *Engine) FailAll(includeReceiving bool) {
	for _, c := range e.calls {
		if c.Receiving && !includeReceiving {
			continue
		}
		e.answerAndCancel(c, Answer{Verdict: Stopped})
	}
}

// RejectUnsent rejects the calls that arrived at least waited ago and have certainly not run, when the process is about
// to stop: their clients still have time to retry at another one. Only on the engine's goroutine.
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

// mayHaveRun reports whether an attempt is in flight, or has ended without proof that it did not run.
func (c *Call) mayHaveRun() bool {
	for _, a := range c.attempts {
		if !a.ended || a.mayHaveRun {
			return true
		}
	}
	return false
}

// HandleClientGone handles the disconnect of a call's client, which needs no answer any more. Only on the engine's
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
