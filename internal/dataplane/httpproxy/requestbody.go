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
	// maxBodyLength bounds a body in either direction. What says that it is longer, or turns
	// out to be, is no body of anybody's: three gigabytes of noise would be passed on.
	maxBodyLength = 64 << 20
	// A client's body is owed its first bytes within bodyGrace of its head, and comes at
	// leastRate from there on: half of what the slowest clients manage.
	bodyGrace   = 2400 * time.Millisecond
	minBodyRate = 32 << 10
	// budgetTimeout is how long a request waits for memory for its body before it is rejected.
	budgetTimeout = 250 * time.Millisecond
	// earlyAnswerDrain is how long a client that still writes may read an answer that came early.
	earlyAnswerDrain = 500 * time.Millisecond
)

var errTooLong = errors.New("the body is too long")

// pacedReader reads a client's body and ends it where it comes too slowly.
type pacedReader struct {
	in           io.Reader
	setDeadline  func(time.Time) error // sets the deadline of a read
	began        time.Time
	received     int64
	waited       time.Duration // that it was not read, for want of memory
	notReadSince time.Time     // since when it has not been read
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

// readBody reads a request's body: all of it where it is small, else so much of it that it can
// be forwarded without waiting for its client, as far as there is memory. The answer's status is
// 0 where that went well; it is the client's, or nobody's for now, where not, and then body or up
// have what came. held is what a
// whole body has reserved, to be given back when the request is over.
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

// reserve reserves memory for a body that is buffered until its request is over; one that is as
// small as what every connection has needs none.
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

// readSmall reads a body that is buffered. A length alone takes no large buffer: what
// follows it may never come.
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

// bodyError words what went wrong with a body.
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
