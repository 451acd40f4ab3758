package placement

import (
	"math"
	"time"
)

// minMeasured is the shortest time over which a rate is computed: over less, it would be mostly noise.
const minMeasured = time.Second

// decayingSum is a sum whose summands decay exponentially with age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// add adds a value. span is the time constant of the decay, the same in all calls.
func (s *decayingSum) add(value float64, now, span time.Duration) {
	s.sum = s.valueAt(now, span) + value
	s.updatedAt = now
}

// valueAt returns the sum, decayed until now.
func (s *decayingSum) valueAt(now, span time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/float64(span))
}

// ratePerSecond estimates the rate of the added values, if adding began at since.
func (s *decayingSum) ratePerSecond(now, span, since time.Duration) float64 {
	measured := 1 - math.Exp(-float64(max(now-since, minMeasured))/float64(span))
	return s.valueAt(now, span) / span.Seconds() / measured
}
