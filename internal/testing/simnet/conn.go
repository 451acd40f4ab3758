package simnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is how many bytes may be under way in one direction.
const window = 256 << 10

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string
	server   string // the address that is listened at, at one of its ends

	mu      sync.Mutex
	pieces  []piece
	bytes   int
	ended   bool          // nothing more is written
	broken  error         // a reset
	changed chan struct{} // closed at each change
}

type piece struct {
	data []byte // empty: the end
	at   time.Time
}

func newStream(n *Network, from, to, server string) *stream {
	return &stream{network: n, from: from, to: to, server: server, changed: make(chan struct{})}
}

// touch tells those that wait. Called with the lock.
func (s *stream) touch() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put adds a piece behind the others. Called with the lock.
func (s *stream) put(data []byte) {
	at := time.Now()
	if s.from != s.to {
		at = at.Add(s.network.occupy(s.from, len(data)) + s.network.delay())
	}
	if n := len(s.pieces); n > 0 && s.pieces[n-1].at.After(at) {
		at = s.pieces[n-1].at
	}
	s.pieces = append(s.pieces, piece{data, at})
	s.bytes += len(data)
	s.network.traffic.add(Flow{From: s.from, To: s.to, Server: s.server, Kind: "tcp"}, len(data))
	s.touch()
}

func (s *stream) breakOff(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = err
		s.touch()
	}
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.put(nil)
	}
}

// take gives what has arrived, or how long to wait and on what.
func (s *stream) take(p []byte) (n int, wait time.Duration, changed, cuts <-chan struct{}, err error) {
	open, cuts := s.network.passes(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return 0, 0, nil, nil, s.broken
	}
	wait = -1
	if len(s.pieces) > 0 && open {
		first := &s.pieces[0]
		if wait = time.Until(first.at); wait <= 0 {
			if len(first.data) == 0 {
				return 0, 0, nil, nil, io.EOF
			}
			n = copy(p, first.data)
			first.data = first.data[n:]
			s.bytes -= n
			if len(first.data) == 0 {
				s.pieces = s.pieces[1:]
			}
			s.touch()
			return n, 0, nil, nil, nil
		}
	}
	return 0, wait, s.changed, cuts, nil
}

// deadline is a time that may be changed while it is waited for.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func newDeadline() *deadline { return &deadline{changed: make(chan struct{})} }

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

// left is how long it is; set is false where there is none.
func (d *deadline) left() (left time.Duration, set bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.at), !d.at.IsZero(), d.changed
}

// conn is one end of a connection.
type conn struct {
	machine       *Machine
	in, out       *stream
	local, remote string
	read, write   *deadline
	closed        chan struct{}
	once          sync.Once
}

func pair(a, b *Machine, local, remote string) (near, far *conn) {
	there, back := newStream(a.network, a.ip, b.ip, remote), newStream(a.network, b.ip, a.ip, remote)
	near = &conn{
		machine: a, in: back, out: there, local: local, remote: remote, read: newDeadline(), write: newDeadline(),
		closed: make(chan struct{}),
	}
	far = &conn{
		machine: b, in: there, out: back, local: remote, remote: local, read: newDeadline(), write: newDeadline(),
		closed: make(chan struct{}),
	}
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		left, limited, moved := c.read.left()
		if limited && left <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		n, wait, changed, cuts, err := c.in.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		if limited && (wait < 0 || left < wait) {
			wait = left
		}
		if !c.pause(wait, changed, cuts, moved) {
			return 0, net.ErrClosed
		}
	}
}

// arrived gives what has arrived and was not read: whether there are bytes, and whether the end stands behind them.
func (s *stream) arrived() (bytes, end bool) {
	open, _ := s.network.passes(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pieces {
		if !open || time.Until(p.at) > 0 {
			break
		}
		bytes, end = bytes || len(p.data) > 0, end || len(p.data) == 0
	}
	return bytes, end || s.broken != nil
}

// Quiet tells that the connection is open and has nothing to read.
func (c *conn) Quiet() bool {
	bytes, end := c.in.arrived()
	return !bytes && !end
}

// PeerIsThere tells whether the other side has not ended.
func (c *conn) PeerIsThere() bool {
	_, end := c.in.arrived()
	return !end
}

// pause waits for any of these; it tells whether the connection is still open.
func (c *conn) pause(wait time.Duration, changed, cuts, moved <-chan struct{}) bool {
	var timeout <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-timeout:
	case <-changed:
	case <-cuts:
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

// writeSome writes what there is room for, once there is some.
func (c *conn) writeSome(p []byte) (int, error) {
	for {
		left, limited, moved := c.write.left()
		if limited && left <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		c.out.mu.Lock()
		if c.out.broken != nil || c.out.ended {
			c.out.mu.Unlock()
			return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
		}
		if room := window - c.out.bytes; room > 0 {
			p = p[:min(room, len(p))]
			c.out.put(append([]byte(nil), p...))
			c.out.mu.Unlock()
			return len(p), nil
		}
		changed := c.out.changed
		c.out.mu.Unlock()
		wait := time.Duration(-1)
		if limited {
			wait = left
		}
		if !c.pause(wait, changed, nil, moved) {
			return 0, net.ErrClosed
		}
	}
}

// Close implements net.Conn: the other end reads what was written, and then the end.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.out.end()
		c.in.breakOff(net.ErrClosed)
		c.machine.network.mu.Lock()
		delete(c.machine.conns, c)
		c.machine.network.mu.Unlock()
	})
	return nil
}

// reset ends both directions at once.
func (c *conn) reset() {
	err := &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	c.in.breakOff(err)
	c.out.breakOff(err)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addrOf(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addrOf(c.remote) }

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
