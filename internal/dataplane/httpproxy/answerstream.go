package httpproxy

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"marlreel/internal/process/budget"
)

const (
	// bufferTimeout is how long an answer of unknown length may take to show that it is a
	// small one. Held longer, the first bytes of a large one would come too late.
	bufferTimeout = 100 * time.Millisecond
	// stallTimeout is how long a peer may make no progress on a stream, reading or writing.
	stallTimeout = 10 * time.Second
	// pieceSize is what a stream passes on at a time, at most.
	pieceSize = 32 << 10
	// pieceBudgetTimeout is how long a stream waits for room for that; after it, it makes do with
	// what every connection has.
	pieceBudgetTimeout = 20 * time.Millisecond
)

// answerStream is an answer of which more is to come than is held here. Its first bytes are
// here already.
type answerStream struct {
	conn     *backendConn
	first    []byte
	body     io.Reader
	length   int64 // of all of it; -1 is not known
	reusable bool  // the connection can be used again after the last byte

	// returnConn takes the connection back, on any goroutine; nil says that it is closed.
	returnConn func(*backendConn)
}

// readBody reads the answer's body: all of it where it is small, else its beginning. An
// error says that the answer can't be used.
func (c *backendConn) readBody(resp *http.Response, x *exchange) (r Reply, err error) {
	n := resp.ContentLength
	switch {
	case n == 0:
		return r, nil
	case n > maxBodyLength:
		return r, errMalformedAnswer
	case n > 0 && n <= maxBufferedBody && !x.message.Streaming && r.reserve(x.memory, int(n)):
		r.body = make([]byte, n)
		_, err = io.ReadFull(c.reader, r.body)
	case n > 0:
		// There is no sending it again once it has begun: so it begins with its first byte.
		c.readLimit.N = math.MaxInt64
		if _, err = c.reader.Peek(1); err == nil {
			r.stream = &answerStream{conn: c, body: &sizedReader{c.reader, n}, length: n, reusable: !resp.Close}
		}
	case len(resp.TransferEncoding) > 0:
		err = c.readUnsizedBody(&chunkReader{in: c.reader}, !resp.Close, x, &r)
	default: // its connection's end ends it, if that is a good one
		err = c.readUnsizedBody(c.reader, false, x, &r)
	}
	if err != nil {
		r.release(x.memory)
	}
	return r, err
}

// sizedReader reads a body of known length.
type sizedReader struct {
	in        io.Reader
	remaining int64
}

// Read implements io.Reader.
func (s *sizedReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	n, err := s.in.Read(p[:min(int64(len(p)), s.remaining)])
	if s.remaining -= int64(n); errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// reserve takes room for a body that is held whole; one that is as small as what every
// connection has needs none.
func (r *Reply) reserve(memory *budget.Budget, n int) bool {
	if n <= smallBody || memory == nil {
		return true
	}
	if !memory.Take(n, budget.Small) {
		return false
	}
	r.reserved = n
	return true
}

// readUnsizedBody reads a body that only its own end delimits.
func (c *backendConn) readUnsizedBody(in io.Reader, keep bool, x *exchange, r *Reply) error {
	most := smallBody
	if r.reserve(x.memory, maxBufferedBody) {
		most = maxBufferedBody
	}
	c.readLimit.N = math.MaxInt64
	body := make([]byte, 0, smallBody)
	while := time.Now().Add(bufferTimeout)
	if x.message.Streaming {
		while = time.Time{}
	}
	if !x.message.Streaming && (x.receiving || while.Before(x.deadline)) {
		_ = c.SetReadDeadline(while)
	}
	for len(body) <= most {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(4*cap(body), most+1)), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		var ne net.Error
		switch {
		case errors.Is(err, io.EOF):
			r.body = body
			return nil
		case errors.As(err, &ne) && ne.Timeout():
			if len(body) == 0 && time.Now().Before(x.deadline) {
				_ = c.SetReadDeadline(x.deadline)
				continue
			}
			if len(body) == 0 {
				return err
			}
		case err != nil:
			return err
		case time.Now().Before(while):
			continue
		}
		if len(body) > 0 {
			break
		}
	}
	r.stream = &answerStream{conn: c, first: body, body: in, length: -1, reusable: keep}
	return nil
}

// release gives back the room that a reply has taken, and ends its stream.
func (r *Reply) release(memory *budget.Budget) {
	if r.reserved > 0 {
		memory.Give(r.reserved, budget.Small)
		r.reserved = 0
	}
	if r.stream != nil {
		r.stream.finish(false)
		r.stream = nil
	}
}

// finish gives the connection back; whole says that all of the body has been read.
func (d *answerStream) finish(complete bool) {
	c := d.conn
	if complete && d.reusable && c.reader.Buffered() == 0 {
		_ = c.SetDeadline(time.Time{})
	} else {
		c.Close()
		c = nil
	}
	if d.returnConn != nil {
		d.returnConn(c)
	}
}

var (
	errClient  = errors.New("the client takes no more")
	errBackend = errors.New("the backend's answer broke off")
)

// forward sends what is left of the body on, as it comes: the slower side holds back the
// faster one, and no piece waits for the next.
func (d *answerStream) forward(ctx context.Context, w io.Writer, out *http.ResponseController, memory *budget.Budget) error {
	// A client that has left is not written to any more, and may take nothing for long.
	defer context.AfterFunc(ctx, func() { d.conn.Close() })()
	size := smallBody
	if memory != nil {
		wait, cancel := context.WithTimeout(ctx, pieceBudgetTimeout)
		if memory.Wait(wait, pieceSize, budget.Small) == nil {
			size = pieceSize
			defer memory.Give(pieceSize, budget.Small)
		}
		cancel()
	}
	piece := d.first
	buf := make([]byte, size)
	total := int64(0)
	for {
		if total += int64(len(piece)); total > maxBodyLength {
			return errBackend
		}
		if len(piece) > 0 {
			_ = out.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, err := w.Write(piece); err != nil {
				return errClient
			}
			if err := out.Flush(); err != nil {
				return errClient
			}
		}
		_ = d.conn.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := d.body.Read(buf)
		piece = buf[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return errBackend
		}
	}
}
