package gateway

import (
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/process/logevent"
)

// requestTracer logs attempts that failed and requests that failed or were late, for debugging single requests. It is
// an engine.Observer, called on the engine's goroutine, and is installed only if debug logging is on.
type requestTracer struct {
	log logr.Logger
}

var _ engine.Observer = (*requestTracer)(nil)

// The names of results and verdicts. Names of results are also values of the metrics' label "result"
// (docs/METRICS.md).
var (
	resultNames = map[balancer.Result]string{
		balancer.OK: "ok", balancer.Error: "error", balancer.Rejected: "full",
		balancer.Timeout: "timeout", balancer.ConnectFailed: "no connection", balancer.Reset: "reset",
		balancer.Cancelled: "cancelled", balancer.NotSent: "not sent", balancer.Unprocessable: "declined",
	}
	verdictNames = map[engine.Verdict]string{
		engine.Served: "served", engine.Rejected: "refused",
		engine.Overloaded: "overloaded", engine.Failed: "failed", engine.TimedOut: "out of time",
		engine.Stopped: "stopped", engine.DuplicateID: "in use", engine.ClientGone: "left",
	}
)

// forRequest returns a logger whose lines have the ID of a request, its model and its adapter.
func (t *requestTracer) forRequest(c *engine.Call) logr.Logger {
	log := t.log
	if m, ok := c.Payload.(*httpproxy.Message); ok {
		log = log.WithValues(logevent.KeyRequest, m.ID)
	}
	if c.Needs != nil {
		log = log.WithValues(logevent.KeyModel, c.Needs.Model, logevent.KeyAdapter, c.Needs.Adapter)
	}
	return log
}

// rounded formats a duration for log lines.
func rounded(d time.Duration) string { return d.Round(time.Millisecond).String() }

// OnAttemptEnded implements engine.Observer.
func (t *requestTracer) OnAttemptEnded(now time.Duration, a *engine.Attempt, end engine.AttemptEnd) {
	if end.Result == balancer.OK {
		return
	}
	t.forRequest(a.Call).Info(logevent.AttemptFailed, logevent.KeyBackend, a.Backend.Name,
		logevent.KeyResult, resultNames[end.Result], logevent.KeyDuration, rounded(now-a.StartedAt()))
}

// OnAnswered implements engine.Observer.
func (t *requestTracer) OnAnswered(now time.Duration, c *engine.Call, a engine.Answer) {
	times := timelineOf(now, c, a.Verdict, false)
	if a.Verdict == engine.Served {
		t.logLate(times, c)
		return
	}
	t.forRequest(c).Info(logevent.RequestFailed, logevent.KeyCause, causeNames[times.cause()],
		logevent.KeyVerdict, verdictNames[a.Verdict], logevent.KeyAttempts, len(c.Attempts()),
		logevent.KeyDuration, rounded(now-c.Arrived()), logevent.KeyRetryAfter, rounded(a.RetryAfter))
}

// logLate logs an answer that came after its latency target, and where the time went.
func (t *requestTracer) logLate(times timeline, c *engine.Call) {
	if times.cause() == causeNone {
		return
	}
	t.forRequest(c).Info(logevent.RequestLate, logevent.KeyCause, causeNames[times.cause()],
		logevent.KeyLatencyTarget, times.latencyTarget.String(), logevent.KeyQueued, rounded(times.queued()),
		logevent.KeyRetrying, rounded(times.retrying()), logevent.KeyRunning, rounded(times.running()),
		logevent.KeyAttempts, times.attempts)
}

// OnClientGone implements engine.Observer.
func (t *requestTracer) OnClientGone(now time.Duration, c *engine.Call) {
	t.forRequest(c).Info(logevent.RequestCancelled, logevent.KeyAttempts, len(c.Attempts()),
		logevent.KeyDuration, rounded(now-c.Arrived()))
}

// OnHealthCheck implements engine.Observer.
func (t *requestTracer) OnHealthCheck(_ time.Duration, b *engine.Backend, r balancer.Result, took time.Duration) {
	if r == balancer.OK {
		return
	}
	t.log.Info(logevent.HealthCheckFailed, logevent.KeyBackend, b.Name, logevent.KeyResult, resultNames[r],
		logevent.KeyDuration, rounded(took))
}

// OnCallAccepted implements engine.Observer.
func (t *requestTracer) OnCallAccepted(time.Duration, *engine.Call) {}

// OnAttemptStarted implements engine.Observer.
func (t *requestTracer) OnAttemptStarted(time.Duration, *engine.Attempt) {}

// OnStreamEnded implements engine.Observer.
func (t *requestTracer) OnStreamEnded(time.Duration, *engine.Call, bool) {}

// OnMembership implements engine.Observer.
func (t *requestTracer) OnMembership(time.Duration, *engine.Membership) {}
