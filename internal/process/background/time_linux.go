package background

import (
	"runtime"
	"syscall"
	"time"
)

// threadTime begins to count what this goroutine takes of a core; it has a thread to itself until it ends.
func threadTime() func() time.Duration {
	runtime.LockOSThread()
	began := ofThread()
	return func() time.Duration {
		used := ofThread() - began
		runtime.UnlockOSThread()
		return used
	}
}

func ofThread() time.Duration {
	const thread = 1 // RUSAGE_THREAD
	var u syscall.Rusage
	if syscall.Getrusage(thread, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
