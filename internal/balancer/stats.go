package balancer

// Statistics: fits, quantiles, averages and hashes, independent of the Balancer.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// linearFit is a least-squares line through points whose weight decays as newer points are added.
type linearFit struct{ n, x, y, xx, xy float64 }

// fitRetention is the fraction of their weight that the points of a linearFit keep when a new one is added: about
// the last 500 points count.
const fitRetention = 0.998

func (l *linearFit) add(x, y float64) {
	l.n = l.n*fitRetention + 1
	l.x = l.x*fitRetention + x
	l.y = l.y*fitRetention + y
	l.xx = l.xx*fitRetention + x*x
	l.xy = l.xy*fitRetention + x*y
}

// mean is the mean y of the points. There must be at least one point.
func (l *linearFit) mean() float64 { return l.y / l.n }

// at is the line's y at x. The slope is never negative, and 0 unless the points show one.
func (l *linearFit) at(x float64) float64 {
	slope, spread := 0.0, l.xx-l.x*l.x/l.n
	if spread > 1e-9*l.xx {
		slope = max(0, (l.xy-l.x*l.y/l.n)/spread)
	}
	return l.mean() + slope*(x-l.x/l.n)
}

// limitedTo is the same line with the total weight of its points reduced to weight at most.
func (l linearFit) limitedTo(weight float64) linearFit {
	if l.n <= weight {
		return l
	}
	f := weight / l.n
	return linearFit{weight, l.x * f, l.y * f, l.xx * f, l.xy * f}
}

const (
	tailFraction       = 0.2  // fraction of the values that exceed the quantile
	tailMaxStep        = 0.02 // largest relative change of the quantile by one value
	minTailAnswers     = 50   // values before the quantile is used
	tailRecoverySweeps = 4000 // the minimum rises by 1/4000 each sweep: far slower than faults develop
)

// tailQuantile estimates the quantile that tailFraction of the values exceed. min is its recent minimum.
type tailQuantile struct{ n, value, min float64 }

// newTailQuantile restores a tailQuantile from its exported parts.
func newTailQuantile(parts [3]float64) tailQuantile {
	return tailQuantile{parts[0], parts[1], parts[2]}
}

// parts exports the state for newTailQuantile.
func (q tailQuantile) parts() [3]float64 { return [3]float64{q.n, q.value, q.min} }

func (q *tailQuantile) add(v float64) {
	q.n++
	switch {
	case q.n == 1:
		q.value = v
	case v > q.value:
		q.value *= 1 + tailMaxStep*(1-tailFraction)
	default:
		q.value *= 1 - tailMaxStep*tailFraction
	}
}

// updateMin follows the quantile down immediately and up slowly.
func (q *tailQuantile) updateMin() {
	if q.n < minTailAnswers {
		return
	}
	q.min *= 1 + 1.0/tailRecoverySweeps
	if q.min == 0 || q.value < q.min {
		q.min = q.value
	}
}

// smooth adds v to a mean over n values; the first v becomes the mean.
func smooth(mean, v, n float64) float64 {
	if mean == 0 {
		return v
	}
	return mean + (v-mean)/n
}

// average is a mean in which values older than a window decay.
type average struct{ n, mean float64 }

func (m *average) add(v, window float64) {
	m.n = min(m.n+1, window)
	m.mean += (v - m.mean) / m.n
}

// median sorts v and returns its middle element, or none if v is empty.
func median(v []float64, none float64) float64 {
	if len(v) == 0 {
		return none
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// ages sums the ages of attempts in flight, each as a multiple of its expected delay, in a form that gives the sum at
// any time without iterating over the attempts.
type ages struct{ sent, each float64 }

// add adds another sum, or subtracts it with the sign -1.
func (s *ages) add(o ages, sign float64) { s.sent, s.each = s.sent+sign*o.sent, s.each+sign*o.each }

// at is the sum at a time; max keeps rounding errors from making it negative.
func (s ages) at(now time.Duration) float64 { return max(0, millis(now)*s.each-s.sent) }

// mix hashes a key with a backend, the same way at every proxy.
func mix(key uint64, id BackendID) uint64 {
	h := key ^ uint64(id)*0x9e3779b97f4a7c15
	for range 2 {
		h ^= h >> 32
		h *= 0xd6e8feb86659fd93
	}
	return h ^ h>>32
}

// jitter draws a random duration below d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(d))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
