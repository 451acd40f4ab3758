package background

import (
	"runtime"
	"syscall"
	"time"
)

// startThreadTimer starts to measure the CPU time of the calling goroutine. The function that it returns stops the
// measurement and returns the time. The goroutine is locked to its thread in between.
func startThreadTimer() func() time.Duration {
	runtime.LockOSThread()
	startedAt := threadCPUTime()
	return func() time.Duration {
		used := threadCPUTime() - startedAt
		runtime.UnlockOSThread()
		return used
	}
}

// threadCPUTime returns the CPU time of the calling thread since its start, or 0 if the kernel doesn't report it.
func threadCPUTime() time.Duration {
	const thread = 1 // RUSAGE_THREAD
	var u syscall.Rusage
	if syscall.Getrusage(thread, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
