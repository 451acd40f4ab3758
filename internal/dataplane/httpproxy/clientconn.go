package httpproxy

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/process/budget"
	"marlreel/internal/sockets"
)

// clientConn is one client's connection.
type clientConn struct {
	net.Conn
	conns    *clientConns
	queuedIn *list.List // nil: it is serving a request, or is closed
	element  *list.Element

	lastProgress time.Time // when it came into its list, or something last came there
	receivedAny  bool      // something of a request has come since it rests or was accepted
	ended        bool      // nothing that comes counts any more; with the table's lock
	closing      bool      // Close was called

	headDeadline  time.Time // by when its first head has to be complete
	receivingBody bool      // a request that is in hand is still being written; with the table's lock

	// Only who reads from the connection has these.
	framing          requestFraming
	headReceived     bool           // the first head has come
	partialHead      []byte         // what has come of a head that is not complete
	received         []byte         // what had come in another process; it is read first
	receivedBudget   *budget.Budget // that it has taken memory from; nil: none
	receivedReserved atomic.Int64   // bytes of that
	receivedBegun    bool
	body             *upload // of the request in hand, while it comes; nil: it is buffered
	readHandedOver   bool    // the reading of a body has ended with errHandoverPending, or what net/http made of it

	inHandler    atomic.Bool // a request is in hand, from its head on
	transferred  atomic.Bool // it is another process's: nothing more is read, written or ended here
	wrote        atomic.Bool // something was written
	peerGone     atomic.Bool // its client has ended it: a read has met that
	resetOnClose atomic.Bool // it ends with a reset, or at once

	readDeadlineMu sync.Mutex // the deadline of reads:
	readDeadline   time.Time  // as it was set,
	interrupted    bool       // and whether a read is to time out at once in its place
	readsEnded     bool       // and whether every read is to
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		// net/http takes a line that an error cut off for a complete one, and reads on.
		if c.transferred.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.readNext(p)
		if n > 0 && !c.recordRead(p[:n]) {
			return 0, net.ErrClosed
		}
		if n > 0 || err == nil {
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerGone.Store(true)
			return 0, err
		}
		if !c.consumeInterrupt(err) {
			return 0, err
		}
		switch handled, between := c.inHandler.Load(), c.framing.betweenBodies(); {
		case handled && !between && c.transferable():
			c.readHandedOver = true
			return 0, errHandoverPending // whoever reads the body knows what has come of it
		case !c.hasRequest() && len(c.partialHead) == c.framing.headBytes && c.transferWith(c.partialHead):
			return 0, err // the server closes without an answer
		}
	}
}

// errHandoverPending says that the rest of a body is to be read by another process.
var errHandoverPending = errors.New("this process leaves")

func (c *clientConn) readNext(p []byte) (int, error) {
	if len(c.received) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.received)
	if c.received = c.received[n:]; len(c.received) == 0 {
		c.received = nil
	}
	if c.receivedBudget == nil {
		return n, nil
	}
	given := n // as it is read it is held elsewhere
	if !c.receivedBegun {
		c.receivedBegun = true
		given += pieceSize
	}
	if left := c.receivedReserved.Add(int64(-given)); left >= 0 {
		c.receivedBudget.Release(given, budget.Large)
	}
	return n, nil
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.transferred.Load() {
		return len(p), nil
	}
	c.wrote.Store(true)
	return c.Conn.Write(p)
}

func (c *clientConn) queue(in *list.List) {
	c.unqueue()
	if _, open := c.conns.open[c]; open {
		c.queuedIn, c.element, c.lastProgress = in, in.PushBack(c), time.Now()
	}
}

func (c *clientConn) unqueue() {
	if c.queuedIn != nil {
		c.queuedIn.Remove(c.element)
		c.queuedIn, c.element = nil, nil
	}
}

// recordRead says that something of a request has come, and tells whether it counts. A connection may be ended
// between the read and this: what was read then is nobody's, or it would be forwarded with no way for its answer.
func (c *clientConn) recordRead(p []byte) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.ended {
		return false
	}
	c.framing.observe(p)
	c.savePartialHead(p)
	c.recordProgress()
	return true
}

