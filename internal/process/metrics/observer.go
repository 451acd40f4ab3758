package metrics

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// Taken implements engine.Observer.
func (m *ProxyMetrics) Taken(time.Duration, *engine.Call) { m.outstanding.Add(1) }

// Answered implements engine.Observer. A stream is counted when it ends.
func (m *ProxyMetrics) Answered(_ time.Duration, call *engine.Call, a engine.Answer) {
	if a.Streams {
		return
	}
	if call.Taken() {
		m.outstanding.Add(-1)
	}
	m.recordVerdict(call.Class, a.Verdict)
}

// Streamed implements engine.Observer.
func (m *ProxyMetrics) Streamed(_ time.Duration, call *engine.Call, complete bool) {
	m.outstanding.Add(-1)
	verdict := engine.Served
	if !complete {
		verdict = engine.Failed
	}
	m.recordVerdict(call.Class, verdict)
}

// recordVerdict counts the answer to a request of a class, by the engine's number for it.
func (m *ProxyMetrics) recordVerdict(number int, verdict engine.Verdict) {
	all := *m.classes.Load()
	if number < 0 || number >= len(all) {
		return
	}
	switch verdict {
	case engine.Served:
		all[number].succeeded.Add(1)
	case engine.Refused, engine.Overloaded:
		all[number].declined.Add(1)
	default:
		all[number].aborted.Add(1)
	}
}

// Left implements engine.Observer: the client has left before its answer.
func (m *ProxyMetrics) Left(time.Duration, *engine.Call) { m.outstanding.Add(-1) }

// Sent implements engine.Observer.
func (m *ProxyMetrics) Sent(time.Duration, *engine.Attempt) {}

// Ended implements engine.Observer.
func (m *ProxyMetrics) Ended(time.Duration, *engine.Attempt, engine.End) {}

// Listed implements engine.Observer.
func (m *ProxyMetrics) Listed(time.Duration, *engine.List) {}

// Probed implements engine.Observer.
func (m *ProxyMetrics) Probed(time.Duration, *engine.Backend, balancer.Result, time.Duration) {}
