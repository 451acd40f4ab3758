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

// clientConn is one client connection.
type clientConn struct {
	net.Conn
	conns    *clientConns
	queuedIn *list.List // the list of clientConns that contains it; nil: it is serving a request, or is closed
	element  *list.Element

	lastProgress time.Time // when it was put into its list, or bytes last arrived while it was there
	receivedAny  bool      // bytes of a request have arrived since it was accepted or became idle
	ended        bool      // bytes that arrive from now on are ignored; guarded by the table's lock
	closing      bool      // Close was called

	headDeadline  time.Time // for its first complete head
	receivingBody bool      // the body of the request being served is still arriving; guarded by the table's lock

	// The following fields belong to the goroutine that reads from the connection.
	framing          requestFraming
	headReceived     bool           // the first head has been received
	partialHead      []byte         // the received bytes of an incomplete head
	received         []byte         // bytes that another process had received; they are read first
	receivedBudget   *budget.Budget // the budget with the memory for received; nil: none is reserved
	receivedReserved atomic.Int64   // bytes reserved there
	receivedBegun    bool           // a part of received has been read
	body             *upload        // of the request being received; nil: its body is buffered
	readHandedOver   bool           // reading a body was ended by errHandoverPending, which net/http may have replaced

	inHandler    atomic.Bool // a request is being served, from its complete head on
	transferred  atomic.Bool // it belongs to another process: nothing more is read, written or shut down here
	wrote        atomic.Bool // something was written
	peerGone     atomic.Bool // a read has found that the client has closed it
	resetOnClose atomic.Bool // Close resets it, or closes it without lingering

	readDeadlineMu sync.Mutex // guards the fields below
	readDeadline   time.Time  // as set by SetReadDeadline
	interrupted    bool       // one read is to time out at once, whatever the deadline
	readsEnded     bool       // every read is to time out at once
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		// net/http takes a line that was cut off by an error as complete, and reads on.
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
			return 0, errHandoverPending // the reader of the body knows how much of it has been received
		case !c.hasRequest() && len(c.partialHead) == c.framing.headBytes && c.transferWith(c.partialHead):
			return 0, err // net/http closes the connection without an answer
		}
	}
}

// errHandoverPending means that another process will read the rest of a body. Clients may get its text.
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
	released := n // the reader accounts for the bytes from here on
	if !c.receivedBegun {
		c.receivedBegun = true
		released += pieceSize
	}
	if left := c.receivedReserved.Add(int64(-released)); left >= 0 {
		c.receivedBudget.Release(released, budget.Large)
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

// recordRead records that bytes of a request have been read, and reports whether they may be used. The connection may
// have been ended between the read and this call; the bytes are then dropped, as the answer could not be delivered.
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

// recordProgress updates lastProgress and moves the connection to the end of its list. An idle connection
// stays in the list of idle ones; only a silent one changes its list, once. The caller holds the lock.
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

// hasUnhandledRequest reports whether a request has been read completely that no handler has processed yet. The caller
// holds the lock.
func (c *clientConn) hasUnhandledRequest() bool {
	return c.framing.hasUnhandledHead() || c.inHandler.Load() && c.framing.betweenBodies()
}

// hasRequest reports whether a request is being served, or its head has been read and its handler has not started. Before
// it calls the handler, net/http already reads beyond the request; if that read handed the connection over, the answer
// could not be written.
func (c *clientConn) hasRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.inHandler.Load() || c.framing.hasUnhandledHead()
}

// end makes the connection ignore all bytes that arrive from now on, and makes its reads time out at once. The caller
// holds the lock.
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

// connected reports whether the client is still connected, by the present state of the connection. A client that has shut
// down its side counts as disconnected, whatever it sent before; see docs/design/rare-moments.md.
func (c *clientConn) connected() bool {
	if c.peerGone.Load() {
		return false
	}
	return sockets.PeerConnected(c.Conn)
}

// beginRequest records that net/http has read the head of a request, and reports whether the request must be
// rejected because its framing is ambiguous.
func (c *clientConn) beginRequest() (rejected bool) {
	c.headReceived = true
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.inHandler.Store(true)
	c.recordProgress()
	return c.framing.beginRequest()
}

// markBusy records that a request on the connection is being served: it is not evicted.
func (c *clientConn) markBusy() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.unqueue()
}

// markIdle records that the request is finished: it was answered, or else rejected and the connection is closed.
func (c *clientConn) markIdle(answered bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !answered {
		c.queue(&c.conns.silent)
		return
	}
	c.inHandler.Store(false) // it stays set after a rejection: the connection is about to end, and may still be read
	c.queue(&c.conns.idle)
	if c.receivedAny = c.framing.headBegun(); c.receivedAny {
		return // net/http has already read part of the next request, and it will be answered
	}
	if c.conns.ending {
		c.end()
	} else if c.conns.transfer != nil {
		c.interruptRead()
	}
}

// setReceivingBody records whether the body of the request being served is still arriving.
func (c *clientConn) setReceivingBody(receiving bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.receivingBody = receiving; receiving && c.conns.transfer != nil {
		c.interruptRead()
	}
}

// Close implements net.Conn. Closing a socket with unread bytes resets the connection, and written bytes that are still in
// flight are lost. So Close shuts down only the write side, and reads and discards what the client still sends until the
// client closes its side too, for lingerTimeout at most.
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
	// lingerTimeout is how long a client may take to close its side after this side was shut down, and maxLingerBytes how
	// much it may still send.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// linger reads and discards what still arrives, and then closes the connection.
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

// CloseWrite shuts down the write side, so that a client that is still sending
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

// NetConn returns the underlying connection.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// markReset makes the connection end with a reset, even if something has been written.
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

// withClient adds the connection to the context of its requests, for clientOf.
func withClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

func clientOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientKey{}).(*clientConn)
	return c
}
