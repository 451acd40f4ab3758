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

// handOver passes connections without a complete request to the next process when this one ends: silent ones, idle ones,
// and those whose client is still sending a request. Their requests have not run, and the bytes received so far are passed
// along. So a client that takes longer to send than the platform waits for the process to end loses nothing.
//
// A connection is handed over by the goroutine that reads from it, at a moment when no received bytes are in transit
// between two readers: its read is made to time out (interruptRead), which clientConn.Read handles.
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

// interruptRead makes a blocked read, or the next one, time out at once.
func (c *clientConn) interruptRead() {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline implements net.Conn. Until the first head has been received, the deadline is at most headDeadline:
// a client that is silent at first gets no more time for its head than one that starts at once.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if !c.headReceived && !t.IsZero() && t.After(c.headDeadline) {
		t = c.headDeadline
	}
	c.readDeadline = t
	if c.interrupted || c.readsEnded {
		return nil // the deadline is restored by the read that consumes the interrupt
	}
	return c.Conn.SetReadDeadline(t)
}

// consumeInterrupt reports whether a read timed out because of interruptRead, and then restores the deadline.
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

// savePartialHead stores the received part of an incomplete head.
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

// transferWith passes the connection to the next process, with the received part of a request, and
// reports whether that process has accepted it.
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

// maxReceived is the largest received part of a request, in bytes, that is handed over.
const maxReceived = 3 << 20

// transferable reports whether all received bytes of a body are still buffered. If some were forwarded
// and discarded, the request can't be handed over; it is usually complete in time, and would be lost
// if its reading were interrupted.
func (c *clientConn) transferable() bool {
	if c.body == nil {
		return true
	}
	_, all := c.body.received()
	return all
}

// encodePartialRequest encodes the received part of a request in wire format. body is the received part of
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
		case "Content-Length", "Transfer-Encoding", "Expect": // Expect was answered when the reading of the body began
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

// transferRequest passes a request with a partly received body to the next process, if its reading
// was interrupted for that, and reports whether it was accepted. The caller then drops the request.
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

// AdoptClient takes over a client connection from another process, with the bytes received there.
// Unless AdoptClient returns an error, the connection belongs to this process.
func (s *Front) AdoptClient(received []byte, nc net.Conn) error {
	reserved := 0
	if len(received) > maxHead {
		// One more piece is reserved and released first: if received bytes took up all the memory, they
		// could not be read.
		reserved = len(received) + pieceSize
		if !s.memory.TryAcquire(reserved, budget.Large) {
			return errNoRoom
		}
	}
	c := s.conns.admit(nc)
	if c == nil {
		s.memory.Release(reserved, budget.Large)
		return errors.New("client connection limit reached")
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
