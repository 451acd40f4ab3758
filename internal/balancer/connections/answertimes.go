package connections

import (
	"math"
	"time"
)

// answerTimes follows how long a backend takes from a request's last byte to the first byte of an answer.
type answerTimes struct {
	mean  float64 // seconds
	quick float64 // seconds; the quantile of QuickShare
	count int     // of the answers so far, up to firstAnswers
}

const (
	meanWeight    = 0.05 // of the newest answer time in the mean
	quantileStep  = 0.2  // of the quantile, in logarithms, for each answer
	firstAnswers  = 8    // the quantile begins with the quickest of these
	minAnswerTime = 1e-6 // seconds: the quantile moves by factors, and must not be 0
	maxQuickRest  = 250 * time.Millisecond
)

// RecordAnswer takes in how long a backend took for an answer, and returns how long the connection should rest. An answer
// that comes much sooner than others may be one too many to the request before; then the request's own comes within that
// time, and would be read as the next request's, and that one's as the one's after it, for as long as the connection
// is never idle when one comes.
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

// record takes in an answer time, and tells whether it is below the quantile.
func (t *answerTimes) record(seconds, share float64) bool {
	if t.count < firstAnswers {
		t.count++
		t.quick = min(t.quick, max(seconds, minAnswerTime))
		t.mean += (seconds - t.mean) / float64(t.count)
		return false
	}
	t.mean += meanWeight * (seconds - t.mean)
	if seconds >= t.quick {
		t.quick *= math.Exp(quantileStep * share)
		return false
	}
	t.quick = max(t.quick*math.Exp(-quantileStep*(1-share)), minAnswerTime)
	return true
}
