package balancer

// Statistics: fits, quantiles, averages and hashes. Nothing here knows the Balancer.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// linearFit is a least-squares line through points of which old ones decay with the number of newer ones.
type linearFit struct{ n, x, y, xx, xy float64 }

// fitRetention is the weight that earlier points of a linearFit keep as each new one comes: some 500 count.
const fitRetention = 0.998

// add takes in a point.
func (l *linearFit) add(x, y float64) {
	l.n = l.n*fitRetention + 1
	l.x = l.x*fitRetention + x
	l.y = l.y*fitRetention + y
	l.xx = l.xx*fitRetention + x*x
	l.xy = l.xy*fitRetention + x*y
}

// mean is the points' mean y. There must be a point.
func (l *linearFit) mean() float64 { return l.y / l.n }

// at is the line's y; the line never falls, and it is flat if the points don't say otherwise.
func (l *linearFit) at(x float64) float64 {
	slope, spread := 0.0, l.xx-l.x*l.x/l.n
	if spread > 1e-9*l.xx {
		slope = max(0, (l.xy-l.x*l.y/l.n)/spread)
	}
	return l.mean() + slope*(x-l.x/l.n)
}

// limitedTo is the same line through points of so much weight at most.
func (l linearFit) limitedTo(weight float64) linearFit {
	if l.n <= weight {
		return l
	}
	f := weight / l.n
	return linearFit{weight, l.x * f, l.y * f, l.xx * f, l.xy * f}
}

const (
	tailFraction       = 0.2  // what this part of the values exceeds is their tail
	tailMaxStep        = 0.02 // by which one value moves it at most
	minTailAnswers     = 50   // values after which it is known
	tailRecoverySweeps = 4000 // the minimum rises by one part of these a sweep: far slower than faults come
)

// tailQuantile follows a quantile: tailFraction of the values lies beyond it. min is the least that it was
// lately.
type tailQuantile struct{ n, value, min float64 }

// newTailQuantile makes one of its parts, for who takes one over.
func newTailQuantile(parts [3]float64) tailQuantile {
	return tailQuantile{parts[0], parts[1], parts[2]}
}

// parts are what newTailQuantile takes.
func (q tailQuantile) parts() [3]float64 { return [3]float64{q.n, q.value, q.min} }

// add takes in a value.
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

// updateMin follows the quantile down at once, and up slowly.
func (q *tailQuantile) updateMin() {
	if q.n < minTailAnswers {
		return
	}
	q.min *= 1 + 1.0/tailRecoverySweeps
	if q.min == 0 || q.value < q.min {
		q.min = q.value
	}
}

// smooth takes v into a mean over n values; the first v is the mean.
func smooth(mean, v, n float64) float64 {
	if mean == 0 {
		return v
	}
	return mean + (v-mean)/n
}

// average is a mean in which what is beyond the last so many values decays.
type average struct{ n, mean float64 }

func (m *average) add(v, window float64) {
	m.n = min(m.n+1, window)
	m.mean += (v - m.mean) / m.n
}

// median sorts v and gives its middle, or what stands for it where there is none.
func median(v []float64, none float64) float64 {
	if len(v) == 0 {
		return none
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// ages sums the ages of attempts in flight, each as a multiple of what it is expected to take, so that the
// sum at any time is known without going over them.
type ages struct{ sent, each float64 }

// add takes in, or off with the sign -1, another sum.
func (s *ages) add(o ages, sign float64) { s.sent, s.each = s.sent+sign*o.sent, s.each+sign*o.each }

// at is the sum at a time; rounding leaves nothing below 0.
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

// jitter draws a span below d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(d))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
