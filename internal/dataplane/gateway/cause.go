package gateway

import (
	"time"

	"marlreel/internal/dataplane/engine"
)

// cause is why a request was not answered within its latency target.
type cause int

// The causes. A request has one: what took most of its time.
const (
	causeNone      cause = iota // it was answered in time
	causeRejected               // it was rejected unsent
	causeNotLoaded              // no backend had its model or adapter loaded
	causeQueued                 // it was queued here
	causeRetried                // earlier attempts failed
	causeFailed                 // its last attempt failed
	causeBackend                // the backend was slow to begin or to finish its answer
	causeCancelled              // its client disconnected within the latency target
)

// causeNames are the values of the metrics' label "outcome" (docs/METRICS.md).
var causeNames = map[cause]string{
	causeNone: "in_time", causeRejected: "refused", causeNotLoaded: "no_holder",
	causeQueued: "queued", causeRetried: "retried", causeFailed: "failed", causeBackend: "backend",
	causeCancelled: "client_left",
}

// timeline is the outcome of a request with the times of its phases, on the engine's clock.
type timeline struct {
	verdict       engine.Verdict
	cancelled     bool // its client disconnected before the answer
	modelLoaded   bool // a backend had its model and adapter loaded when it arrived
	latencyTarget time.Duration
	arrived       time.Duration
	attempts      int
	firstAttempt  time.Duration // when it began
	lastAttempt   time.Duration // when it began
	answered      time.Duration
}

// timelineOf returns the timeline of a call that is over.
func timelineOf(now time.Duration, c *engine.Call, verdict engine.Verdict, cancelled bool) timeline {
	t := timeline{verdict: verdict, cancelled: cancelled, modelLoaded: true, arrived: c.Arrived(), answered: now}
	if own, ok := c.Front.(*call); ok {
		t.modelLoaded, t.latencyTarget = own.modelLoaded, own.latencyTarget
	}
	if attempts := c.Attempts(); len(attempts) > 0 {
		t.attempts = len(attempts)
		t.firstAttempt, t.lastAttempt = attempts[0].StartedAt(), attempts[len(attempts)-1].StartedAt()
	}
	return t
}

// cause returns why the request was not answered in time.
func (t timeline) cause() cause {
	served := !t.cancelled && t.verdict == engine.Served
	inTarget := t.answered-t.arrived <= t.latencyTarget
	rejected := t.verdict == engine.Rejected || t.verdict == engine.Overloaded
	switch {
	case served && inTarget:
		return causeNone
	case t.cancelled && inTarget:
		return causeCancelled
	case t.attempts == 0 && rejected && !t.cancelled:
		return causeRejected
	case !served && !t.cancelled && t.attempts > 0:
		return causeFailed
	}
	return t.dominantPhase()
}

// queued is the time before the first attempt, retrying the time from its start to that of the last attempt, and
// running the time of the last attempt.
func (t timeline) queued() time.Duration   { return t.firstAttempt - t.arrived }
func (t timeline) retrying() time.Duration { return t.lastAttempt - t.firstAttempt }
func (t timeline) running() time.Duration  { return t.answered - t.lastAttempt }

// dominantPhase returns the cause that stands for the longest phase of the request.
func (t timeline) dominantPhase() cause {
	queued := causeQueued
	if !t.modelLoaded {
		queued = causeNotLoaded
	}
	if t.attempts == 0 {
		return queued
	}
	switch {
	case t.queued() >= t.retrying() && t.queued() >= t.running():
		return queued
	case t.retrying() >= t.running():
		return causeRetried
	}
	return causeBackend
}
