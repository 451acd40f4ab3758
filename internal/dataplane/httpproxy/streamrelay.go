package httpproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"marlreel/internal/process/budget"
)

// TransferFunc passes a connection to another process, and reports whether that process has accepted it;
// nothing may be read or written here after that. With a backend connection it passes a large answer that
// is being relayed, and state is the relay's; without one (nil), state is the received part of a request.
type TransferFunc func(state []byte, client, backend net.Conn) bool

// streamRelay forwards a large answer and encodes it itself, so that it can stop after any byte and
// continue in another process. It replaces net/http's response writer if handover is
// enabled.
type streamRelay struct {
	client  net.Conn
	backend *backendConn
	body    io.Reader // one of *sizedReader, *chunkReader, *eventBodyReader, *bufio.Reader
	chunked bool      // the answer to the client is chunked; else it ends by length or by close
	pending []byte    // encoded bytes that have not been written to the client
	passed  int64     // bytes of the body read so far
	done    bool      // the body has been read to its end
}

var errHandedOver = errors.New("the answer was handed over to another process")

// pieceOverhead is the room in bytes before and after a piece for the chunk's size and end.
const pieceOverhead = 16

// run forwards the answer until its end. If another process takes it over during a handover, run returns errHandedOver.
func (r *streamRelay) run(memory *budget.Budget, handoverStarted <-chan struct{}, transfer func() TransferFunc) error {
	size := smallBody
	if memory.TryAcquire(pieceSize, budget.Small) {
		size = pieceSize
		defer memory.Release(pieceSize, budget.Small)
	}
	h := &relayHandover{relay: r, started: handoverStarted, transfer: transfer, interrupted: make(chan struct{})}
	stop := make(chan struct{})
	defer func() { close(stop); <-h.interrupted }()
	go h.interrupt(stop)
	buf := make([]byte, 0, size+2*pieceOverhead)
	for {
		if err := r.writePending(h); err != nil {
			return err
		}
		if r.done {
			return nil
		}
		if err := r.readPiece(buf, size, h); err != nil {
			return err
		}
	}
}

// writePending writes the pending bytes to the client.
func (r *streamRelay) writePending(h *relayHandover) error {
	for len(r.pending) > 0 {
		h.setDeadline(r.client.SetWriteDeadline)
		n, err := r.client.Write(r.pending)
		r.pending = r.pending[n:]
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return errClient
		}
		if err := h.onTimeout(errClient); err != nil {
			return err
		}
	}
	return nil
}

// readPiece reads the next piece of the body and encodes it for the client.
func (r *streamRelay) readPiece(buf []byte, size int, h *relayHandover) error {
	h.setDeadline(r.backend.SetReadDeadline)
	n, err := r.body.Read(buf[pieceOverhead : pieceOverhead+size])
	r.passed += int64(n)
	if r.passed > maxBodyLength {
		return errBackend
	}
	r.done = errors.Is(err, io.EOF)
	r.pending = r.encodePiece(buf, n, r.done)
	switch {
	case err == nil, r.done:
		return nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return errBackend
	case n == 0:
		return h.onTimeout(errBackend)
	}
	return nil
}

// relayHandover is the handover of one relay to another process.
type relayHandover struct {
	relay       *streamRelay
	started     <-chan struct{}
	transfer    func() TransferFunc
	interrupted chan struct{} // closed when interrupt has returned and sets no more deadlines
	rejected    bool          // the other process has not accepted it: the relay goes on here
}

// interrupt makes the relay's blocked read or write time out once a handover has started.
func (h *relayHandover) interrupt(stop <-chan struct{}) {
	defer close(h.interrupted)
	select {
	case <-h.started:
		_ = h.relay.client.SetWriteDeadline(time.Now())
		_ = h.relay.backend.SetReadDeadline(time.Now())
	case <-stop:
	}
}

// setDeadline sets the deadline for a peer to stallTimeout, or to now if the relay is to be handed over.
func (h *relayHandover) setDeadline(set func(time.Time) error) {
	_ = set(time.Now().Add(stallTimeout))
	select {
	case <-h.started:
		if !h.rejected {
			_ = set(time.Now())
		}
	default:
	}
}

