package httpproxy

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"marlreel/internal/process/budget"
)

// readBody reads the answer's body: a small one completely, a large one up to its first bytes, as a
// stream. An error means that the answer can't be used.
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
		// Once the answer has been started to the client, the request can't be retried: so its first byte is awaited.
		c.readLimit.N = math.MaxInt64
		if _, err = c.reader.Peek(1); err == nil {
			r.stream = &answerStream{conn: c, body: &sizedReader{c.reader, n}, length: n, reusable: !resp.Close}
		}
	case len(resp.TransferEncoding) > 0:
		err = c.readUnsizedBody(&chunkReader{in: c.reader}, !resp.Close, x, &r)
	default: // the body ends with the connection, if that is closed without a reset
		err = c.readUnsizedBody(c.closeDelimitedBody(x.message, resp), false, x, &r)
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

// reserve reserves memory for a body that is buffered, and reports whether it was available. A body
// of at most smallBody bytes needs no reservation.
func (r *Reply) reserve(memory *budget.Budget, n int) bool {
	if n <= smallBody || memory == nil {
		return true
	}
	if !memory.TryAcquire(n, budget.Small) {
		return false
	}
	r.reserved = n
	return true
}

// readUnsizedBody reads a body of unknown length. If it doesn't end soon, it becomes a stream.
func (c *backendConn) readUnsizedBody(in io.Reader, reusable bool, x *exchange, r *Reply) error {
	limit := smallBody
	if r.reserve(x.memory, maxBufferedBody) {
		limit = maxBufferedBody
	}
	c.readLimit.N = math.MaxInt64
	body := make([]byte, 0, smallBody)
	bufferUntil := time.Now().Add(bufferTimeout)
	if x.message.Streaming {
		bufferUntil = time.Time{}
	}
	if !x.message.Streaming && (x.receiving || bufferUntil.Before(x.deadline)) {
		_ = c.SetReadDeadline(bufferUntil)
	}
	for len(body) <= limit {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(4*cap(body), limit+1)), body...)
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
		case time.Now().Before(bufferUntil):
			continue
		}
		if len(body) > 0 {
			break
		}
	}
	r.stream = &answerStream{conn: c, first: body, body: in, length: -1, reusable: reusable}
	return nil
}
