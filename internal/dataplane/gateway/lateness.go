package gateway

import (
	"time"

	"marlreel/internal/engine"
)

// cause is why a request was not answered within the aim of its route.
type cause int

// The causes. A request has one: what took the most of its time.
const (
	causeNone     cause = iota // it was answered in time
	causeRefused               // it was refused, unsent
	causeNoHolder              // no backend held its model or adapter
	causeQueued                // it waited here for its turn
	causeRetried               // attempts failed before one that did not
	causeFailed                // its last attempt failed
	causeBackend               // the backend was slow to begin its answer, or to give it
	causeLeft                  // its client left before the aim was over
)

var causeWords = map[cause]string{
	causeNone: "in_time", causeRefused: "refused", causeNoHolder: "no_holder",
	causeQueued: "queued", causeRetried: "retried", causeFailed: "failed", causeBackend: "backend",
	causeLeft: "client_left",
}

// journey is what became of a request, by the engine's clock.
type journey struct {
	verdict  engine.Verdict
	left     bool // its client left unanswered
	held     bool // a backend held its model and adapter when it came
	aim      time.Duration
	arrived  time.Duration
	attempts int
	first    time.Duration // when its first attempt began
	last     time.Duration // when its last one did
	answered time.Duration
}

// journeyOf is that of a call which is over.
func journeyOf(now time.Duration, c *engine.Call, verdict engine.Verdict, left bool) journey {
	j := journey{verdict: verdict, left: left, held: true, arrived: c.Arrived(), answered: now}
	if own, is := c.Front.(*call); is {
		j.held, j.aim = own.held, own.aim
	}
	if attempts := c.Attempts(); len(attempts) > 0 {
		j.attempts = len(attempts)
		j.first, j.last = attempts[0].Sent(), attempts[len(attempts)-1].Sent()
	}
	return j
}

// cause tells why the request was not answered in time.
func (j journey) cause() cause {
	served := !j.left && j.verdict == engine.Served
	inAim := j.answered-j.arrived <= j.aim
	switch {
	case served && inAim:
		return causeNone
	case j.left && inAim:
		return causeLeft
	case j.attempts == 0 && (j.verdict == engine.Refused || j.verdict == engine.Overloaded) && !j.left:
		return causeRefused
	case !served && !j.left && j.attempts > 0:
		return causeFailed
	}
	return j.longest()
}

// longest is what the request spent the most time on.
func (j journey) longest() cause {
	waiting := causeQueued
	if !j.held {
		waiting = causeNoHolder
	}
	if j.attempts == 0 {
		return waiting
	}
	waited, retried, ran := j.first-j.arrived, j.last-j.first, j.answered-j.last
	switch {
	case waited >= retried && waited >= ran:
		return waiting
	case retried >= ran:
		return causeRetried
	}
	return causeBackend
}
