package connections

import (
	"math"
	"time"

	"marlreel/internal/balancer/portablemath"
)

// answerTimes tracks how long a backend takes from a request's last byte to the first byte of an answer.
type answerTimes struct {
	mean  float64 // seconds
	quick float64 // seconds; the quantile given by QuickShare
	count int     // answers so far, up to firstAnswers
}

const (
	meanWeight    = 0.05 // weight of the newest answer time in the mean
	quantileStep  = 0.2  // step of the logarithm of the quantile for each answer
	firstAnswers  = 8    // the quantile starts at the shortest of this many answer times
	minAnswerTime = 1e-6 // seconds: the quantile changes by factors and must not become 0
	maxQuickRest  = 250 * time.Millisecond
)

// RecordAnswer records how long a backend took for an answer, and returns how long the connection should rest before it
// is reused. An answer that comes much sooner than usual may be a surplus answer to the previous request. Then the
// request's own answer arrives within the rest time. On a connection that is reused at once, it would be read as the
// answer to the next request, and so on for each further request, until an answer arrives while the connection is idle.
func (k *KeepAlive) RecordAnswer(backend uint32, took time.Duration) (rest time.Duration) {
	t := k.answers[backend]
	if t == nil {
		if len(k.answers) >= k.cfg.MaxBackends {
			return 0
		}
		t = &answerTimes{quick: math.Inf(1)}
		k.answers[backend] = t
	}
	if t.record(took.Seconds(), k.cfg.QuickShare) {
		rest = min(time.Duration(k.cfg.QuickRest*t.mean*float64(time.Second)), maxQuickRest)
	}
	return rest
}

// record adds an answer time and reports whether it is below the quantile.
func (t *answerTimes) record(seconds, share float64) bool {
	if t.count < firstAnswers {
		t.count++
		t.quick = min(t.quick, max(seconds, minAnswerTime))
		t.mean += (seconds - t.mean) / float64(t.count)
		return false
	}
	t.mean += meanWeight * (seconds - t.mean)
	if seconds >= t.quick {
		t.quick *= portablemath.Exp(quantileStep * share)
		return false
	}
	t.quick = max(t.quick*portablemath.Exp(-quantileStep*(1-share)), minAnswerTime)
	return true
}
