package gateway

import (
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/balancer"
	"marlreel/internal/engine"
	"marlreel/internal/httpproxy"
)

// tracer logs single attempts and answers, for who looks into one request. It is
// installed only where such lines are wanted.
type tracer struct {
	log logr.Logger
}

// The words of results and verdicts.
var (
	resultWords = map[balancer.Result]string{
		balancer.OK: "ok", balancer.Error: "error", balancer.Rejected: "full",
		balancer.Timeout: "timeout", balancer.ConnectFailed: "no connection", balancer.Reset: "reset",
		balancer.Cancelled: "cancelled", balancer.NotSent: "not sent", balancer.Unprocessable: "declined",
	}
	verdictWords = map[engine.Verdict]string{
		engine.Served: "served", engine.Refused: "refused",
		engine.Overloaded: "overloaded", engine.Failed: "failed", engine.OutOfTime: "out of time",
		engine.Stopped: "stopped", engine.InUse: "in use", engine.Left: "left",
	}
)

func requestOf(c *engine.Call) (id, model string) {
	if m, is := c.Payload.(*httpproxy.Message); is {
		id = m.ID
	}
	if c.Needs != nil {
		model = c.Needs.Model + "/" + c.Needs.Adapter
	}
	return id, model
}

// Taken implements engine.Observer.
func (t *tracer) Taken(time.Duration, *engine.Call) {}

// Sent implements engine.Observer.
func (t *tracer) Sent(time.Duration, *engine.Attempt) {}

// Ended implements engine.Observer.
func (t *tracer) Ended(now time.Duration, a *engine.Attempt, end engine.End) {
	if end.Result == balancer.OK {
		return
	}
	id, model := requestOf(a.Call)
	t.log.Info("attempt failed", "event", "attempt", "request", id, "model", model, "backend", a.Backend.Name,
		"result", resultWords[end.Result], "took", (now - a.Sent()).Round(time.Millisecond).String())
}

// Answered implements engine.Observer.
func (t *tracer) Answered(now time.Duration, c *engine.Call, a engine.Answer) {
	j := journeyOf(now, c, a.Verdict, false)
	if a.Verdict == engine.Served {
		t.late(j, c)
		return
	}
	id, model := requestOf(c)
	t.log.Info("not served", "cause", causeWords[j.cause()], "event", "answer", "request", id, "model", model, "verdict", verdictWords[a.Verdict],
		"attempts", len(c.Attempts()), "after", (now - c.Arrived()).Round(time.Millisecond).String(),
		"again", a.RetryAfter.Round(time.Millisecond).String())
}

// late logs an answer that came after its aim, and where the time went.
func (t *tracer) late(j journey, c *engine.Call) {
	if j.cause() == causeNone {
		return
	}
	id, model := requestOf(c)
	t.log.Info("late", "event", "late", "cause", causeWords[j.cause()], "request", id, "model", model,
		"aim", j.aim.String(), "waited", (j.first - j.arrived).Round(time.Millisecond).String(),
		"retried", (j.last - j.first).Round(time.Millisecond).String(),
		"ran", (j.answered - j.last).Round(time.Millisecond).String(), "attempts", j.attempts)
}

// Streamed implements engine.Observer.
func (t *tracer) Streamed(time.Duration, *engine.Call, bool) {}

// Left implements engine.Observer.
func (t *tracer) Left(now time.Duration, c *engine.Call) {
	id, model := requestOf(c)
	t.log.Info("the client left", "event", "left", "request", id, "model", model, "attempts", len(c.Attempts()),
		"after", (now - c.Arrived()).Round(time.Millisecond).String())
}

// Listed implements engine.Observer.
func (t *tracer) Listed(time.Duration, *engine.List) {}

// Probed implements engine.Observer.
func (t *tracer) Probed(_ time.Duration, b *engine.Backend, r balancer.Result, took time.Duration) {
	if r != balancer.OK {
		t.log.Info("probe failed", "event", "probe", "backend", b.Name, "result", resultWords[r],
			"took", took.Round(time.Millisecond).String())
	}
}
