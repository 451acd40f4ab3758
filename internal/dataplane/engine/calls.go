package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// Verdict is what a call's final answer means.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota // Reply is a backend's answer
	Refused                   // coming again is harmless
	Overloaded                // the same: too many calls are open here
	Failed                    // nothing is promised
	OutOfTime                 // the same: the call's time ran out
	Stopped                   // the same: this process ends
	InUse                     // the call's name is that of another one, and it was not taken
	Left                      // nobody's: its client was found to have gone
)

// Answer is the one final answer to a call.
type Answer struct {
	Verdict    Verdict
	Reply      any           // Served, or Failed for a backend's own word: what the carrier's End held
	Streams    bool          // Served: the rest is still to come, and the front tells its end with Streamed
	RetryAfter time.Duration // Refused: when to come again; 0 is not said
}

// Front takes answers: the side that a call came from.
type Front interface {
	// Answer takes a call's one final answer, on the engine's goroutine. It must not
	// block, nor call the engine back.
	Answer(c *Call, a Answer)
}

// Call is one request of a client in the engine's table.
type Call struct {
	balancer.Request         // ID is the engine's
	Name             string  // the client's own, new with each request; "" is not held against others
	Front            Front   // who takes the answer
	Carrier          Carrier // who takes attempts to backends
	Book             *Book   // by which the request was read; nil is the one in force
	Payload          any     // the carrier's

	// Here tells whether the call's client is still there, as its connection shows at this moment; nil is that
	// nothing can be seen. A carrier asks before an attempt's first byte, on any goroutine.
	Here func() bool

	// Coming says that the call's last byte has not come yet. Its time counts from then on,
	// which Came tells, and Wait is how long it is. The engine sets Deadline.
	Coming bool
	Wait   time.Duration

	arrived   time.Duration
	margin    time.Duration // how long before the deadline the engine answers by itself
	taken     bool          // it is, or was, in the table
	answered  bool          // or the client has left: nothing more goes out
	attempts  []*Attempt
	open      int // attempts without an outcome
	backstop  *Timer
	streaming *Attempt // whose answer is on its way, of a class that generates
	declined  any      // what a backend said that found the request itself at fault
}

// Arrived is when the call was taken, on the engine's clock.
func (c *Call) Arrived() time.Duration { return c.arrived }

// Attempts are those made so far. Only on the engine's goroutine.
func (c *Call) Attempts() []*Attempt { return c.attempts }

// Answered tells whether the call is over. Only on the engine's goroutine.
func (c *Call) Answered() bool { return c.answered }

// Taken tells whether the call was taken into the table. Only on the engine's goroutine.
func (c *Call) Taken() bool { return c.taken }

// Unanswered calls each with the attempts that are out for calls that have no answer yet, nor the
// beginning of one. Only on the engine's goroutine.
func (e *Engine) Unanswered(each func(a *Attempt)) {
	for _, c := range e.calls {
		if c.answered {
			continue
		}
		for _, a := range c.attempts {
			if !a.done {
				each(a)
			}
		}
	}
}

// Open is how many calls are in the table. Only on the engine's goroutine.
func (e *Engine) Open() int { return len(e.calls) }

// Take takes a call in: from now on it gets exactly one answer, before its deadline.
// arrived is when its last byte came. Only on the engine's goroutine.
func (e *Engine) Take(c *Call, arrived time.Duration) {
	if c.answered { // its client left before
		return
	}
	c.arrived = arrived
	if e.lease != nil {
		e.heed()
	}
	if !e.stillMeans(c) {
		c.answered = true
		e.tell(c, Answer{Verdict: Refused})
		return
	}
	if most := e.cfg.MaxOpen; most > 0 && len(e.calls) >= most {
		c.answered = true
		e.tell(c, Answer{Verdict: Overloaded, RetryAfter: e.ComeAgain()})
		return
	}
	// Backends tell requests apart by this name. Under the name of another's request
	// this one would get that one's answer, or give it its own.
	if c.Name != "" && !e.asked.add(c.Name, e.Now()) {
		c.answered = true
		e.tell(c, Answer{Verdict: InUse})
		return
	}
	e.lastID++
	c.ID = e.lastID
	e.calls[c.ID], c.taken = c, true
	if c.Coming {
		c.Deadline = arrived + longestComing
		c.margin = min(Backstop, c.Wait/backstopShare)
		e.At(e.Now()+comingEvery, func() { e.stillComing(c) })
	} else {
		c.margin = min(Backstop, max(0, c.Deadline-arrived)/backstopShare)
		e.setBackstop(c)
	}
	now := e.Now()
	if e.observer != nil {
		e.observer.Taken(now, c)
	}
	e.balancer.OnRequest(now, c.Request)
}

