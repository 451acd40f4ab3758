package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns a time on a monotonic clock that advances while the process is stopped and while its machine is
// suspended (CLOCK_BOOTTIME). Go's own monotonic clock stands still during a suspension, and a lease would outlive it.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
