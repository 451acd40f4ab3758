package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is a clock that goes on while the process is stopped and while its machine sleeps (CLOCK_BOOTTIME): by
// Go's own, which stands still over a machine's sleep, a lease would outlive it.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(started)
	}
	return time.Duration(t.Nano())
}

var started = time.Now()
