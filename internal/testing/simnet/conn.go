package simnet

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	machine       *Machine
	in, out       *stream
	local, remote string
	read, write   *deadline
	closed        chan struct{}
	once          sync.Once
	resetsOnClose atomic.Bool // set by SetLinger
}

var _ net.Conn = (*conn)(nil)

// errClosedByPeer is the error of a write after the connection has ended.
const errClosedByPeer = syscall.EPIPE

// newConnPair creates both ends of a connection from a to b.
func newConnPair(a, b *Machine, local, remote string) (near, far *conn) {
	forth := newStream(a.network, a.ip, b.ip, remote)
	back := newStream(a.network, b.ip, a.ip, remote)
	near = &conn{
		machine: a, in: back, out: forth, local: local, remote: remote, read: newDeadline(), write: newDeadline(),
		closed: make(chan struct{}),
	}
	far = &conn{
		machine: b, in: forth, out: back, local: remote, remote: local, read: newDeadline(), write: newDeadline(),
		closed: make(chan struct{}),
	}
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		remaining, limited, moved := c.read.remaining()
		if limited && remaining <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		n, next, err := c.in.read(p)
		if n > 0 || err != nil {
			return n, err
		}
		wait := next.wait
		if limited && (wait < 0 || remaining < wait) {
			wait = remaining
		}
		if !c.wait(wait, next.changed, next.partitions, moved) {
			return 0, net.ErrClosed
		}
	}
}

// Idle reports whether the connection is open and has nothing to read. sockets.Idle calls it.
func (c *conn) Idle() bool {
	bytes, end := c.in.unread()
	return !bytes && !end
}

// PeerConnected reports whether the peer has not closed the connection. sockets.PeerConnected calls it.
func (c *conn) PeerConnected() bool {
	_, end := c.in.unread()
	return !end
}

// wait waits for span (no timeout if negative) or any of the channels, and reports whether the connection is still open.
func (c *conn) wait(span time.Duration, changed, partitions, moved <-chan struct{}) bool {
	var timeout <-chan time.Time
	if span >= 0 {
		timer := time.NewTimer(span)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-timeout:
	case <-changed:
	case <-partitions:
	case <-moved:
	case <-c.closed:
		return false
	}
	return true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writeSome(p[written:])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writeSome waits until the window has room and writes as many bytes as fit.
func (c *conn) writeSome(p []byte) (int, error) {
	for {
		remaining, limited, moved := c.write.remaining()
		if limited && remaining <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		n, changed, err := c.out.write(p)
		if err != nil || changed == nil {
			return n, err
		}
		span := time.Duration(-1)
		if limited {
			span = remaining
		}
		if !c.wait(span, changed, nil, moved) {
			return 0, net.ErrClosed
		}
	}
}

// Close implements net.Conn. The other end reads the bytes already written, then io.EOF.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		if c.resetsOnClose.Load() {
			c.reset()
		}
		c.out.finish()
		c.in.fail(net.ErrClosed)
		c.machine.network.mu.Lock()
		delete(c.machine.conns, c)
		c.machine.network.mu.Unlock()
	})
	return nil
}

// SetLinger is as of net.TCPConn: after SetLinger(0), Close resets the connection. Other times are not simulated.
func (c *conn) SetLinger(seconds int) error {
	c.resetsOnClose.Store(seconds == 0)
	return nil
}

// reset fails both directions immediately, without delivering bytes in flight.
func (c *conn) reset() {
	err := opError("read", "tcp", syscall.ECONNRESET)
	c.in.fail(err)
	c.out.fail(err)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return parseAddr(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return parseAddr(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return nil
}
