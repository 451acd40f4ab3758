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
	// earlyAnswerInterval is how often a blocked write checks for an early answer.
	earlyAnswerInterval = 50 * time.Millisecond
	// earlyHeadTimeout is how long the rest of an early answer's head may take after its first bytes.
	earlyHeadTimeout = time.Second
)

// writeAhead writes the part of a request with which it can't run yet, before the permit is claimed. A backend that answers early may
// never read the rest: errEarlyAnswer means that bytes have arrived from it and that the write is incomplete.
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

// errEarlyAnswer means that an answer arrived before its request was written completely.
var errEarlyAnswer = errors.New("an answer arrived before the request was complete")

// awaitEarlyAnswer waits until a given time for the connection to break, and returns the error. Bytes that arrive before
// the request is complete are reported as errEarlyAnswer: they may be a second answer to the previous request, and must
// not be taken for the answer to this one, or its client would get another client's answer.
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

// earlyRejection reports whether a complete rejection is buffered. Whichever request it belongs to, the current one has
// not run: the byte with which a backend may begin it has not been written.
func (c *backendConn) earlyRejection(x *exchange) bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	//nolint:bodyclose // its body is in memory
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(buffered)), nil)
	return err == nil && x.dialect.Judge(x.backend, x.message, resp) == balancer.Rejected
}

// readUnsolicitedAnswer reads an answer, if there is one, to a request of which too little has been written for it to run, and
// to which nothing is added, as the connection is closed. An answer that certainly belongs to the request shows that the backend has run it.
func (c *backendConn) readUnsolicitedAnswer(x *exchange, report []string) Reply {
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
		return Reply{result: balancer.Reset} // it may have been the answer to this request
	}
	if !x.dialect.Answers(x.message, resp) {
		c.surplus = c.surplus || surplus
		return unsent
	}
	if !x.permit.TryClaim() { // the answer is no longer needed
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
