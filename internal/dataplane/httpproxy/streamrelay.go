package httpproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"marlreel/internal/process/budget"
)

// TransferFunc gives a connection to another process, and tells whether that has taken it: from then on
// nothing may be read or written here. With a backend's connection it is a large answer on its way,
// and state is a relay's; without one (nil), state is what has come of a request.
type TransferFunc func(state []byte, client, backend net.Conn) bool

// streamRelay passes a large answer on in bytes of its own, so that it can stop between any two
// of them and go on in another process. It is used in place of net/http's writer where
// there may be one.
type streamRelay struct {
	client  net.Conn
	backend *backendConn
	body    io.Reader // one of *sizedReader, *chunkReader, *bufio.Reader
	chunked bool      // how the client learns where it ends, if not by length or close
	pending []byte    // for the client, as it stands on the wire
	passed  int64     // bytes of the body so far
	done    bool      // the body has been read to its end
}

// streamRelayState is a relay as another process gets it, in JSON. A version that doesn't know it rejects it.
type streamRelayState struct {
	Version      int        `json:"Version"`
	Form         string     `json:"Form"` // of the body: sized, chunks, end
	Remaining    int64      `json:"Left"`
	ChunkState   chunkState `json:"Chunk"`
	PartialLine  []byte     `json:"Line"`
	TrailerBytes int        `json:"Trailer"`
	Chunked      bool       `json:"Chunked"`
	Pending      []byte     `json:"Pending"`
	Undecoded    []byte     `json:"Ahead"` // read from the backend, and not decoded yet
	Passed       int64      `json:"Total"`
	// Done says that the body has been read to its end, and its end is in Pending. A version that doesn't know it reads on,
	// and ends the body a second time.
	Done bool `json:"Done,omitempty"`
}

const streamRelayVersion = 1

var errHandedOver = errors.New("it goes on in another process")

// pieceOverhead is the room kept around a piece for a chunk's size and end.
const pieceOverhead = 16

// run passes the answer on until its end, or until a handover has started and another process has taken it, which is
// errHandedOver.
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

// writePending writes to the client what was read for it.
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

// readPiece reads what comes next of the body.
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
	interrupted chan struct{} // closed when interrupt sets no deadline any more
	rejected    bool          // the other process has not taken it: it ends here, or with the process
}

// interrupt makes whoever waits for a peer time out once a handover has started.
func (h *relayHandover) interrupt(stop <-chan struct{}) {
	defer close(h.interrupted)
	select {
	case <-h.started:
		_ = h.relay.client.SetWriteDeadline(time.Now())
		_ = h.relay.backend.SetReadDeadline(time.Now())
	case <-stop:
	}
}

// setDeadline gives a peer its time, unless the relay is to be handed over.
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

// onTimeout hands the relay over after a timeout that was for that, and gives errHandedOver where it was taken, nil
// where it goes on here. Any other timeout is a peer's: it gives stalled.
func (h *relayHandover) onTimeout(stalled error) error {
	select {
	case <-h.started:
	default:
		return stalled
	}
	<-h.interrupted // it has set deadlines on connections that may be another process's at once
	if h.rejected {
		return stalled
	}
	r := h.relay
	state, err := json.Marshal(r.state())
	if transfer := h.transfer(); transfer != nil && err == nil && transfer(state, r.client, r.backend.Conn) {
		if c, ok := r.client.(*clientConn); ok {
			c.transferred.Store(true) // ending it here would end it there
		}
		return errHandedOver
	}
	h.rejected = true
	return nil
}

// encodePiece makes of a piece what stands on the wire.
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

// state is all that another process needs. Of the backend's bytes those that wait in the
// buffer go along.
func (r *streamRelay) state() streamRelayState {
	s := streamRelayState{Version: streamRelayVersion, Chunked: r.chunked, Pending: r.pending, Passed: r.passed, Done: r.done}
	s.Undecoded, _ = r.backend.reader.Peek(r.backend.reader.Buffered())
	switch body := r.body.(type) {
	case *sizedReader:
		s.Form, s.Remaining = "sized", body.remaining
	case *chunkReader:
		s.Form, s.Remaining, s.ChunkState, s.PartialLine, s.TrailerBytes = "chunks", body.remaining, body.state, body.line, body.trailer
	default:
		s.Form = "end"
	}
	return s
}

// decodeRelay makes a relay of what another process gave.
func decodeRelay(state []byte, client, backend net.Conn) (*streamRelay, error) {
	var s streamRelayState
	if err := json.Unmarshal(state, &s); err != nil {
		return nil, fmt.Errorf("an answer on its way: %w", err)
	}
	if s.Version != streamRelayVersion || s.Remaining < 0 || s.ChunkState > chunkDone || s.Passed < 0 {
		return nil, fmt.Errorf("an answer on its way: version %d is not known here", s.Version)
	}
	c := newBackendConn(backend, io.MultiReader(bytes.NewReader(s.Undecoded), backend))
	c.readLimit.N = math.MaxInt64
	r := &streamRelay{client: client, backend: c, chunked: s.Chunked, pending: s.Pending, passed: s.Passed, done: s.Done}
	switch s.Form {
	case "sized":
		r.body = &sizedReader{c.reader, s.Remaining}
	case "chunks":
		r.body = &chunkReader{in: c.reader, state: s.ChunkState, remaining: s.Remaining, line: s.PartialLine, trailer: s.TrailerBytes}
	case "end":
		r.body = c.reader
	default:
		return nil, fmt.Errorf("an answer on its way: form %q is not known here", s.Form)
	}
	return r, nil
}

// handStream passes a stream on over a connection taken from net/http. It ends with the answer.
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
	_ = header.Write(&head) // a Buffer takes everything
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

// AdoptStream goes on with an answer that another process of this proxy had begun. The
// connections are this process's from then on, unless it gives an error.
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

// HandOver lets go of large answers that are on their way, and of connections on which no complete request has
// come: each is given to another process that goes on with it, if it takes them. What it does
// not take goes on here.
func (s *Front) HandOver(transfer TransferFunc) {
	s.transfer.Store(&transfer)
	close(s.handoverStarted)
	s.conns.handOver(transfer)
}

// currentTransfer is what HandOver was given; nil before it.
func (s *Front) currentTransfer() TransferFunc {
	if transfer := s.transfer.Load(); transfer != nil {
		return *transfer
	}
	return nil
}