// onTimeout handles a timeout. If it was caused by a handover, the relay is handed over: onTimeout returns errHandedOver if
// the other process accepted it, and nil if the relay goes on here. Otherwise a peer has stalled, and it returns stalled.
func (h *relayHandover) onTimeout(stalled error) error {
	select {
	case <-h.started:
	default:
		return stalled
	}
	<-h.interrupted // no deadline may be set on the connections once they belong to another process
	if h.rejected {
		return stalled
	}
	r := h.relay
	state, err := json.Marshal(r.state())
	if transfer := h.transfer(); transfer != nil && err == nil && transfer(state, r.client, r.backend.Conn) {
		if c, ok := r.client.(*clientConn); ok {
			c.transferred.Store(true) // shutting it down here would shut it down there too
		}
		return errHandedOver
	}
	h.rejected = true
	return nil
}

// encodePiece encodes a piece for the client, as a chunk if the answer is chunked.
func (r *streamRelay) encodePiece(buf []byte, n int, last bool) []byte {
	if !r.chunked {
		return buf[pieceOverhead : pieceOverhead+n]
	}
	out := buf[pieceOverhead : pieceOverhead+n]
	if n > 0 {
		head := strconv.AppendInt(nil, int64(n), 16)
		head = append(head, "\r\n"...)
		from := pieceOverhead - len(head)
		copy(buf[from:pieceOverhead], head)
		out = append(buf[from:pieceOverhead+n], "\r\n"...)
	}
	if last {
		out = append(out, "0\r\n\r\n"...)
	}
	return out
}

// handStream forwards a stream over a connection hijacked from net/http, which is closed after the answer.
func (s *Front) handStream(w http.ResponseWriter, r *http.Request, d *answerStream, header http.Header) error {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return errClient
	}
	nc, _, err := hijacker.Hijack()
	if err != nil {
		return errClient
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Time{})
	relay := &streamRelay{client: nc, backend: d.conn, body: d.body, chunked: d.length < 0 && r.ProtoAtLeast(1, 1)}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	header.Set("Connection", "close")
	switch {
	case d.length >= 0:
		header.Set("Content-Length", strconv.FormatInt(d.length, 10))
	case relay.chunked:
		header.Set("Transfer-Encoding", "chunked")
	}
	_ = header.Write(&head) // a bytes.Buffer never fails
	head.WriteString("\r\n")
	first := append(make([]byte, pieceOverhead, len(d.first)+2*pieceOverhead), d.first...)
	relay.pending = append(head.Bytes(), relay.encodePiece(first, len(d.first), false)...)
	relay.passed = int64(len(d.first))
	err = relay.run(s.memory, s.handoverStarted, s.currentTransfer)
	endsByClose := d.length < 0 && !relay.chunked
	if err != nil && !errors.Is(err, errHandedOver) && endsByClose {
		if c, ok := nc.(*clientConn); ok {
			c.markReset()
		}
	}
	return err
}

// AdoptStream continues an answer that another process of this proxy has started. Unless AdoptStream
// returns an error, the connections belong to this process.
func (s *Front) AdoptStream(state []byte, nc, backend net.Conn) error {
	r, err := decodeRelay(state, nc, backend)
	if err != nil {
		return err
	}
	client := s.conns.adopt(nc)
	r.client = client
	go func() {
		defer backend.Close()
		defer client.Close()
		err := r.run(s.memory, s.handoverStarted, s.currentTransfer)
		if err != nil && !errors.Is(err, errHandedOver) && !r.chunked {
			client.markReset()
		}
	}()
	return nil
}

// HandOver passes large answers that are being forwarded, and connections without a complete request, to
// another process that continues them. What that process doesn't accept goes on here. HandOver may be
// called only once.
func (s *Front) HandOver(transfer TransferFunc) {
	s.transfer.Store(&transfer)
	close(s.handoverStarted)
	s.conns.handOver(transfer)
}

// currentTransfer returns the function passed to HandOver; nil before that call.
func (s *Front) currentTransfer() TransferFunc {
	if transfer := s.transfer.Load(); transfer != nil {
		return *transfer
	}
	return nil
}
