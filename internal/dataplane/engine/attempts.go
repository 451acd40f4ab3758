package engine

import (
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Permit is the right to write one attempt whole. The engine and the carrier race for it: whoever is first decides
// whether its last byte goes out at all, and with that whether it can run.
type Permit struct {
	state  atomic.Int32
	lease  *Lease        // nil: there is none
	needs  bool          // it goes out only while the lease runs
	until  time.Duration // on the lease's clock: when the attempt is given up
	before time.Time     // by when the last byte has to be out; zero: there is no bound
}

const (
	permitOpen = iota
	permitUsed
	permitRevoked
	permitLapsed
)

// Use takes the right, just before the last byte. Where it gives false, that byte may not be written, and what has
// been written of the attempt has to end with its connection. Any goroutine.
//
// Danger: the process may have been stopped since the engine decided on the attempt, or a dial have taken long. The
// lease and the window for repeats are looked at here, where the attempt goes out.
func (p *Permit) Use() bool {
	late := !p.before.IsZero() && !time.Now().Before(p.before)
	if late || p.lease != nil && (p.needs && p.lease.Lapsed() || p.lease.Now() >= p.until) {
		p.state.CompareAndSwap(permitOpen, permitLapsed)
		return false
	}
	return p.state.CompareAndSwap(permitOpen, permitUsed)
}

// Revoke takes the right away, unless it was used. Any goroutine.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitOpen, permitRevoked) || p.state.CompareAndSwap(permitLapsed, permitRevoked)
}

// Open tells whether the attempt may still go out. Any goroutine.
func (p *Permit) Open() bool { return p.state.Load() == permitOpen }

// Used tells whether the attempt may have gone out.
func (p *Permit) Used() bool { return p.state.Load() == permitUsed }

// End is how an attempt or a probe ended.
type End struct {
	Result balancer.Result
	Reply  any       // where Result is OK or Declined: the answer, for the front
	Over   bool      // the call is over with this, served as far as can be known
	Stream bool      // OK: the reply is the beginning of a stream
	Left   bool      // Moot: the call's client was found to have left
	Load   []float32 // a load report, in the settings' order; nil is none
}

// Attempt is one attempt at a call.
type Attempt struct {
	Call    *Call
	N       int // which of the call's, from 0
	Backend *Backend
	Until   time.Time // when it is given up
	Permit  Permit
	// Stop calls the attempt off: what is on its way is broken off, and End still
	// comes. Begin sets it; nil is nothing to be done.
	Stop func()

	engine *Engine
	sent   time.Duration
	done   bool // the module has its outcome
	ran    bool // done: or may have run
	called bool // it is called off, and ends as off says
	off    balancer.Result
	end    *Timer
}

// Sent is when the attempt began, on the engine's clock.
func (a *Attempt) Sent() time.Duration { return a.sent }

// Wrote tells that the attempt's last byte is written. Any goroutine may call it.
func (a *Attempt) Wrote() {
	if a.engine != nil { // an attempt of a test of carriers has none
		a.engine.written.Add(1)
	}
}

// Done tells whether the attempt has ended. Only on the engine's goroutine.
func (a *Attempt) Done() bool { return a.done }

func (a *Attempt) stop() {
	if a.Stop != nil {
		a.Stop()
	}
}

// callOff ends an attempt that may have run. Danger: until its connection is closed it is still out, and the module
// may send the next one at once where no second copy is allowed: the carrier's own End has to come first.
func (a *Attempt) callOff(as balancer.Result) {
	if a.called {
		return
	}
	a.called, a.off = true, as
	if a.Stop == nil {
		a.engine.Later(func() { a.End(End{Result: as}) })
		return
	}
	a.stop()
}

// End tells the module how the attempt ended, once; later calls are let be. The first
// good answer is the client's. Only on the engine's goroutine.
func (a *Attempt) End(end End) {
	if a.done {
		return
	}
	e, c := a.engine, a.Call
	if a.called && end.Result != balancer.OK && !end.Result.NeverRan() {
		end = End{Result: a.off, Over: end.Over}
	}
	if end.Result == balancer.OK && end.Stream && !c.answered && e.Settings().Classes[c.Class].Generates {
		a.begins(end)
		return
	}
	a.ends(end)
	switch {
	case end.Result == balancer.OK, end.Over:
		e.answer(c, Answer{Verdict: Served, Reply: end.Reply, Streams: end.Stream})
	case end.Reply != nil:
		c.declined = end.Reply
	}
	a.tell(end)
}

// begins hands on an answer that is generated as it goes. The attempt keeps its place until Streamed.
func (a *Attempt) begins(end End) {
	e, c := a.engine, a.Call
	a.ran = true
	e.Disarm(a.end)
	c.streaming = a
	e.answer(c, Answer{Verdict: Served, Reply: end.Reply, Streams: true})
	now := e.Now()
	e.balancer.OnFirstByte(now, balancer.FirstByte{ID: c.ID, Attempt: a.N, Backend: a.Backend.ID, Took: now - a.sent})
}

// streamed ends an attempt whose answer had begun.
func (a *Attempt) streamed(whole bool) {
	end := End{Result: balancer.OK}
	if !whole {
		end.Result = balancer.Cancelled
	}
	a.ends(end)
	a.tell(end)
}

// ends takes the attempt off the call's open ones.
func (a *Attempt) ends(end End) {
	e := a.engine
	a.done, a.ran = true, !end.Result.NeverRan()
	a.Call.open--
	e.Disarm(a.end)
	if e.observer != nil {
		e.observer.Ended(e.Now(), a, end)
	}
}

// tell tells the module how the attempt ended.
func (a *Attempt) tell(end End) {
	e, c := a.engine, a.Call
	e.forget(c)
	if end.Left && !c.answered {
		e.Gone(c)
		c.Front.Answer(c, Answer{Verdict: Left})
	}
	now := e.Now()
	e.balancer.OnAttemptEnd(now, balancer.Outcome{
		ID: c.ID, Attempt: a.N, Backend: a.Backend.ID, Result: end.Result,
		Took: now - a.sent, Final: c.answered, Load: end.Load,
	})
}

// expire gives an attempt up when its time has run out.
func (a *Attempt) expire() {
	if a.done {
		return
	}
	if a.Permit.Revoke() { // it was still dialling
		a.stop()
		a.End(End{Result: balancer.ConnectFailed})
		return
	}
	a.callOff(balancer.Timeout)
}
