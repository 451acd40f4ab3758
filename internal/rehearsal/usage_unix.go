//go:build unix

package rehearsal

import (
	"os"
	"runtime"
	"syscall"
	"time"
)

func usageOf(s *os.ProcessState) Usage {
	if s == nil {
		return Usage{}
	}
	r, ok := s.SysUsage().(*syscall.Rusage)
	if !ok {
		return Usage{CPU: (s.UserTime() + s.SystemTime()).Seconds()}
	}
	return fromRusage(r)
}

func fromRusage(r *syscall.Rusage) Usage {
	unit := 1024.0 // of Maxrss, in bytes
	if runtime.GOOS == "darwin" {
		unit = 1
	}
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return Usage{CPU: cpu.Seconds(), MemoryMB: float64(r.Maxrss) * unit / (1 << 20)}
}

// ownUsage returns the usage of this process so far.
func ownUsage() Usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return Usage{}
	}
	return fromRusage(&r)
}

// descriptors returns the limit of file descriptors of this process, or 0 if it is unknown or practically unlimited.
func descriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<30 {
		return 0
	}
	return int(l.Cur)
}
