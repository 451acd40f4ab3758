// Package decay provides an exponentially decaying sum (an exponentially weighted moving sum over irregular times),
// from which callers take recent rates, means and ratios. It is pure: each call is given the time, which must not go
// back. The caller owns its Sum; the package keeps no state.
package decay

import (
	"time"

	"marlreel/internal/balancer/portablemath"
)

// Sum is a sum whose terms decay exponentially with their age. The zero value is an empty sum. All calls on one sum
// must pass the same time constant, which is how long a term takes to decay to 1/e.
type Sum struct {
	sum float64
	at  time.Duration
}

// Value decays the sum to the time now and returns it.
func (f *Sum) Value(now, timeConstant time.Duration) float64 {
	if now > f.at {
		if timeConstant > 0 && f.sum != 0 {
			f.sum *= portablemath.Exp(-float64(now-f.at) / float64(timeConstant))
		}
		f.at = now
	}
	return f.sum
}

// Add adds v at the time now.
func (f *Sum) Add(v float64, now, timeConstant time.Duration) { f.sum = f.Value(now, timeConstant) + v }

// Mean returns the sum divided by the count n, which decays in the same way; 0 if n is 0.
func (f *Sum) Mean(n *Sum, now, timeConstant time.Duration) float64 {
	if count := n.Value(now, timeConstant); count > 0 {
		return f.Value(now, timeConstant) / count
	}
	return 0
}

// Rate returns how much is added per second.
func (f *Sum) Rate(now, timeConstant time.Duration) float64 {
	return f.Value(now, timeConstant) / max(timeConstant, time.Millisecond).Seconds()
}

// NewSum returns a sum that had the value v at the given time, such as one saved by another process.
func NewSum(v float64, at time.Duration) Sum { return Sum{v, at} }
