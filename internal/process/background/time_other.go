//go:build !linux

package background

import "time"

// startThreadTimer measures elapsed time, an upper bound, as the CPU time of a thread is not available.
func startThreadTimer() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
