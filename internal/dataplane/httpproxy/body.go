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
	// maxLength bounds a body in either direction. What says that it is longer, or turns
	// out to be, is no body of anybody's: three gigabytes of noise would be passed on.
	maxLength = 64 << 20
	// A client's body is owed its first bytes within bodyGrace of its head, and comes at
	// leastRate from there on: half of what the slowest clients manage.
	bodyGrace = 2400 * time.Millisecond
	leastRate = 32 << 10
	// roomWait is how long a request waits for room for its body before it is refused.
	roomWait = 250 * time.Millisecond
	// drainWait is how long a client that still writes may read an answer that came early.
	drainWait = 500 * time.Millisecond
)

var errTooLong = errors.New("the body is too long")

// paced reads a client's body and ends it where it comes too slowly.
type paced struct {
	in     io.Reader
	until  func(time.Time) error // sets the deadline of a read
	began  time.Time
	got    int64
	waited time.Duration // that it was not read, for want of room
	idle   time.Time     // since when it has not been read
}

func newPaced(r *http.Request, out *http.ResponseController) *paced {
	now := time.Now()
	return &paced{in: r.Body, until: out.SetReadDeadline, began: now, idle: now}
}

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	p.waited += time.Since(p.idle)
	p.until(p.began.Add(p.waited + bodyGrace + time.Duration(p.got)*time.Second/leastRate))
	n, err := p.in.Read(b)
	p.got += int64(n)
	p.idle = time.Now()
	return n, err
}

// readBody reads a request's body: whole where it is small, else so much of it that it can
// be sent on without waiting for its client, as far as there is room. The answer's status is
// 0 where that went well; it is the client's, or nobody's for now, where not, and then body or up
// have what came. held is what a
// whole body has taken of the room, to be given back when the request is over.
func (s *Front) readBody(r *http.Request, in *paced) (body []byte, held int, up *upload, a answer) {
	switch n := r.ContentLength; {
	case n == 0:
		return nil, 0, nil, answer{}
	case n > maxLength:
		return nil, 0, nil, badRequest(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", maxLength)
	case n > 0 && n <= maxBody:
		if held, err := s.hold(r.Context(), int(n)); err != nil {
			return nil, 0, nil, bodyTrouble(err)
		} else if body, err = readSmall(in, int(n)); err != nil {
			return body, held, nil, bodyTrouble(err)
		} else {
			return body, held, nil, answer{}
		}
	}
	up = newUpload(s.room, r.ContentLength)
	if c := clientOf(r); c != nil {
		c.body = up
	}
	wait, cancel := context.WithTimeout(r.Context(), roomWait)
	defer cancel()
	err := up.open(wait)
	if err == nil {
		err = up.fill(r.Context(), in, false)
	} else {
		err = errNoRoom
	}
	if body, small := up.small(); small && err == nil {
		up.release()
		held, err := s.hold(r.Context(), len(body))
		return body, held, nil, bodyTrouble(err)
	}
	if err != nil && err != errFlow {
		return nil, 0, up, bodyTrouble(err)
	}
	return nil, 0, up, answer{}
}

var errNoRoom = errors.New("there is no room for the body")

// hold takes room for a body that is held whole until its request is over; one that is as
// small as what every connection has needs none.
func (s *Front) hold(ctx context.Context, n int) (held int, err error) {
	if n <= smallBody {
		return 0, nil
	}
	wait, cancel := context.WithTimeout(ctx, roomWait)
	defer cancel()
	if s.room.Acquire(wait, n, budget.Small) != nil {
		return 0, errNoRoom
	}
	return n, nil
}

// readSmall reads a body that is held whole. A length alone takes no large buffer: what
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

// bodyTrouble words what went wrong with a body.
func bodyTrouble(err error) answer {
	var ne net.Error
	switch {
	case err == nil:
		return answer{}
	case errors.Is(err, errNoRoom):
		a := badRequest(http.StatusServiceUnavailable, "%v", err)
		return a
	case errors.Is(err, errLeaving):
		return badRequest(http.StatusServiceUnavailable, "%v", err)
	case errors.Is(err, errTooLong):
		return badRequest(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", maxLength)
	case errors.As(err, &ne) && ne.Timeout():
		return badRequest(http.StatusRequestTimeout, "the body comes too slowly")
	}
	return badRequest(http.StatusBadRequest, "the body ended early")
}
