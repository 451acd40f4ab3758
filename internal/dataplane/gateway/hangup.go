package gateway

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangup notices a client's end while its answer is being made.
type hangup struct {
	gone   chan struct{} // closed when the client has ended its connection
	conn   net.Conn
	done   chan struct{} // closed when nothing looks any more
	ending sync.Once
}

// watchHangup looks at a connection until stop, without taking any of its bytes.
func watchHangup(conn net.Conn) *hangup {
	h := &hangup{gone: make(chan struct{}), done: make(chan struct{}), conn: conn}
	sockets, is := conn.(syscall.Conn)
	if !is {
		close(h.done)
		return h
	}
	raw, err := sockets.SyscallConn()
	if err != nil {
		close(h.done)
		return h
	}
	go func() {
		defer close(h.done)
		left := false
		// It ends as well where the deadline of reads is set to now.
		if err := raw.Read(func(fd uintptr) bool {
			ended, waits := peekEnd(int(fd))
			left = ended
			return !waits
		}); err == nil && left {
			close(h.gone)
		}
	}()
	return h
}

// peekEnd tells whether a connection has ended, or whether there is nothing to be seen yet.
func peekEnd(fd int) (ended, waits bool) {
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

// stop ends the looking, so that the connection can be read again.
func (h *hangup) stop() {
	h.ending.Do(func() {
		select {
		case <-h.done:
			return
		default:
		}
		h.conn.SetReadDeadline(time.Now())
		<-h.done
		h.conn.SetReadDeadline(time.Time{})
	})
}
