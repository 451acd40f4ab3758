package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// AttemptEnd is how an attempt or a health check ended.
type AttemptEnd struct {
	Result        balancer.Result
	Reply         any       // where Result is OK or Declined: the answer, for the front
	CompletesCall bool      // the call is over with this, served as far as can be known
	Streaming     bool      // OK: the reply is the beginning of a stream
	ClientGone    bool      // NotSent: the call's client was found to have disconnected
	Load          []float32 // a load report, in the settings' order; nil is none
}

// Attempt is one sending of a call to a backend.
type Attempt struct {
	Call     *Call
	Index    int // among the call's attempts, from 0
	Backend  *Backend
	Deadline time.Time // when it times out
	Permit   Permit
	// Stop cancels the attempt: what is in flight is broken off, and End still comes. StartAttempt sets it; nil is
	// nothing to be done.
	Stop func()

	engine       *Engine
	startedAt    time.Duration
	ended        bool // the balancer has its outcome
	mayHaveRun   bool // where it has ended
	cancelled    bool // its end counts as cancelResult
	cancelResult balancer.Result
	timeout      *Timer
}

// StartedAt is when the attempt began, on the engine's clock.
func (a *Attempt) StartedAt() time.Duration { return a.startedAt }

// MarkWritten tells that the attempt's last byte is written. Any goroutine may call it.
func (a *Attempt) MarkWritten() {
	if a.engine != nil { // an attempt of a test of carriers has none
		a.engine.writtenAttempts.Add(1)
	}
}

// Ended tells whether the attempt has ended. Only on the engine's goroutine.
func (a *Attempt) Ended() bool { return a.ended }

func (a *Attempt) stop() {
	if a.Stop != nil {
		a.Stop()
	}
}

// withdraw ends an attempt that has not been written, and tells whether it could.
func (a *Attempt) withdraw() bool {
	if !a.Permit.Revoke() {
		return false
	}
	a.stop()
	a.engine.Defer(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
	return true
}

// cancel ends an attempt that may have run. Until its connection is closed it is still in flight, and the balancer may
// start the next one at once where no hedging is allowed: the carrier's own End has to come first.
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

// End reports how the attempt ended, once; later calls do nothing. The first good answer is the client's. Only on the
// engine's goroutine.
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

// beginStream hands on an answer that is generated as it goes. The attempt stays in flight until HandleStreamEnd.
func (a *Attempt) beginStream(end AttemptEnd) {
	e, c := a.engine, a.Call
	a.mayHaveRun = true
	e.StopTimer(a.timeout)
	c.streaming = a
	e.answer(c, Answer{Verdict: Served, Reply: end.Reply, Streaming: true})
	now := e.Now()
	e.balancer.OnFirstByte(now, balancer.FirstByte{ID: c.ID, Attempt: a.Index, Backend: a.Backend.ID, Took: now - a.startedAt})
}

// endStream ends an attempt whose answer had begun.
func (a *Attempt) endStream(complete bool) {
	end := AttemptEnd{Result: balancer.OK}
	if !complete {
		end.Result = balancer.Cancelled
	}
	a.finish(end)
	a.reportOutcome(end)
}

// finish takes the attempt off the call's pending ones.
func (a *Attempt) finish(end AttemptEnd) {
	e := a.engine
	a.ended, a.mayHaveRun = true, !end.Result.NeverRan()
	a.Call.pendingAttempts--
	e.StopTimer(a.timeout)
	if e.observer != nil {
		e.observer.OnAttemptEnded(e.Now(), a, end)
	}
}

// reportOutcome tells the balancer how the attempt ended.
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

// expire ends an attempt when its time has run out.
func (a *Attempt) expire() {
	if a.ended {
		return
	}
	if a.Permit.Revoke() { // it was still dialling
		a.stop()
		a.End(AttemptEnd{Result: balancer.ConnectFailed})
		return
	}
	a.cancel(balancer.Timeout)
}
