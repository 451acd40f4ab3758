package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
)

// Log lines have the messages and keys of docs/EVENTS.md. Requests that were served in time are not logged.
func TestRequestTracerLines(t *testing.T) {
	const ms = time.Millisecond
	newRequest := func(target time.Duration) *engine.Call {
		c := &call{latencyTarget: target, modelLoaded: true}
		c.Call = engine.Call{
			Request: balancer.Request{Needs: &balancer.Needs{Model: "m", Adapter: "a"}},
			Payload: &httpproxy.Message{ID: "7"}, Front: c,
		}
		return &c.Call
	}
	for name, test := range map[string]struct {
		event func(*requestTracer)
		want  string
	}{
		"served in time": {func(r *requestTracer) {
			r.OnAnswered(50*ms, newRequest(100*ms), engine.Answer{Verdict: engine.Served})
		}, ""},
		"served late": {func(r *requestTracer) {
			r.OnAnswered(150*ms, newRequest(100*ms), engine.Answer{Verdict: engine.Served})
		}, `"level"=0 "msg"="request late" "request"="7" "model"="m" "adapter"="a" "cause"="queued" "latency_target"="100ms" "queued"="0s" "retrying"="0s" "running"="150ms" "attempts"=0`},
		"rejected": {func(r *requestTracer) {
			r.OnAnswered(50*ms, newRequest(100*ms), engine.Answer{Verdict: engine.Rejected, RetryAfter: 20 * ms})
		}, `"level"=0 "msg"="request failed" "request"="7" "model"="m" "adapter"="a" "cause"="refused" "verdict"="refused" "attempts"=0 "duration"="50ms" "retry_after"="20ms"`},
		"cancelled": {func(r *requestTracer) {
			r.OnClientGone(30*ms, newRequest(100*ms))
		}, `"level"=0 "msg"="request cancelled by client" "request"="7" "model"="m" "adapter"="a" "attempts"=0 "duration"="30ms"`},
		"health check passed": {func(r *requestTracer) {
			r.OnHealthCheck(0, &engine.Backend{Name: "i-1"}, balancer.OK, ms)
		}, ""},
		"health check failed": {func(r *requestTracer) {
			r.OnHealthCheck(0, &engine.Backend{Name: "i-1"}, balancer.Timeout, 600*ms)
		}, `"level"=0 "msg"="health check failed" "backend"="i-1" "result"="timeout" "duration"="600ms"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			line := ""
			log := funcr.New(func(_, args string) { line += args }, funcr.Options{})
			test.event(&requestTracer{log})
			is.Equal(line, test.want)
		})
	}
}
