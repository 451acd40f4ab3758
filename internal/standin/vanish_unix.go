//go:build unix

package standin

import (
	"net"
	"syscall"
	"time"
)

// Block prevents a listener from establishing further connections: it shrinks the
// accept queue to the minimum and fills it, so that the kernel drops further SYNs.
// It returns the connections that fill the queue. Nothing accepts them, as the
// listener's deadline makes Accept return.
func Block(l net.Listener) (fillers []net.Conn) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	t.SetDeadline(time.Unix(1, 0)) // Accept returns and its goroutine ends
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		return nil
	}
	for range 8 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return fillers // the queue is full
		}
		fillers = append(fillers, c)
	}
	return fillers
}

// Unblock lets connections be established again. Pending connection attempts succeed when the kernel retransmits their SYN.
func Unblock(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	t.SetDeadline(time.Time{})
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 64) })
	return err
}
