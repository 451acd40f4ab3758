package controlplane

import (
	"math/rand/v2"
	"time"

	"marlreel/internal/api"
)

// processClock is the monotonic clock of one incarnation of this process. It starts above 0.
type processClock struct {
	origin      time.Time
	incarnation uint64 // random for each start, to distinguish readings from those of an earlier process
}

func newProcessClock() processClock {
	return processClock{origin: time.Now(), incarnation: rand.Uint64()}
}

// now is the current time on the clock.
func (c processClock) now() time.Duration { return c.at(time.Now()) }

// at is what the clock shows at a time.
func (c processClock) at(t time.Time) time.Duration { return t.Sub(c.origin) + time.Second }

// reading is the current time on the clock, in the form that is sent to other processes.
func (c processClock) reading() *api.Instant {
	return &api.Instant{Incarnation: c.incarnation, MonotonicNs: uint64(c.now())}
}

// deadline converts a deadline that another process computed from a reading. The second result is false if the reading
// was that of another incarnation.
func (c processClock) deadline(instant *api.Instant) (time.Duration, bool) {
	return time.Duration(instant.GetMonotonicNs()), instant.GetIncarnation() == c.incarnation
}
