//go:build !linux

package background

import "time"

// startThreadTimer measures by the clock, where a thread's CPU time is not known: never less than it uses.
func startThreadTimer() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
