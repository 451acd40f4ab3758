package background

import (
	"runtime"
	"syscall"
	"time"
)

// startThreadTimer begins to count what this goroutine takes of a core; it has a thread to itself until it ends.
func startThreadTimer() func() time.Duration {
	runtime.LockOSThread()
	began := threadCPUTime()
	return func() time.Duration {
		used := threadCPUTime() - began
		runtime.UnlockOSThread()
		return used
	}
}

func threadCPUTime() time.Duration {
	const thread = 1 // RUSAGE_THREAD
	var u syscall.Rusage
	if syscall.Getrusage(thread, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
