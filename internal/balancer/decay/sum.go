// Package decay has an exponentially decaying sum (an exponentially weighted moving sum over irregular times), from
// which the decisions take recent rates, means and ratios. It is pure: each call is told the time, which must not go
// back. Who has a Sum owns it; the package keeps nothing.
package decay

import (
	"math"
	"time"
)

// Sum is a sum whose parts decay exponentially with their age. The zero value is an empty one. All calls
// of one sum must be given the same time constant: how long a part takes to decay to 1/e.
type Sum struct {
	sum float64
	at  time.Duration
}

// Value decays the sum to the time now, and gives it.
func (f *Sum) Value(now, timeConstant time.Duration) float64 {
	if now > f.at {
		if timeConstant > 0 && f.sum != 0 {
			f.sum *= math.Exp(-float64(now-f.at) / float64(timeConstant))
		}
		f.at = now
	}
	return f.sum
}

// Add adds v at the time now.
func (f *Sum) Add(v float64, now, timeConstant time.Duration) { f.sum = f.Value(now, timeConstant) + v }

// Mean is the sum divided by the number n, which decays alike; 0 where n is 0.
func (f *Sum) Mean(n *Sum, now, timeConstant time.Duration) float64 {
	if count := n.Value(now, timeConstant); count > 0 {
		return f.Value(now, timeConstant) / count
	}
	return 0
}

// Rate is what is added per second.
func (f *Sum) Rate(now, timeConstant time.Duration) float64 {
	return f.Value(now, timeConstant) / max(timeConstant, time.Millisecond).Seconds()
}

// NewSum makes a sum that had a value at a time, as another process had it.
func NewSum(v float64, at time.Duration) Sum { return Sum{v, at} }
