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
	// wholeWithin is how long an answer of unknown length may take to show that it is a
	// small one. Held longer, the first bytes of a large one would come too late.
	wholeWithin = 100 * time.Millisecond
	// stall is how long a peer may make no progress on a stream, reading or writing.
	stall = 10 * time.Second
	// pieceSize is what a stream passes on at a time, at most.
	pieceSize = 32 << 10
	// pieceWait is how long a stream waits for room for that; after it, it makes do with
	// what every connection has.
	pieceWait = 20 * time.Millisecond
)

// download is an answer of which more is to come than is held here. Its first bytes are
// here already.
type download struct {
	conn   *conn
	first  []byte
	body   io.Reader
	length int64 // of all of it; -1 is not known
	keep   bool  // the connection can be used again after the last byte

	// done takes the connection back, on any goroutine; nil says that it is closed.
	done func(*conn)
}

// receive reads the answer's body: all of it where it is small, else its beginning. An
// error says that the answer can't be used.
func (c *conn) receive(resp *http.Response, x *exchange) (r Reply, err error) {
	n := resp.ContentLength
	switch {
	case n == 0:
		return r, nil
	case n > maxLength:
		return r, errSpoilt
	case n > 0 && n <= maxBody && !x.msg.Prompt && r.take(x.room, int(n)):
		r.body = make([]byte, n)
		_, err = io.ReadFull(c.in, r.body)
	case n > 0:
		// There is no sending it again once it has begun: so it begins with its first byte.
		c.limit.N = math.MaxInt64
		if _, err = c.in.Peek(1); err == nil {
			r.stream = &download{conn: c, body: &sized{c.in, n}, length: n, keep: !resp.Close}
		}
	case len(resp.TransferEncoding) > 0:
		err = c.receiveUnknown(&chunkReader{in: c.in}, !resp.Close, x, &r)
	default: // its connection's end ends it, if that is a good one
		err = c.receiveUnknown(c.in, false, x, &r)
	}
	if err != nil {
		r.release(x.room)
	}
	return r, err
}

// sized reads a body of known length.
type sized struct {
	in   io.Reader
	left int64
}

// Read implements io.Reader.
func (s *sized) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.in.Read(p[:min(int64(len(p)), s.left)])
	if s.left -= int64(n); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// take takes room for a body that is held whole; one that is as small as what every
// connection has needs none.
func (r *Reply) take(room *budget.Budget, n int) bool {
	if n <= smallBody || room == nil {
		return true
	}
	if !room.TryAcquire(n, budget.Small) {
		return false
	}
	r.held = n
	return true
}

// receiveUnknown reads a body that only its own end delimits.
func (c *conn) receiveUnknown(in io.Reader, keep bool, x *exchange, r *Reply) error {
	most := smallBody
	if r.take(x.room, maxBody) {
		most = maxBody
	}
	c.limit.N = math.MaxInt64
	body := make([]byte, 0, smallBody)
	while := time.Now().Add(wholeWithin)
	if x.msg.Prompt {
		while = time.Time{}
	}
	if !x.msg.Prompt && (x.coming || while.Before(x.until)) {
		c.SetReadDeadline(while)
	}
	for len(body) <= most {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(4*cap(body), most+1)), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		var ne net.Error
		switch {
		case err == io.EOF:
			r.body = body
			return nil
		case errors.As(err, &ne) && ne.Timeout():
			if len(body) == 0 && time.Now().Before(x.until) {
				c.SetReadDeadline(x.until)
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
	r.stream = &download{conn: c, first: body, body: in, length: -1, keep: keep}
	return nil
}

// release gives back the room that a reply has taken, and ends its stream.
func (r *Reply) release(room *budget.Budget) {
	if r.held > 0 {
		room.Release(r.held, budget.Small)
		r.held = 0
	}
	if r.stream != nil {
		r.stream.end(false)
		r.stream = nil
	}
}

// end gives the connection back; whole says that all of the body has been read.
func (d *download) end(whole bool) {
	c := d.conn
	if whole && d.keep && c.in.Buffered() == 0 {
		c.SetDeadline(time.Time{})
	} else {
		c.Close()
		c = nil
	}
	if d.done != nil {
		d.done(c)
	}
}

var (
	errClient  = errors.New("the client takes no more")
	errBackend = errors.New("the backend's answer broke off")
)

// pass sends what is left of the body on, as it comes: the slower side holds back the
// faster one, and no piece waits for the next.
func (d *download) pass(ctx context.Context, w io.Writer, out *http.ResponseController, room *budget.Budget) error {
	// A client that has left is not written to any more, and may take nothing for long.
	defer context.AfterFunc(ctx, func() { d.conn.Close() })()
	size := smallBody
	if room != nil {
		wait, cancel := context.WithTimeout(ctx, pieceWait)
		if room.Acquire(wait, pieceSize, budget.Small) == nil {
			size = pieceSize
			defer room.Release(pieceSize, budget.Small)
		}
		cancel()
	}
	piece := d.first
	buf := make([]byte, size)
	total := int64(0)
	for {
		if total += int64(len(piece)); total > maxLength {
			return errBackend
		}
		if len(piece) > 0 {
			out.SetWriteDeadline(time.Now().Add(stall))
			if _, err := w.Write(piece); err != nil {
				return errClient
			}
			if err := out.Flush(); err != nil {
				return errClient
			}
		}
		d.conn.SetReadDeadline(time.Now().Add(stall))
		n, err := d.body.Read(buf)
		piece = buf[:n]
		if err == io.EOF && n == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return errBackend
		}
	}
}
