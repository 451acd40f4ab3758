package placement

import (
	"math"
	"time"
)

// minMeasured is the least time that a sum counts as kept: a rate over less would be chance.
const minMeasured = time.Second

// decayingSum is a sum whose parts decay exponentially with their age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// add adds a value. span is the time constant of the decay, the same in all calls.
func (s *decayingSum) add(value float64, now, span time.Duration) {
	s.sum = s.valueAt(now, span) + value
	s.updatedAt = now
}

// valueAt is the sum as it has decayed by now.
func (s *decayingSum) valueAt(now, span time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/float64(span))
}

// ratePerSecond is the rate that the sum stands for, where parts have been added since a time.
func (s *decayingSum) ratePerSecond(now, span, since time.Duration) float64 {
	measured := 1 - math.Exp(-float64(max(now-since, minMeasured))/float64(span))
	return s.valueAt(now, span) / span.Seconds() / measured
}
