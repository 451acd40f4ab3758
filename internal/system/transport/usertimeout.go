package transport

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout ends connections to machines that no longer answer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where it can't be set, deadlines alone bound the calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
