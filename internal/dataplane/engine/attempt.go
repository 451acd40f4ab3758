package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// AttemptEnd is how an attempt or a health check ended.
type AttemptEnd struct {
	Result        balancer.Result
	Reply         any       // the answer for the front, if Result is OK or Declined
	CompletesCall bool      // the call ends with this attempt and counts as served
	Streaming     bool      // with OK: the reply is the beginning of a stream
	ClientGone    bool      // with NotSent or Cancelled: the call's client was found to have disconnected
	Load          []float32 // a load report, in the order of the settings; nil if there is none
}

// Attempt is one try to send a call to a backend.
type Attempt struct {
	Call     *Call
	Index    int // in the call's attempts, from 0
	Backend  *Backend
	Deadline time.Time // when it times out
	Permit   Permit
	// Stop cancels the attempt: the carrier aborts it and still calls End. StartAttempt sets it; nil if there is
	// nothing to abort.
	Stop func()

	engine       *Engine
	startedAt    time.Duration
	ended        bool // the outcome is known
	mayHaveRun   bool // valid once the attempt has ended or its stream has begun
	cancelled    bool // the end is reported as cancelResult
	cancelResult balancer.Result
	timeout      *Timer
}

// StartedAt returns when the attempt began, on the engine's clock.
func (a *Attempt) StartedAt() time.Duration { return a.startedAt }

// MarkWritten records that so much of the attempt has been written that it may run. Any goroutine may call it.
func (a *Attempt) MarkWritten() {
	if a.engine != nil { // nil in tests of carriers
		a.engine.writtenAttempts.Add(1)
	}
}

// Ended reports whether the attempt has ended. Only on the engine's goroutine.
func (a *Attempt) Ended() bool { return a.ended }

func (a *Attempt) stop() {
	if a.Stop != nil {
		a.Stop()
	}
}

// withdraw ends an attempt that can't have run yet, or reports false if its permit can't be revoked.
func (a *Attempt) withdraw() bool {
	if !a.Permit.Revoke() {
		return false
	}
	a.stop()
	a.engine.Defer(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
	return true
}

// cancel ends an attempt that may have run. It stays in flight until the carrier has closed its connection and called
// End. If it ended earlier, the balancer could start the next attempt beside it, also where hedging is not allowed.
func (a *Attempt) cancel(result balancer.Result) {
	if a.cancelled {
		return
	}
	a.cancelled, a.cancelResult = true, result
	if a.Stop == nil {
		a.engine.Defer(func() { a.End(AttemptEnd{Result: result}) })
		return
	}
	a.stop()
}

// End reports how the attempt ended. Only the first call has an effect. The client gets the first successful answer.
// Only on the engine's goroutine.
func (a *Attempt) End(end AttemptEnd) {
	if a.ended {
		return
	}
	e, c := a.engine, a.Call
	if a.cancelled && end.Result != balancer.OK && !end.Result.NeverRan() {
		end = AttemptEnd{Result: a.cancelResult, CompletesCall: end.CompletesCall}
	}
	if end.Result == balancer.OK && end.Streaming && !c.answered && e.Settings().Classes[c.Class].Generates {
		a.beginStream(end)
		return
	}
	a.finish(end)
	switch {
	case end.Result == balancer.OK, end.CompletesCall:
		e.answer(c, Answer{Verdict: Served, Reply: end.Reply, Streaming: end.Streaming})
	case end.Reply != nil:
		c.declinedReply = end.Reply
	}
	a.reportOutcome(end)
}

// beginStream delivers the beginning of an answer that is generated while it is sent. The attempt stays in flight until
// HandleStreamEnd.
func (a *Attempt) beginStream(end AttemptEnd) {
	e, c := a.engine, a.Call
	a.mayHaveRun = true
	e.StopTimer(a.timeout)
	c.streaming = a
	e.answer(c, Answer{Verdict: Served, Reply: end.Reply, Streaming: true})
	now := e.Now()
	e.balancer.OnFirstByte(now, balancer.FirstByte{ID: c.ID, Attempt: a.Index, Backend: a.Backend.ID, Took: now - a.startedAt})
}

// endStream ends an attempt whose answer was streaming.
func (a *Attempt) endStream(complete bool) {
	end := AttemptEnd{Result: balancer.OK}
	if !complete {
		end.Result = balancer.Cancelled
	}
	a.finish(end)
	a.reportOutcome(end)
}

// finish marks the attempt as ended, so that its call no longer counts it as pending.
func (a *Attempt) finish(end AttemptEnd) {
	e := a.engine
	a.ended, a.mayHaveRun = true, !end.Result.NeverRan()
	a.Call.pendingAttempts--
	e.StopTimer(a.timeout)
	if e.observer != nil {
		e.observer.OnAttemptEnded(e.Now(), a, end)
	}
}

// reportOutcome reports to the balancer how the attempt ended.
func (a *Attempt) reportOutcome(end AttemptEnd) {
	e, c := a.engine, a.Call
	e.removeFinished(c)
	if end.ClientGone && !c.answered {
		e.HandleClientGone(c)
		c.Front.HandleAnswer(c, Answer{Verdict: ClientGone})
	}
	now := e.Now()
	e.balancer.OnAttemptEnd(now, balancer.Outcome{
		ID: c.ID, Attempt: a.Index, Backend: a.Backend.ID, Result: end.Result,
		Took: now - a.startedAt, Final: c.answered, Load: end.Load,
	})
}

// expire ends an attempt that has timed out.
func (a *Attempt) expire() {
	if a.ended {
		return
	}
	if a.Permit.Revoke() { // it can't have run: the carrier was still connecting, or writing the part before
		a.stop()
		a.End(AttemptEnd{Result: balancer.ConnectFailed})
		return
	}
	a.cancel(balancer.Timeout)
}
