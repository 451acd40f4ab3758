package httpproxy

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/sockets"
)

const (
	// earlyAnswerInterval is how often a write that a backend holds up looks for an answer.
	earlyAnswerInterval = 50 * time.Millisecond
	// earlyHeadTimeout is how long the head of an answer may take that has begun to come.
	earlyHeadTimeout = time.Second
)

// writeAhead writes what may go out of a request before its permit is claimed. A backend that answers before it has read
// all may never read on: errEarlyAnswer is that something has come meanwhile, and that not all is written.
func (c *backendConn) writeAhead(data []byte, until time.Time) error {
	defer func() { _ = c.SetWriteDeadline(until) }()
	for {
		pause := time.Now().Add(earlyAnswerInterval)
		if pause.After(until) {
			pause = until
		}
		_ = c.SetWriteDeadline(pause)
		n, err := c.Write(data)
		data = data[n:]
		var failure net.Error
		switch {
		case len(data) == 0:
			return nil
		case !errors.As(err, &failure) || !failure.Timeout() || !time.Now().Before(until):
			return err
		case !sockets.Idle(c.Conn):
			return errEarlyAnswer
		}
	}
}

// errEarlyAnswer is an answer that came before its request was complete.
var errEarlyAnswer = errors.New("an answer came before its request")

// awaitEarlyAnswer waits until a time for the connection's end, and gives it as an error. What comes before the
// request is complete is no answer to it, but may be the second one to the request before; read as this one's, its
// client would get another's.
func (c *backendConn) awaitEarlyAnswer(until, deadline time.Time) error {
	if until.After(deadline) {
		return nil
	}
	_ = c.SetReadDeadline(until)
	defer func() { _ = c.SetReadDeadline(deadline) }()
	c.readLimit.N = maxHead
	_, err := c.reader.Peek(1)
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return nil
	}
	if err == nil {
		return errEarlyAnswer
	}
	return err
}

// earlyRejection tells whether what has come early says completely that nothing runs: of whatever request it speaks, this
// one has not.
func (c *backendConn) earlyRejection(x *exchange) bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	//nolint:bodyclose // its body is in memory
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(buffered)), nil)
	return err == nil && x.dialect.Judge(x.backend, x.message, resp) == balancer.Rejected
}

// readUnaskedAnswer reads what a backend has said, if anything, of a request whose last byte isn't written, and never
// will be: the connection ends. An answer that is the request's for certain says that it has run.
func (c *backendConn) readUnaskedAnswer(x *exchange, report []string) Reply {
	unsent := Reply{result: balancer.NotSent, brokeEarly: true}
	c.readLimit.N = maxHead
	if _, err := c.reader.Peek(1); err != nil {
		return unsent
	}
	if c.earlyRejection(x) {
		return Reply{result: balancer.Rejected}
	}
	surplus := c.used && c.hasSurplus()
	if x.dialect.Answers == nil {
		c.surplus = c.surplus || surplus
		return unsent
	}
	_ = c.SetReadDeadline(time.Now().Add(min(earlyHeadTimeout, time.Until(x.deadline))))
	resp, err := c.readHead(x.message.Method) //nolint:bodyclose // readRest reads it from the connection
	if err != nil {
		return Reply{result: balancer.Reset} // it may have been this request's
	}
	if !x.dialect.Answers(x.message, resp) {
		c.surplus = c.surplus || surplus
		return unsent
	}
	if !x.permit.TryClaim() { // nobody waits for it any more
		return Reply{result: balancer.Reset}
	}
	_ = c.SetReadDeadline(x.deadline)
	c.markWritten(x)
	r := c.readRest(x, resp, report)
	if r.stream != nil {
		r.stream.reusable = false
	} else {
		r.conn = nil
	}
	return r
}