// recordProgress notes progress. A list's element is made anew only where the list changes, which is
// once for a connection: idle connections stays among its like. Called with
// the lock.
func (c *clientConn) recordProgress() {
	c.receivedAny = true
	switch c.queuedIn {
	case nil:
	case &c.conns.silent:
		c.queue(&c.conns.partial)
	default:
		c.lastProgress = time.Now()
		c.queuedIn.MoveToBack(c.element)
	}
}

// hasUnhandledRequest tells whether a request has been read completely of which no handler has taken note. Called with the lock.
func (c *clientConn) hasUnhandledRequest() bool {
	return c.framing.hasUnhandledHead() || c.inHandler.Load() && c.framing.betweenBodies()
}

// hasRequest tells whether a request is in hand, or has been read completely and its handler has not begun. Net/http
// reads on behind a request before it calls the handler; given away by that read, the connection would go without the
// answer.
func (c *clientConn) hasRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.inHandler.Load() || c.framing.hasUnhandledHead()
}

// end lets nothing count any more that comes, and whoever reads or waits meet that. Called with the lock.
func (c *clientConn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	c.readsEnded = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// connected tells whether the client is still there, as its connection shows now. A client that has ended its side
// has gone, whatever it sent before; see docs/design/rare-moments.md.
func (c *clientConn) connected() bool {
	if c.peerGone.Load() {
		return false
	}
	return sockets.PeerConnected(c.Conn)
}

// beginRequest says that the head of a request has come, and tells whether it must be refused: it
// can be read in more than one way.
func (c *clientConn) beginRequest() (refused bool) {
	c.headReceived = true
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.inHandler.Store(true)
	c.recordProgress()
	return c.framing.beginRequest()
}

// markBusy says that the connection has a complete request in hand.
func (c *clientConn) markBusy() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.unqueue()
}

// markIdle says that nothing is owed any more: the request was answered, or rejected.
func (c *clientConn) markIdle(answered bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !answered {
		c.queue(&c.conns.silent)
		return
	}
	c.inHandler.Store(false) // else the connection ends, and somebody may still watch it
	c.queue(&c.conns.idle)
	if c.receivedAny = c.framing.headBegun(); c.receivedAny {
		return // what it has sent ahead is in net/http's hands, and is answered
	}
	if c.conns.ending {
		c.end()
	} else if c.conns.transfer != nil {
		c.interruptRead()
	}
}

// setReceivingBody says whether a request that is in hand is still being written.
func (c *clientConn) setReceivingBody(partly bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.receivingBody = partly; partly && c.conns.transfer != nil {
		c.interruptRead()
	}
}

// Close implements net.Conn. A close over bytes that nobody has read resets the connection, and what was
// written and is still on its way goes with it. So this side is ended alone, and what the client had on its way is
// read and left, until it ends its side too, for a moment at most.
func (c *clientConn) Close() error {
	cs := c.conns
	cs.mu.Lock()
	if c.closing {
		cs.mu.Unlock()
		return net.ErrClosed
	}
	c.closing, c.ended = true, true
	_, open := cs.open[c]
	lingers := open && c.wrote.Load() && !c.peerGone.Load() && !c.resetOnClose.Load() && !c.transferred.Load() && c.CloseWrite() == nil
	if lingers {
		c.queue(&cs.lingering)
	} else {
		cs.remove(c)
	}
	cs.mu.Unlock()
	if left := c.receivedReserved.Swap(0); c.receivedBudget != nil && left > 0 {
		c.receivedBudget.Release(int(left), budget.Large)
	}
	if !lingers {
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

const (
	// lingerTimeout is how long a client may take to end its side once this one is ended, and lingerMost how much it
	// may still send.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// linger reads what still comes, and closes.
func (c *clientConn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var buf [512]byte
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(buf[:])
		if left -= n; err != nil {
			break
		}
	}
	c.Conn.Close()
	c.conns.mu.Lock()
	c.conns.remove(c)
	c.conns.mu.Unlock()
}

// CloseWrite lets the server end its side first, so that a client that still sends
// can read the error before its connection is reset.
func (c *clientConn) CloseWrite() error {
	if c.transferred.Load() {
		return nil
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn is the connection itself.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// markReset lets the connection's end be a reset, whatever has been written.
func (c *clientConn) markReset() {
	if c.transferred.Load() {
		return
	}
	c.resetOnClose.Store(true)
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0)
	}
}

type clientKey struct{}

// withClient lets the handler of a connection's requests find the connection.
func withClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

func clientOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientKey{}).(*clientConn)
	return c
}
