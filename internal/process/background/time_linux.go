package background

import (
	"runtime"
	"syscall"
	"time"
)

// startThreadTimer begins to measure the CPU time of the calling goroutine, and returns what ends that and gives the
// time. The goroutine has its thread to itself in between.
func startThreadTimer() func() time.Duration {
	runtime.LockOSThread()
	startedAt := threadCPUTime()
	return func() time.Duration {
		used := threadCPUTime() - startedAt
		runtime.UnlockOSThread()
		return used
	}
}

// threadCPUTime is the CPU time of the calling thread since its start; 0 where the kernel doesn't say.
func threadCPUTime() time.Duration {
	const thread = 1 // RUSAGE_THREAD
	var u syscall.Rusage
	if syscall.Getrusage(thread, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
