package metrics

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// OnCallAccepted implements engine.Observer.
func (m *ProxyMetrics) OnCallAccepted(time.Duration, *engine.Call) { m.outstanding.Add(1) }

// OnAnswered implements engine.Observer. Streams are counted when they end.
func (m *ProxyMetrics) OnAnswered(_ time.Duration, call *engine.Call, a engine.Answer) {
	if a.Streaming {
		return
	}
	if call.Accepted() {
		m.outstanding.Add(-1)
	}
	m.recordVerdict(call.Class, a.Verdict)
}

// OnStreamEnded implements engine.Observer.
func (m *ProxyMetrics) OnStreamEnded(_ time.Duration, call *engine.Call, complete bool) {
	m.outstanding.Add(-1)
	verdict := engine.Served
	if !complete {
		verdict = engine.Failed
	}
	m.recordVerdict(call.Class, verdict)
}

// recordVerdict counts a verdict for a class, given by the engine's class number.
func (m *ProxyMetrics) recordVerdict(number int, verdict engine.Verdict) {
	all := *m.classes.Load()
	if number < 0 || number >= len(all) {
		return
	}
	switch verdict {
	case engine.Served:
		all[number].succeeded.Add(1)
	case engine.Rejected, engine.Overloaded:
		all[number].declined.Add(1)
	default:
		all[number].aborted.Add(1)
	}
}

// OnClientGone implements engine.Observer. It is called when a client disconnects before it gets its response.
func (m *ProxyMetrics) OnClientGone(time.Duration, *engine.Call) { m.outstanding.Add(-1) }

// OnAttemptStarted implements engine.Observer.
func (m *ProxyMetrics) OnAttemptStarted(time.Duration, *engine.Attempt) {}

// OnAttemptEnded implements engine.Observer.
func (m *ProxyMetrics) OnAttemptEnded(time.Duration, *engine.Attempt, engine.AttemptEnd) {}

// OnMembership implements engine.Observer.
func (m *ProxyMetrics) OnMembership(time.Duration, *engine.Membership) {}

// OnHealthCheck implements engine.Observer.
func (m *ProxyMetrics) OnHealthCheck(time.Duration, *engine.Backend, balancer.Result, time.Duration) {
}
