// Package decay has the sum whose parts fade with their age, from which rates, means and
// shares of late are taken all over the decisions. It reads no clock: each call is told
// the time, which never goes back.
package decay

import (
	"math"
	"time"
)

// Sum is a sum whose parts fade exponentially. The zero value is an empty one. All calls
// of one sum are to be given the same span: how long a part takes to fade to 1/e.
type Sum struct {
	sum float64
	at  time.Duration
}

// Value brings the sum to the time now, and gives it.
func (f *Sum) Value(now, span time.Duration) float64 {
	if now > f.at {
		if span > 0 && f.sum != 0 {
			f.sum *= math.Exp(-float64(now-f.at) / float64(span))
		}
		f.at = now
	}
	return f.sum
}

// Add adds v, after bringing the sum to the time now.
func (f *Sum) Add(v float64, now, span time.Duration) { f.sum = f.Value(now, span) + v }

// Mean is the sum for each one of the number n, which fades alike; 0 where there is none.
func (f *Sum) Mean(n *Sum, now, span time.Duration) float64 {
	if count := n.Value(now, span); count > 0 {
		return f.Value(now, span) / count
	}
	return 0
}

// Rate is the rate at which is added, a second.
func (f *Sum) Rate(now, span time.Duration) float64 {
	return f.Value(now, span) / max(span, time.Millisecond).Seconds()
}

// NewSum makes a sum of a value that it had at a time, for who takes one over.
func NewSum(v float64, at time.Duration) Sum { return Sum{v, at} }
