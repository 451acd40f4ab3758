package controlplane

import (
	"math/rand/v2"
	"time"

	"marlreel/internal/api"
)

// processClock is the monotonic clock of one incarnation of this process. It starts above 0.
type processClock struct {
	origin      time.Time
	incarnation uint64 // drawn at the start, so that readings of an earlier process are told from this one's
}

func newProcessClock() processClock {
	return processClock{origin: time.Now(), incarnation: rand.Uint64()}
}

// now is the time on the clock.
func (c processClock) now() time.Duration { return c.at(time.Now()) }

// at is what the clock shows at a time.
func (c processClock) at(t time.Time) time.Duration { return t.Sub(c.origin) + time.Second }

// reading is the clock as other processes are told of it.
func (c processClock) reading() *api.Instant {
	return &api.Instant{Incarnation: c.incarnation, MonotonicNs: uint64(c.now())}
}

// deadline reads a deadline that another process reckoned from a reading. The second result is false where that was
// of another incarnation.
func (c processClock) deadline(instant *api.Instant) (time.Duration, bool) {
	return time.Duration(instant.GetMonotonicNs()), instant.GetIncarnation() == c.incarnation
}