// setBackstop sees to it that whatever the module does, the client has its answer before
// its time is up.
func (e *Engine) setBackstop(c *Call) {
	c.backstop = e.At(c.Deadline-c.margin, func() {
		if e.answer(c, Answer{Verdict: OutOfTime}) {
			e.balancer.OnClientGone(e.Now(), c.ID)
		}
	})
}

const (
	// longestComing bounds a call whose last byte does not come. Its front ends it sooner,
	// where its client makes no progress.
	longestComing = time.Hour
	// comingEvery is how often the module is told that a call is still coming.
	comingEvery = 50 * time.Millisecond
)

// stillComing keeps the module from taking a slow client for a slow backend.
func (e *Engine) stillComing(c *Call) {
	if !c.Coming || c.answered {
		return
	}
	e.balancer.OnRequestComplete(e.Now(), c.ID, c.Deadline)
	e.At(e.Now()+comingEvery, func() { e.stillComing(c) })
}

// Came tells that the last byte of a call that was coming has come: its time counts from
// then. Only on the engine's goroutine.
func (e *Engine) Came(c *Call, at time.Duration) {
	if !c.Coming || c.answered {
		return
	}
	c.Coming, c.Deadline = false, at+c.Wait
	e.setBackstop(c)
	for _, a := range c.attempts {
		if !a.done {
			e.Disarm(a.end)
			a.end = e.At(c.Deadline-2*c.margin, a.expire)
		}
	}
	e.balancer.OnRequestComplete(e.Now(), c.ID, c.Deadline)
}

// tell hands the answer to the front.
func (e *Engine) tell(c *Call, a Answer) {
	if e.observer != nil {
		e.observer.Answered(e.Now(), c, a)
	}
	c.Front.Answer(c, a)
}

// answer gives the final answer, unless there was one.
func (e *Engine) answer(c *Call, a Answer) bool {
	if c.answered {
		return false
	}
	e.tell(c, a)
	e.over(c)
	return true
}

// over ends a call: what is not yet written for it never will be.
func (e *Engine) over(c *Call) {
	c.answered = true
	e.Disarm(c.backstop)
	for _, a := range c.attempts {
		if !a.done && a.Permit.Revoke() {
			a.stop()
			e.Later(func() { a.End(End{Result: balancer.NotSent}) })
		}
	}
	e.forget(c)
}

func (e *Engine) forget(c *Call) {
	if c.answered && c.open == 0 {
		delete(e.calls, c.ID)
	}
}

// Streamed tells how an answer ended that was a stream. Only on the engine's goroutine.
func (e *Engine) Streamed(c *Call, whole bool) {
	if a := c.streaming; a != nil {
		c.streaming = nil
		a.streamed(whole)
	}
	if e.observer != nil {
		e.observer.Streamed(e.Now(), c, whole)
	}
}

// FailAll ends what is still open when the process has to go. Some of it may have run,
// so none of it is refused. What its client is still writing has not run, and may come whole
// yet: last says that it ends too. Only on the engine's goroutine.
func (e *Engine) FailAll(last bool) {
	for _, c := range e.calls {
		if c.Coming && !last {
			continue
		}
		if e.answer(c, Answer{Verdict: Stopped}) {
			e.balancer.OnClientGone(e.Now(), c.ID)
		}
	}
}

// RefuseUnsent refuses what has waited for so long and surely has not run, where the process
// is to end: its clients can still turn to another one. Only on the engine's goroutine.
func (e *Engine) RefuseUnsent(waited time.Duration) {
	now := e.Now()
	for _, c := range e.calls {
		if c.Coming || now-c.arrived < waited || c.mayHaveRun() {
			continue
		}
		if e.answer(c, Answer{Verdict: Refused, RetryAfter: e.ComeAgain() / 10}) {
			e.balancer.OnClientGone(now, c.ID)
		}
	}
}

// mayHaveRun tells whether an attempt is out, or has ended without proof that it did not run.
func (c *Call) mayHaveRun() bool {
	for _, a := range c.attempts {
		if !a.done || a.ran {
			return true
		}
	}
	return false
}

// Gone takes the leave of a call's client: no answer is wanted any more. Only on the
// engine's goroutine.
func (e *Engine) Gone(c *Call) {
	if c.answered {
		return
	}
	e.over(c)
	if e.observer != nil {
		e.observer.Left(e.Now(), c)
	}
	e.balancer.OnClientGone(e.Now(), c.ID)
}
