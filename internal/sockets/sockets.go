package sockets

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type idleReporter interface{ Idle() bool }

type peerReporter interface{ PeerConnected() bool }

// Idle tells whether a connection is open and has nothing to read. What is neither a socket nor has a method Idle counts
// as idle.
func Idle(conn net.Conn) bool {
	if simulated, ok := conn.(idleReporter); ok {
		return simulated.Idle()
	}
	return inspect(conn, func(fd uintptr) bool {
		_, err := Peek(fd)
		return errors.Is(err, syscall.EAGAIN)
	})
}

// Unread copies the first bytes that have arrived and that nobody has read, without waiting or consuming them, and
// returns their number: 0 where there are none, where the peer has disconnected, and for what is no socket.
func Unread(conn net.Conn, buffer []byte) int {
	count := 0
	if _, ok := conn.(syscall.Conn); !ok {
		return 0
	}
	inspect(conn, func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == nil {
			count = n
		}
		return err == nil
	})
	return count
}

// PeerConnected tells whether the peer has not disconnected, whatever is still to be read of it. A peer that has shut
// down its writing counts as disconnected.
func PeerConnected(conn net.Conn) bool {
	if simulated, ok := conn.(peerReporter); ok {
		return simulated.PeerConnected()
	}
	return inspect(conn, peerConnected)
}

func peerConnected(fd uintptr) bool {
	n, err := Peek(fd)
	if err != nil {
		return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	}
	if n == 0 {
		return false
	}
	// There are bytes to be read, and the end may come behind them.
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(poll, 0)
	if err != nil || n == 0 {
		return true
	}
	return poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) == 0
}

// inspect gives what question answers of a connection's socket: false where it is closed here, true where it has none.
func inspect(conn net.Conn, question func(fd uintptr) bool) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	answer := false
	err = raw.Control(func(fd uintptr) { answer = question(fd) })
	return err == nil && answer
}

// Peek looks for bytes to read, without waiting or consuming them: no byte and no error are the peer's end, and
// syscall.EAGAIN is that there is nothing to read.
func Peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
