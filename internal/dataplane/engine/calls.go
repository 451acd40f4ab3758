package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// Verdict is what a call's final answer means.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota // Reply is a backend's answer
	Rejected                   // coming again is harmless
	Overloaded                 // the same: too many calls are open here
	Failed                     // nothing is promised
	TimedOut                   // the same: the call's time ran out
	Stopped                    // the same: this process ends
	DuplicateID                // the call's name is that of another one, and it was not taken
	ClientGone                 // nobody's: its client was found to have gone
)

// Answer is the one final answer to a call.
type Answer struct {
	Verdict    Verdict
	Reply      any           // Served, or Failed for a backend's own word: what the carrier's End held
	Streaming  bool          // Served: the rest is still to come, and the front tells its end with Streamed
	RetryAfter time.Duration // Refused: when to come again; 0 is not said
}

// Front takes answers: the side that a call came from.
type Front interface {
	// HandleAnswer takes a call's one final answer, on the engine's goroutine. It must not
	// block, nor call the engine back.
	HandleAnswer(c *Call, a Answer)
}

// Call is one request of a client in the engine's table.
type Call struct {
	balancer.Request                   // ID is the engine's
	ClientRequestID  string            // the client's own, new with each request; "" is not held against others
	Front            Front             // who takes the answer
	Carrier          Carrier           // who takes attempts to backends
	Snapshot         *SettingsSnapshot // by which the request was read; nil is the one in force
	Payload          any               // the carrier's

	// ClientConnected tells whether the call's client is still there, as its connection shows at this moment; nil is that
	// nothing can be seen. A carrier asks before an attempt's first byte, on any goroutine.
	ClientConnected func() bool

	// Receiving says that the call's last byte has not come yet. Its time counts from then on,
	// which Came tells, and Wait is how long it is. The engine sets Deadline.
	Receiving bool
	Timeout   time.Duration

	arrived         time.Duration
	deadlineMargin  time.Duration // how long before the deadline the engine answers by itself
	accepted        bool          // it is, or was, in the table
	answered        bool          // or the client has left: nothing more goes out
	attempts        []*Attempt
	pendingAttempts int // attempts without an outcome
	deadlineTimer   *Timer
	streaming       *Attempt // whose answer is on its way, of a class that generates
	declinedReply   any      // what a backend said that found the request itself at fault
}

// Arrived is when the call was taken, on the engine's clock.
func (c *Call) Arrived() time.Duration { return c.arrived }

// Attempts are those made so far. Only on the engine's goroutine.
func (c *Call) Attempts() []*Attempt { return c.attempts }

// Answered tells whether the call is over. Only on the engine's goroutine.
func (c *Call) Answered() bool { return c.answered }

// Accepted tells whether the call was taken into the table. Only on the engine's goroutine.
func (c *Call) Accepted() bool { return c.accepted }

// EachPendingAttempt calls each with the attempts that are out for calls that have no answer yet, nor the
// beginning of one. Only on the engine's goroutine.
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

// HandleCall takes a call in: from now on it gets exactly one answer, before its deadline.
// arrived is when its last byte came. Only on the engine's goroutine.
func (e *Engine) HandleCall(c *Call, arrived time.Duration) {
	if c.answered { // its client left before
		return
	}
	c.arrived = arrived
	if e.lease != nil {
		e.applyLeaseState()
	}
	if !e.meansTheSame(c) {
		c.answered = true
		e.deliver(c, Answer{Verdict: Rejected})
		return
	}
	if limit := e.cfg.MaxOpenCalls; limit > 0 && len(e.calls) >= limit {
		c.answered = true
		e.deliver(c, Answer{Verdict: Overloaded, RetryAfter: e.RetryAfter()})
		return
	}
	// Backends tell requests apart by this name. Under the name of another's request
	// this one would get that one's answer, or give it its own.
	if c.ClientRequestID != "" && !e.recentNames.add(c.ClientRequestID, e.Now()) {
		c.answered = true
		e.deliver(c, Answer{Verdict: DuplicateID})
		return
	}
	e.lastID++
	c.ID = e.lastID
	e.calls[c.ID], c.accepted = c, true
	if c.Receiving {
		c.Deadline = arrived + maxReceiveTime
		c.deadlineMargin = min(MaxDeadlineMargin, c.Timeout/deadlineMarginDivisor)
		e.Schedule(e.Now()+receivingInterval, func() { e.reportReceiving(c) })
	} else {
		c.deadlineMargin = min(MaxDeadlineMargin, max(0, c.Deadline-arrived)/deadlineMarginDivisor)
		e.startDeadlineTimer(c)
	}
	now := e.Now()
	if e.observer != nil {
		e.observer.OnCallAccepted(now, c)
	}
	e.balancer.OnRequest(now, c.Request)
}

