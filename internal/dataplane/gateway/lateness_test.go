package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/engine"
)

func TestCauses(t *testing.T) {
	const ms = time.Millisecond
	sent := func(first, last, answered time.Duration) journey {
		return journey{held: true, aim: 100 * ms, arrived: 10 * ms, attempts: 2, first: first, last: last, answered: answered}
	}
	with := func(j journey, change func(*journey)) journey {
		change(&j)
		return j
	}
	for name, of := range map[string]struct {
		journey journey
		want    cause
	}{
		"in time":                      {sent(11*ms, 11*ms, 110*ms), causeNone},
		"a backend that is slow":       {sent(11*ms, 11*ms, 111*ms), causeBackend},
		"its turn came late":           {sent(200*ms, 200*ms, 300*ms), causeQueued},
		"a model was loaded":           {with(sent(200*ms, 200*ms, 300*ms), func(j *journey) { j.held = false }), causeNoHolder},
		"a model was loaded, and slow": {with(sent(50*ms, 50*ms, 300*ms), func(j *journey) { j.held = false }), causeBackend},
		"the first backend died":       {sent(11*ms, 200*ms, 300*ms), causeRetried},
		"all attempts failed":          {with(sent(11*ms, 20*ms, 30*ms), func(j *journey) { j.verdict = engine.Failed }), causeFailed},
		"out of time at a backend":     {with(sent(11*ms, 20*ms, 300*ms), func(j *journey) { j.verdict = engine.OutOfTime }), causeFailed},
		"out of time, never sent": {
			journey{held: true, verdict: engine.OutOfTime, aim: 100 * ms, answered: 300 * ms},
			causeQueued,
		},
		"refused at once": {journey{held: true, verdict: engine.Refused, aim: 100 * ms, answered: ms}, causeRefused},
		"refused late":    {journey{held: true, verdict: engine.Refused, aim: 100 * ms, answered: 300 * ms}, causeRefused},
		"the client left early": {
			with(sent(11*ms, 11*ms, 50*ms), func(j *journey) { j.left = true }),
			causeLeft,
		},
		"the client left after the aim": {with(sent(11*ms, 11*ms, 500*ms), func(j *journey) { j.left = true }), causeBackend},
		"the client left, no holder": {
			journey{left: true, aim: 100 * ms, answered: 300 * ms},
			causeNoHolder,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(causeWords[of.journey.cause()], causeWords[of.want])
		})
	}
}
