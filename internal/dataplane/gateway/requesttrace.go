package gateway

import (
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
	"marlreel/internal/process/logevent"
)

// requestTracer logs attempts that failed and requests that failed or were late, for whoever looks into single
// requests. It is an engine.Observer, on the engine's goroutine, and is installed only where such lines are wanted.
type requestTracer struct {
	log logr.Logger
}

var _ engine.Observer = (*requestTracer)(nil)

// The names of results and verdicts. Those of results are values of the metrics' label (docs/METRICS.md) too.
var (
	resultNames = map[balancer.Result]string{
		balancer.OK: "ok", balancer.Error: "error", balancer.Rejected: "full",
		balancer.Timeout: "timeout", balancer.ConnectFailed: "no connection", balancer.Reset: "reset",
		balancer.Cancelled: "cancelled", balancer.NotSent: "not sent", balancer.Unprocessable: "declined",
	}
	verdictNames = map[engine.Verdict]string{
		engine.Served: "served", engine.Refused: "refused",
		engine.Overloaded: "overloaded", engine.Failed: "failed", engine.OutOfTime: "out of time",
		engine.Stopped: "stopped", engine.InUse: "in use", engine.Left: "left",
	}
)

// forRequest is a logger whose lines name a request with its model and adapter.
func (t *requestTracer) forRequest(c *engine.Call) logr.Logger {
	log := t.log
	if m, is := c.Payload.(*httpproxy.Message); is {
		log = log.WithValues(logevent.KeyRequest, m.ID)
	}
	if c.Needs != nil {
		log = log.WithValues(logevent.KeyModel, c.Needs.Model, logevent.KeyAdapter, c.Needs.Adapter)
	}
	return log
}

// rounded is a span as lines show it.
func rounded(span time.Duration) string { return span.Round(time.Millisecond).String() }

// Ended implements engine.Observer.
func (t *requestTracer) Ended(now time.Duration, a *engine.Attempt, end engine.End) {
	if end.Result == balancer.OK {
		return
	}
	t.forRequest(a.Call).Info(logevent.AttemptFailed, logevent.KeyBackend, a.Backend.Name,
		logevent.KeyResult, resultNames[end.Result], logevent.KeyDuration, rounded(now-a.Sent()))
}

// Answered implements engine.Observer.
func (t *requestTracer) Answered(now time.Duration, c *engine.Call, a engine.Answer) {
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

// Left implements engine.Observer.
func (t *requestTracer) Left(now time.Duration, c *engine.Call) {
	t.forRequest(c).Info(logevent.RequestCancelled, logevent.KeyAttempts, len(c.Attempts()),
		logevent.KeyDuration, rounded(now-c.Arrived()))
}

// Probed implements engine.Observer.
func (t *requestTracer) Probed(_ time.Duration, b *engine.Backend, r balancer.Result, took time.Duration) {
	if r == balancer.OK {
		return
	}
	t.log.Info(logevent.HealthCheckFailed, logevent.KeyBackend, b.Name, logevent.KeyResult, resultNames[r],
		logevent.KeyDuration, rounded(took))
}

// Taken implements engine.Observer.
func (t *requestTracer) Taken(time.Duration, *engine.Call) {}

// Sent implements engine.Observer.
func (t *requestTracer) Sent(time.Duration, *engine.Attempt) {}

// Streamed implements engine.Observer.
func (t *requestTracer) Streamed(time.Duration, *engine.Call, bool) {}

// Listed implements engine.Observer.
func (t *requestTracer) Listed(time.Duration, *engine.List) {}