// startDeadlineTimer sees to it that whatever the module does, the client has its answer before
// its time is up.
func (e *Engine) startDeadlineTimer(c *Call) {
	c.deadlineTimer = e.Schedule(c.Deadline-c.deadlineMargin, func() {
		if e.answer(c, Answer{Verdict: TimedOut}) {
			e.balancer.OnClientGone(e.Now(), c.ID)
		}
	})
}

const (
	// maxReceiveTime bounds a call whose last byte does not come. Its front ends it sooner,
	// where its client makes no progress.
	maxReceiveTime = time.Hour
	// receivingInterval is how often the module is told that a call is still coming.
	receivingInterval = 50 * time.Millisecond
)

// reportReceiving keeps the module from taking a slow client for a slow backend.
func (e *Engine) reportReceiving(c *Call) {
	if !c.Receiving || c.answered {
		return
	}
	e.balancer.OnRequestComplete(e.Now(), c.ID, c.Deadline)
	e.Schedule(e.Now()+receivingInterval, func() { e.reportReceiving(c) })
}

// HandleRequestComplete tells that the last byte of a call that was coming has come: its time counts from
// then. Only on the engine's goroutine.
func (e *Engine) HandleRequestComplete(c *Call, at time.Duration) {
	if !c.Receiving || c.answered {
		return
	}
	c.Receiving, c.Deadline = false, at+c.Timeout
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

// finish ends a call: what is not yet written for it never will be.
func (e *Engine) finish(c *Call) {
	c.answered = true
	e.StopTimer(c.deadlineTimer)
	for _, a := range c.attempts {
		if !a.ended && a.Permit.Revoke() {
			a.stop()
			e.Defer(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
		}
	}
	e.removeFinished(c)
}

func (e *Engine) removeFinished(c *Call) {
	if c.answered && c.pendingAttempts == 0 {
		delete(e.calls, c.ID)
	}
}

// HandleStreamEnd tells how an answer ended that was a stream. Only on the engine's goroutine.
func (e *Engine) HandleStreamEnd(c *Call, complete bool) {
	if a := c.streaming; a != nil {
		c.streaming = nil
		a.endStream(complete)
	}
	if e.observer != nil {
		e.observer.OnStreamEnded(e.Now(), c, complete)
	}
}

// FailAll ends what is still open when the process has to go. Some of it may have run,
// so none of it is refused. What its client is still writing has not run, and may come whole
// yet: last says that it ends too. Only on the engine's goroutine.
func (e *Engine) FailAll(includeReceiving bool) {
	for _, c := range e.calls {
		if c.Receiving && !includeReceiving {
			continue
		}
		if e.answer(c, Answer{Verdict: Stopped}) {
			e.balancer.OnClientGone(e.Now(), c.ID)
		}
	}
}

// RejectUnsent refuses what has waited for so long and surely has not run, where the process
// is to end: its clients can still turn to another one. Only on the engine's goroutine.
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

// mayHaveRun tells whether an attempt is out, or has ended without proof that it did not run.
func (c *Call) mayHaveRun() bool {
	for _, a := range c.attempts {
		if !a.ended || a.mayHaveRun {
			return true
		}
	}
	return false
}

// HandleClientGone takes the leave of a call's client: no answer is wanted any more. Only on the
// engine's goroutine.
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
