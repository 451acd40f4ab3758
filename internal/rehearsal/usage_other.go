//go:build !unix

package rehearsal

import "os"

func usageOf(s *os.ProcessState) Usage {
	if s == nil {
		return Usage{}
	}
	return Usage{CPU: (s.UserTime() + s.SystemTime()).Seconds()}
}

func ownUsage() Usage  { return Usage{} }
func descriptors() int { return 0 }
