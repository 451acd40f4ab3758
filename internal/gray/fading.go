package gray

import (
	"math"
	"time"
)

// fading is a sum whose parts fade with their age.
type fading struct {
	sum float64
	at  time.Duration
}

func (f *fading) fade(now, span time.Duration) float64 {
	if now > f.at {
		if f.sum != 0 {
			f.sum *= math.Exp(-float64(now-f.at) / float64(span))
		}
		f.at = now
	}
	return f.sum
}

func (f *fading) add(v float64, now, span time.Duration) { f.sum = f.fade(now, span) + v }
