package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/dataplane/engine"
)

func TestCauses(t *testing.T) {
	const ms = time.Millisecond
	sent := func(first, last, answered time.Duration) timeline {
		return timeline{modelLoaded: true, latencyTarget: 100 * ms, arrived: 10 * ms, attempts: 2, firstAttempt: first, lastAttempt: last, answered: answered}
	}
	with := func(l timeline, change func(*timeline)) timeline {
		change(&l)
		return l
	}
	for name, test := range map[string]struct {
		timeline timeline
		want     cause
	}{
		"in time":                {sent(11*ms, 11*ms, 110*ms), causeNone},
		"slow backend":           {sent(11*ms, 11*ms, 111*ms), causeBackend},
		"queued for long":        {sent(200*ms, 200*ms, 300*ms), causeQueued},
		"model not loaded":       {with(sent(200*ms, 200*ms, 300*ms), func(l *timeline) { l.modelLoaded = false }), causeNotLoaded},
		"model not loaded, slow": {with(sent(50*ms, 50*ms, 300*ms), func(l *timeline) { l.modelLoaded = false }), causeBackend},
		"first backend failed":   {sent(11*ms, 200*ms, 300*ms), causeRetried},
		"all attempts failed":    {with(sent(11*ms, 20*ms, 30*ms), func(l *timeline) { l.verdict = engine.Failed }), causeFailed},
		"timed out at a backend": {with(sent(11*ms, 20*ms, 300*ms), func(l *timeline) { l.verdict = engine.TimedOut }), causeFailed},
		"timed out unsent": {
			timeline{modelLoaded: true, verdict: engine.TimedOut, latencyTarget: 100 * ms, answered: 300 * ms},
			causeQueued,
		},
		"rejected at once": {timeline{modelLoaded: true, verdict: engine.Rejected, latencyTarget: 100 * ms, answered: ms}, causeRejected},
		"rejected late":    {timeline{modelLoaded: true, verdict: engine.Rejected, latencyTarget: 100 * ms, answered: 300 * ms}, causeRejected},
		"client disconnected early": {
			with(sent(11*ms, 11*ms, 50*ms), func(l *timeline) { l.cancelled = true }),
			causeCancelled,
		},
		"client disconnected after the target": {with(sent(11*ms, 11*ms, 500*ms), func(l *timeline) { l.cancelled = true }), causeBackend},
		"client disconnected, model not loaded": {
			timeline{cancelled: true, latencyTarget: 100 * ms, answered: 300 * ms},
			causeNotLoaded,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(causeNames[test.timeline.cause()], causeNames[test.want])
		})
	}
}
