package sockets

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type idleReporter interface{ Idle() bool }

type peerReporter interface{ PeerConnected() bool }

// Idle reports whether a connection is open and has no unread data. A connection without a socket or a method Idle counts
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

// Unread copies the first unread bytes into buffer without blocking or consuming them, and returns their number. It
// returns 0 if there are none, the peer has disconnected, or the connection has no socket.
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

// PeerConnected reports whether the peer is still connected, regardless of unread data. A peer that has shut down its
// sending side counts as disconnected.
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
	// There is unread data, which the end of the stream may follow.
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(poll, 0)
	if err != nil || n == 0 {
		return true
	}
	return poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) == 0
}

// inspect returns the result of question for a connection's socket. It returns false if the connection is closed locally,
// and true if it has no socket.
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

// Peek checks for unread data without blocking or consuming it. A result of 0 without an error means that the peer has
// disconnected; syscall.EAGAIN means that there is nothing to read.
func Peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
