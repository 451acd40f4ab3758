package httpproxy

import (
	"bufio"
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

// Giver gives a connection to another process, and tells whether that has taken it: from then on
// nothing may be read or written here. With a backend's connection it is a large answer on its way,
// and state is a relay's; without one (nil), state is what has come of a request.
type Giver func(state []byte, client, backend net.Conn) bool

// relay passes a large answer on in bytes of its own, so that it can stop between any two
// of them and go on in another process. It is used in place of net/http's writer where
// there may be one.
type relay struct {
	client  net.Conn
	backend *conn
	body    io.Reader // one of *sized, *chunkReader, *bufio.Reader
	chunked bool      // how the client is told where it ends, if not by length or close
	pending []byte    // for the client, as it stands on the wire
	total   int64
}

// relayState is a relay in words. Versions that don't know each other's turn it down.
type relayState struct {
	Version int `json:"Version"`
	Form string `json:"Form"` // of the body: sized, chunks, end
	Left int64 `json:"Left"`
	Chunk chunkState `json:"Chunk"`
	Line []byte `json:"Line"`
	Trailer int `json:"Trailer"`
	Chunked bool `json:"Chunked"`
	Pending []byte `json:"Pending"`
	Ahead []byte `json:"Ahead"` // read from the backend, and not decoded yet
	Total int64 `json:"Total"`
}

const relayVersion = 1

var errHandedOn = errors.New("it goes on in another process")

// pieceFrame is the room kept around a piece for a chunk's size and end.
const pieceFrame = 16

// run passes the answer on until its end, or until leave is closed and give has taken it.
func (r *relay) run(room *budget.Budget, leave <-chan struct{}, give func() Giver) error {
	size := smallBody
	if room.Take(pieceSize, budget.Small) {
		size = pieceSize
		defer room.Give(pieceSize, budget.Small)
	}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	defer func() { close(stop); <-stopped }()
	go func() {
		defer close(stopped)
		select {
		case <-leave: // whoever waits for a peer stops waiting, and looks
			r.client.SetWriteDeadline(time.Now())
			r.backend.SetReadDeadline(time.Now())
		case <-stop:
		}
	}()
	buf := make([]byte, 0, size+2*pieceFrame)
	refused := false
	// left tells whether it has been given away; a peer's time-out is one only if not leaving.
	left := func(err error) (bool, error) {
		select {
		case <-leave:
		default:
			return false, err
		}
		<-stopped // which has set times on connections that may be another's at once
		if !refused {
			state, jsonErr := json.Marshal(r.state())
			if g := give(); g != nil && jsonErr == nil && g(state, r.client, r.backend.Conn) {
				if c, ok := r.client.(*client); ok {
					c.given.Store(true) // ending it here would end it there
				}
				return true, errHandedOn
			}
			refused = true // it ends here, or with the process
			return false, nil
		}
		return false, err
	}
	for done := false; ; {
		for len(r.pending) > 0 {
			r.deadline(r.client.SetWriteDeadline, leave, refused)
			n, err := r.client.Write(r.pending)
			if r.pending = r.pending[n:]; err == nil {
				continue
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return errClient
			}
			if gone, err := left(errClient); gone || err != nil {
				return err
			}
		}
		if done {
			return nil
		}
		r.deadline(r.backend.SetReadDeadline, leave, refused)
		n, err := r.body.Read(buf[pieceFrame : pieceFrame+size])
		if r.total += int64(n); r.total > maxLength {
			return errBackend
		}
		r.pending = r.frame(buf, n, err == io.EOF)
		switch {
		case err == nil:
		case err == io.EOF:
			done = true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errBackend
		case n == 0:
			if gone, err := left(errBackend); gone || err != nil {
				return err
			}
		}
	}
}

// deadline gives a peer its time, unless all are to stop.
func (r *relay) deadline(set func(time.Time) error, leave <-chan struct{}, refused bool) {
	set(time.Now().Add(stall))
	select {
	case <-leave:
		if !refused {
			set(time.Now())
		}
	default:
	}
}

// frame makes of a piece what stands on the wire.
func (r *relay) frame(buf []byte, n int, last bool) []byte {
	if !r.chunked {
		return buf[pieceFrame : pieceFrame+n]
	}
	out := buf[pieceFrame : pieceFrame+n]
	if n > 0 {
		head := strconv.AppendInt(nil, int64(n), 16)
		head = append(head, "\r\n"...)
		from := pieceFrame - len(head)
		copy(buf[from:pieceFrame], head)
		out = append(buf[from:pieceFrame+n], "\r\n"...)
	}
	if last {
		out = append(out, "0\r\n\r\n"...)
	}
	return out
}

// state is all that another process needs. Of the backend's bytes those that wait in the
// buffer go along.
func (r *relay) state() relayState {
	s := relayState{Version: relayVersion, Chunked: r.chunked, Pending: r.pending, Total: r.total}
	s.Ahead, _ = r.backend.in.Peek(r.backend.in.Buffered())
	switch body := r.body.(type) {
	case *sized:
		s.Form, s.Left = "sized", body.left
	case *chunkReader:
		s.Form, s.Left, s.Chunk, s.Line, s.Trailer = "chunks", body.left, body.state, body.line, body.trailer
	default:
		s.Form = "end"
	}
	return s
}

// newRelay makes a relay of what another process gave.
func newRelay(state []byte, client, backend net.Conn) (*relay, error) {
	var s relayState
	if err := json.Unmarshal(state, &s); err != nil {
		return nil, fmt.Errorf("an answer on its way: %w", err)
	}
	if s.Version != relayVersion || s.Left < 0 || s.Chunk > chunkDone || s.Total < 0 {
		return nil, fmt.Errorf("an answer on its way: version %d is not known here", s.Version)
	}
	c := &conn{Conn: backend, limit: &io.LimitedReader{R: io.MultiReader(bytes.NewReader(s.Ahead), backend), N: math.MaxInt64}}
	c.in = bufio.NewReader(c.limit)
	r := &relay{client: client, backend: c, chunked: s.Chunked, pending: s.Pending, total: s.Total}
	switch s.Form {
	case "sized":
		r.body = &sized{c.in, s.Left}
	case "chunks":
		r.body = &chunkReader{in: c.in, state: s.Chunk, left: s.Left, line: s.Line, trailer: s.Trailer}
	case "end":
		r.body = c.in
	default:
		return nil, fmt.Errorf("an answer on its way: form %q is not known here", s.Form)
	}
	return r, nil
}

// hand passes a stream on over a connection taken from net/http. It ends with the answer.
func (s *Front) hand(w http.ResponseWriter, r *http.Request, d *download, header http.Header) error {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return errClient
	}
	nc, _, err := hijacker.Hijack()
	if err != nil {
		return errClient
	}
	defer nc.Close()
	nc.SetDeadline(time.Time{})
	relay := &relay{client: nc, backend: d.conn, body: d.body, chunked: d.length < 0 && r.ProtoAtLeast(1, 1)}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	header.Set("Connection", "close")
	switch {
	case d.length >= 0:
		header.Set("Content-Length", strconv.FormatInt(d.length, 10))
	case relay.chunked:
		header.Set("Transfer-Encoding", "chunked")
	}
	header.Write(&head)
	head.WriteString("\r\n")
	first := append(make([]byte, pieceFrame, len(d.first)+2*pieceFrame), d.first...)
	relay.pending = append(head.Bytes(), relay.frame(first, len(d.first), false)...)
	relay.total = int64(len(d.first))
	if err = relay.run(s.room, s.leaving, s.letGo); err != nil && err != errHandedOn && d.length < 0 && !relay.chunked {
		if c, ok := nc.(*client); ok {
			c.reset()
		}
	}
	return err
}

// Adopt goes on with an answer that another process of this proxy had begun. The
// connections are this process's from then on, unless it gives an error.
func (s *Front) Adopt(state []byte, nc, backend net.Conn) error {
	r, err := newRelay(state, nc, backend)
	if err != nil {
		return err
	}
	held := s.clients.adopt(nc)
	r.client = held
	go func() {
		defer backend.Close()
		defer held.Close()
		err := r.run(s.room, s.leaving, s.letGo)
		if err != nil && err != errHandedOn && !r.chunked {
			held.reset()
		}
	}()
	return nil
}

// LetGo lets go of large answers that are on their way, and of connections on which no request has
// come whole: each is given to another process that goes on with it, if it takes them. What it does
// not take goes on here.
func (s *Front) LetGo(give Giver) {
	s.giver.Store(&give)
	close(s.leaving)
	s.clients.leave(give)
}

func (s *Front) letGo() Giver {
	if g := s.giver.Load(); g != nil {
		return *g
	}
	return nil
}
