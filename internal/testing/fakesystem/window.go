package fakesystem

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size of the receive buffers of a backend's connections, in bytes. A backend that doesn't read a long
// body holds its sender up.
const receiveBuffer = 8 << 10

// limitWindow limits the receive buffers of the connections that a listener accepts, if it has a socket.
func limitWindow(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	}); err != nil {
		return err
	}
	return failure
}
