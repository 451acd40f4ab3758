//go:build !linux

package background

import "time"

// threadTime counts by the clock, where a thread's own time is not known: more than it takes.
func threadTime() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
