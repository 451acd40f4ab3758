package httpproxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"marlreel/internal/process/budget"
)

// handOver lets connections on which no complete request has come go on in the next process when this one ends: silent
// ones, idle ones, and those whose client is still writing. Nothing of what they ask has run, and what has come of it
// goes along. So a client that writes for longer than the platform waits for a process's end loses nothing by it.
//
// A connection is handed over by whoever reads from it, at a moment at which nothing that has come is on its way between
// two readers: its read is made to time out (interruptRead), which clientConn.Read handles.
func (cs *clientConns) handOver(transfer TransferFunc) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.transfer = transfer
	for c := range cs.open {
		if c.queuedIn != nil && c.queuedIn != &cs.lingering || c.receivingBody {
			c.interruptRead()
		}
	}
}

// interruptRead lets a read that waits, or the next one, time out at once.
func (c *clientConn) interruptRead() {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline implements net.Conn. A client that is silent at first has no more time for
// its head than one that begins at once.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if !c.headReceived && !t.IsZero() && t.After(c.headDeadline) {
		t = c.headDeadline
	}
	c.readDeadline = t
	if c.interrupted || c.readsEnded {
		return nil // until the read that is to see it has
	}
	return c.Conn.SetReadDeadline(t)
}

// consumeInterrupt tells whether a read timed out because it was to, and puts the deadline back.
func (c *clientConn) consumeInterrupt(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if !c.interrupted || c.readsEnded {
		return false
	}
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// savePartialHead keeps what has come of a head that is not complete.
func (c *clientConn) savePartialHead(p []byte) {
	switch n := c.framing.headBytes; {
	case n == 0:
		c.partialHead = nil
	case n <= len(p):
		c.partialHead = append(c.partialHead[:0], p[len(p)-n:]...)
	case len(c.partialHead) <= maxHead:
		c.partialHead = append(c.partialHead, p...)
	}
}

// transferWith gives the connection to the next process with what has come of a request, and tells
// whether that has taken it.
func (c *clientConn) transferWith(received []byte) bool {
	c.conns.mu.Lock()
	transfer := c.conns.transfer
	c.conns.mu.Unlock()
	if transfer == nil || len(received) > maxReceived || !transfer(received, c.Conn, nil) {
		return false
	}
	c.transferred.Store(true)
	return true
}

// maxReceived bounds what may have come of a request that goes on elsewhere.
const maxReceived = 3 << 20

// transferable tells whether all that has come of a body is here. One that is on its way to a
// backend and has made room there can't go on elsewhere, and is complete in time more often than not:
// ending its reading would lose it.
func (c *clientConn) transferable() bool {
	if c.body == nil {
		return true
	}
	_, all := c.body.received()
	return all
}

// encodePartialRequest is what has come of a request, as it may stand on the wire. body is what has come of
// its body.
func encodePartialRequest(r *http.Request, f *requestFraming, body [][]byte) ([]byte, bool) {
	data := 0
	for _, p := range body {
		data += len(p)
	}
	var before, behind []byte
	out := make([]byte, 0, 1024+data)
	for _, part := range []string{r.Method, " ", r.RequestURI, " ", r.Proto, "\r\nHost: ", r.Host, "\r\n"} {
		out = append(out, part...)
	}
	for field, values := range r.Header {
		switch field {
		case "Content-Length", "Transfer-Encoding", "Expect": // that has been answered when its body is read
			continue
		}
		for _, v := range values {
			for _, part := range []string{field, ": ", v, "\r\n"} {
				out = append(out, part...)
			}
		}
	}
	if r.ContentLength >= 0 {
		if f.state != frameBody || f.remaining != r.ContentLength-int64(data) {
			return nil, false
		}
		out = strconv.AppendInt(append(out, "Content-Length: "...), r.ContentLength, 10)
		out = append(out, "\r\n"...)
	} else {
		var ok bool
		if before, behind, ok = f.resumeBytes(data); !ok {
			return nil, false
		}
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	out = append(append(out, "\r\n"...), before...)
	for _, p := range body {
		out = append(out, p...)
	}
	return append(out, behind...), true
}

// transferRequest gives a request to the next process of which part of the body has come, if its
// reading has ended for that. What is left of it here has ended.
func (c *clientConn) transferRequest(r *http.Request, body []byte, up *upload) bool {
	if !c.readHandedOver {
		return false
	}
	c.readHandedOver = false
	parts := [][]byte{body}
	if up != nil {
		var all bool
		if parts, all = up.received(); !all {
			return false
		}
	}
	received, ok := encodePartialRequest(r, &c.framing, parts)
	return ok && c.transferWith(received)
}

// AdoptClient goes on with a client's connection that another process has given, and with what had
// come there. It is this process's from then on, unless it gives an error.
func (s *Front) AdoptClient(received []byte, nc net.Conn) error {
	reserved := 0
	if len(received) > maxHead {
		// And a piece more, which is given back first: with all the memory full of what has come, none of
		// it could be read on.
		reserved = len(received) + pieceSize
		if !s.memory.TryAcquire(reserved, budget.Large) {
			return errNoRoom
		}
	}
	c := s.conns.admit(nc)
	if c == nil {
		s.memory.Release(reserved, budget.Large)
		return errors.New("all places are taken")
	}
	if len(received) == 0 {
		go c.park()
		return nil
	}
	c.received = received
	if reserved > 0 {
		c.receivedBudget = s.memory
		c.receivedReserved.Store(int64(reserved))
	}
	go s.conns.deliver(c)
	return nil
}
