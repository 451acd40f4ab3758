package httpproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"marlreel/internal/process/budget"
)

const (
	// maxBodyLength limits a body in either direction. A body that is announced as longer, or turns
	// out to be, is certainly invalid: without a limit, three gigabytes of noise would be forwarded.
	maxBodyLength = 64 << 20
	// The first bytes of a client's body must arrive within bodyGrace of its head, and the rest
	// at no less than minBodyRate, which is half the rate of the slowest clients.
	bodyGrace   = 2400 * time.Millisecond
	minBodyRate = 32 << 10
	// budgetTimeout is how long a request waits for memory for its body before it is rejected.
	budgetTimeout = 250 * time.Millisecond
	// earlyAnswerDrain is how long a client that is still writing its body may take to read an early answer.
	earlyAnswerDrain = 500 * time.Millisecond
)

var errTooLong = errors.New("the body is too long")

// pacedReader reads a client's body with deadlines that fail the read if the body arrives too slowly.
type pacedReader struct {
	in           io.Reader
	setDeadline  func(time.Time) error // sets the read deadline
	began        time.Time
	received     int64
	waited       time.Duration // time between reads, while the proxy waited for memory; not held against the client
	notReadSince time.Time     // end of the last read
}

func newPacedReader(r *http.Request, out *http.ResponseController) *pacedReader {
	now := time.Now()
	return &pacedReader{in: r.Body, setDeadline: out.SetReadDeadline, began: now, notReadSince: now}
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	p.waited += time.Since(p.notReadSince)
	_ = p.setDeadline(p.began.Add(p.waited + bodyGrace + time.Duration(p.received)*time.Second/minBodyRate))
	n, err := p.in.Read(b)
	p.received += int64(n)
	p.notReadSince = time.Now()
	return n, err
}

// readBody reads a request's body: a small one completely, a larger one as far as there is memory,
// so that it can be forwarded without waiting for its client. If that succeeds, the answer's status
// is 0; otherwise the answer is the error for the client, and body or up contain what was received.
// reserved is the memory reserved for a buffered body, to be released at the end of the request.
func (s *Front) readBody(r *http.Request, in *pacedReader) (body []byte, reserved int, up *upload, a answer) {
	switch n := r.ContentLength; {
	case n == 0:
		return nil, 0, nil, answer{}
	case n > maxBodyLength:
		return nil, 0, nil, badRequest(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", maxBodyLength)
	case n > 0 && n <= maxBufferedBody:
		if reserved, err := s.reserve(r.Context(), int(n)); err != nil {
			return nil, 0, nil, bodyError(err)
		} else if body, err = readSmall(in, int(n)); err != nil {
			return body, reserved, nil, bodyError(err)
		} else {
			return body, reserved, nil, answer{}
		}
	}
	up = newUpload(s.memory, r.ContentLength)
	if c := clientOf(r); c != nil {
		c.body = up
	}
	wait, cancel := context.WithTimeout(r.Context(), budgetTimeout)
	defer cancel()
	err := up.open(wait)
	if err == nil {
		err = up.fill(r.Context(), in, false)
	} else {
		err = errNoRoom
	}
	if body, small := up.inOnePiece(); small && err == nil {
		up.release()
		reserved, err := s.reserve(r.Context(), len(body))
		return body, reserved, nil, bodyError(err)
	}
	if err != nil && !errors.Is(err, errBufferFull) {
		return nil, 0, up, bodyError(err)
	}
	return nil, 0, up, answer{}
}

var errNoRoom = errors.New("there is no room for the body")

// reserve reserves memory for a body that is buffered until the end of its request. A body of at most
// smallBody bytes needs no reservation.
func (s *Front) reserve(ctx context.Context, n int) (reserved int, err error) {
	if n <= smallBody {
		return 0, nil
	}
	wait, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	if s.memory.Acquire(wait, n, budget.Small) != nil {
		return 0, errNoRoom
	}
	return n, nil
}

// readSmall reads a body that is buffered. The buffer grows with the received bytes: a client may
// announce a length and never send the body.
func readSmall(in io.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, smallBody))
	got, err := io.ReadFull(in, body)
	for err == nil && got < n {
		body = append(make([]byte, 0, min(4*len(body), n)), body...)
		var more int
		more, err = io.ReadFull(in, body[got:cap(body)])
		got += more
		body = body[:got]
	}
	return body[:got], err
}

// bodyError returns the answer to a client whose body could not be read.
func bodyError(err error) answer {
	var ne net.Error
	switch {
	case err == nil:
		return answer{}
	case errors.Is(err, errNoRoom):
		a := badRequest(http.StatusServiceUnavailable, "%v", err)
		return a
	case errors.Is(err, errHandoverPending):
		return badRequest(http.StatusServiceUnavailable, "%v", err)
	case errors.Is(err, errTooLong):
		return badRequest(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", maxBodyLength)
	case errors.As(err, &ne) && ne.Timeout():
		return badRequest(http.StatusRequestTimeout, "the body comes too slowly")
	}
	return badRequest(http.StatusBadRequest, "the body ended early")
}
