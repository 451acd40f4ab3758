package gateway

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectWatcher notices that a client disconnects while its request is pending. It owns a goroutine until stop.
type disconnectWatcher struct {
	disconnected chan struct{} // closed when the client has closed its connection
	done         chan struct{} // closed when the watch has ended
	conn         net.Conn
	stopOnce     sync.Once
}

// watchDisconnect watches a connection until stop, without consuming any of its bytes.
func watchDisconnect(conn net.Conn) *disconnectWatcher {
	w := &disconnectWatcher{disconnected: make(chan struct{}), done: make(chan struct{}), conn: conn}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		close(w.done)
		return w
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		close(w.done)
		return w
	}
	// The read deadline that the server set for the request would end the watch. Clearing it fails only on a closed
	// connection, whose watch ends at once.
	_ = conn.SetReadDeadline(time.Time{})
	go w.watch(raw)
	return w
}

// watch waits until the client closes the connection or sends more bytes. Setting the read deadline to now ends the
// wait too.
func (w *disconnectWatcher) watch(raw syscall.RawConn) {
	defer close(w.done)
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var empty bool
		closed, empty = peek(int(fd))
		return !empty
	})
	if err == nil && closed {
		close(w.disconnected)
	}
}

// peek reports whether a connection was closed by its client, and whether there is nothing to read yet.
func peek(fd int) (closed, empty bool) {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false, true
	case err != nil:
		return true, false
	}
	return n == 0, false
}

// stop ends the watch, so that the connection can be read again.
func (w *disconnectWatcher) stop() {
	w.stopOnce.Do(func() {
		select {
		case <-w.done:
			return
		default:
		}
		// Setting a deadline fails only on a closed connection, whose reads have ended.
		_ = w.conn.SetReadDeadline(time.Now())
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}
