package engine

import (
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Permit is the right to write one attempt whole. The engine and the carrier race for it: whoever is first decides
// whether its last byte goes out at all, and with that whether it can run.
type Permit struct {
	state         atomic.Int32
	lease         *Lease        // nil: there is none
	needsLease    bool          // it goes out only while the lease runs
	expiresAt     time.Duration // on the lease's clock: when the attempt is given up
	writeDeadline time.Time     // by when the last byte has to be out; zero: there is no bound
}

const (
	permitAvailable = iota
	permitClaimed
	permitRevoked
	permitExpired
)

// TryClaim takes the right, just before the last byte. Where it gives false, that byte may not be written, and what has
// been written of the attempt has to end with its connection. Any goroutine.
//
// Danger: the process may have been stopped since the engine decided on the attempt, or a dial have taken long. The
// lease and the window for repeats are looked at here, where the attempt goes out.
func (p *Permit) TryClaim() bool {
	overdue := !p.writeDeadline.IsZero() && !time.Now().Before(p.writeDeadline)
	if overdue || p.lease != nil && (p.needsLease && p.lease.Expired() || p.lease.Clock() >= p.expiresAt) {
		p.state.CompareAndSwap(permitAvailable, permitExpired)
		return false
	}
	return p.state.CompareAndSwap(permitAvailable, permitClaimed)
}

// Revoke takes the right away, unless it was used. Any goroutine.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitAvailable, permitRevoked) || p.state.CompareAndSwap(permitExpired, permitRevoked)
}

// Available tells whether the attempt may still go out. Any goroutine.
func (p *Permit) Available() bool { return p.state.Load() == permitAvailable }

// Claimed tells whether the attempt may have gone out.
func (p *Permit) Claimed() bool { return p.state.Load() == permitClaimed }

// AttemptEnd is how an attempt or a probe ended.
type AttemptEnd struct {
	Result        balancer.Result
	Reply         any       // where Result is OK or Declined: the answer, for the front
	CompletesCall bool      // the call is over with this, served as far as can be known
	Streaming     bool      // OK: the reply is the beginning of a stream
	ClientGone    bool      // Moot: the call's client was found to have left
	Load          []float32 // a load report, in the settings' order; nil is none
}

// Attempt is one attempt at a call.
type Attempt struct {
	Call     *Call
	Index    int // which of the call's, from 0
	Backend  *Backend
	Deadline time.Time // when it is given up
	Permit   Permit
	// Stop calls the attempt off: what is on its way is broken off, and End still
	// comes. Begin sets it; nil is nothing to be done.
	Stop func()

	engine       *Engine
	startedAt    time.Duration
	ended        bool // the module has its outcome
	mayHaveRun   bool // done: or may have run
	cancelled    bool // it is called off, and ends as off says
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

// cancel ends an attempt that may have run. Danger: until its connection is closed it is still out, and the module
// may send the next one at once where no second copy is allowed: the carrier's own End has to come first.
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

// End tells the module how the attempt ended, once; later calls are let be. The first
// good answer is the client's. Only on the engine's goroutine.
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

// beginStream hands on an answer that is generated as it goes. The attempt keeps its place until Streamed.
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

// finish takes the attempt off the call's open ones.
func (a *Attempt) finish(end AttemptEnd) {
	e := a.engine
	a.ended, a.mayHaveRun = true, !end.Result.NeverRan()
	a.Call.pendingAttempts--
	e.StopTimer(a.timeout)
	if e.observer != nil {
		e.observer.OnAttemptEnded(e.Now(), a, end)
	}
}

// reportOutcome tells the module how the attempt ended.
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

// expire gives an attempt up when its time has run out.
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
