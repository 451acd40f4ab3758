package httpproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/sockets"
)

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	net.Conn
	reader    *bufio.Reader
	readLimit *io.LimitedReader // under reader: bounds one answer, head and body
	idleSince time.Duration

	lastRejected bool          // its last answer was that nothing ran
	restUntil    time.Duration // not before then, on the engine's clock, is it used where another can be had

	writtenAt  time.Time     // when the request's last byte was written
	answerTime time.Duration // from then until the answer's first byte; 0: there was none
	used       bool          // it has carried a request before the one that it carries now
	surplus    bool          // an answer came on it out of turn: while it was idle, or in the place of another
}

// newBackendConn reads a connection's answers from source, which is the connection itself where nothing was read of it
// before.
func newBackendConn(nc net.Conn, source io.Reader) *backendConn {
	c := &backendConn{Conn: nc, readLimit: &io.LimitedReader{R: source}}
	c.reader = bufio.NewReader(c.readLimit)
	return c
}

// reusable tells, without waiting, whether an idle connection can carry a request.
// A backend that died or closed has left an end or a reset to read; anything
// else unread belongs to no request, and an answer among it is noted as surplus. What came together with the answer before
// is no sign of that: it is always there before the connection is idle.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() == 0 && sockets.Idle(c.Conn) {
		return true
	}
	c.surplus = c.surplus || c.hasSurplus()
	return false
}

const (
	// answerStart is how every answer begins.
	answerStart = "HTTP/1."
	// timeoutNotice is how an answer begins that some servers send as they close an idle connection: it announces the end,
	// and is no answer too many.
	timeoutNotice = "HTTP/1.1 408"
)

// hasSurplus tells whether an answer that no request had asked for, or its beginning, is unread. Other bytes are none: a
// connection with them is closed as well, but nobody would take them for an answer.
func (c *backendConn) hasSurplus() bool {
	var buffer [len(timeoutNotice)]byte
	start := buffer[:sockets.Unread(c.Conn, buffer[:])]
	if buffered := c.reader.Buffered(); buffered > 0 {
		start, _ = c.reader.Peek(min(buffered, len(timeoutNotice)))
	}
	n := min(len(start), len(answerStart))
	return n > 0 && string(start[:n]) == answerStart[:n] && string(start) != timeoutNotice
}

// maxSingleWrite is how much is written together with its last byte: that much finds room in any connection's buffer. What
// is longer may wait there, and its last byte goes out only if it still may then.
const maxSingleWrite = 4 << 10

// roundTrip writes a request and reads its answer. Where the last byte is kept back for
// a moment, a break in that moment proves that nothing ran: a backend begins a request
// when its last byte has come. It speaks of the connection and not of the backend, which
// is why it is reported as one that was never sent: a backend that has died refuses the next.
func (c *backendConn) roundTrip(x *exchange, data []byte, report []string) Reply {
	until, hold := x.deadline, x.holdback
	_ = c.SetDeadline(until)
	begun := hold > 0 || len(data) > maxSingleWrite
	if begun {
		err := c.writeAhead(data[:len(data)-1], until)
		if err == nil && hold > 0 {
			err = c.awaitEarlyAnswer(time.Now().Add(hold), until)
		}
		if err != nil {
			return c.readUnaskedAnswer(x, report)
		}
		data = data[len(data)-1:]
	}
	if !x.permit.TryClaim() {
		if begun { // what has been written of it must not be completed by the next request
			return Reply{result: balancer.NotSent}
		}
		_ = c.SetDeadline(time.Time{})
		return Reply{result: balancer.NotSent, conn: c}
	}
	n, err := c.Write(data)
	if n < len(data) {
		return Reply{result: balancer.NotSent, brokeEarly: true}
	}
	if err != nil {
		return failedAfterWrite(err)
	}
	c.markWritten(x)
	return c.readAnswer(x, report)
}

// markWritten notes that a request's last byte is written.
func (c *backendConn) markWritten(x *exchange) {
	c.writtenAt, c.answerTime = time.Now(), 0
	if x.attempt != nil {
		x.attempt.MarkWritten()
	}
}

// readAnswer reads the answer to what has been written.
func (c *backendConn) readAnswer(x *exchange, report []string) Reply {
	resp, err := c.readOwnHead(x) //nolint:bodyclose // readBody reads it from the connection
	if err != nil {
		return failedAfterWrite(err)
	}
	return c.readRest(x, resp, report)
}

// readRest reads what follows the head of the answer to a request.
func (c *backendConn) readRest(x *exchange, resp *http.Response, report []string) Reply {
	r, err := c.readBody(resp, x)
	if err != nil {
		return failedAfterWrite(err)
	}
	r.status, r.header, r.load = resp.StatusCode, resp.Header, parseLoadReport(resp.Header, report)
	r.result = x.dialect.Judge(x.backend, x.message, resp)
	if r.stream != nil {
		if r.result == balancer.OK {
			r.conn = c
			return r
		}
		r.stream = nil // what else it says at length is of no use: the connection is closed
	} else if !resp.Close && c.reader.Buffered() == 0 {
		// The deadline was this exchange's. Left in place, it would end the next.
		_ = c.SetDeadline(time.Time{})
		r.conn = c
	}
	return r
}

// maxForeignAnswers is how many answers to other requests are read over in the place of one's own.
const maxForeignAnswers = 2

// readOwnHead reads up to the head of the answer to this request. A backend may give one answer too many; the next
// request on the connection finds it in the place of its own.
func (c *backendConn) readOwnHead(x *exchange) (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		resp, err := c.readHead(x.message.Method) //nolint:bodyclose // readBody reads it from the connection
		if err != nil || x.dialect.Matches == nil || x.dialect.Matches(x.message, resp) {
			return resp, err
		}
		c.surplus = true
		other, err := c.readBody(resp, x)
		if err != nil {
			return nil, err
		}
		streams := other.stream != nil
		other.release(x.memory)
		if streams || resp.Close {
			break
		}
	}
	return nil, errMalformedAnswer
}

var errMalformedAnswer = errors.New("the answer can't be used")

// readHead reads up to the head of the final answer. What can't be one is reported at
// once, not when the attempt's time is up: the connection stays open behind noise,
// and three gigabytes go on coming.
func (c *backendConn) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		c.readLimit.N = maxHead
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.answerTime = time.Since(c.writtenAt)
		first, _ := c.reader.Peek(min(len(answerStart), c.reader.Buffered()))
		if !strings.HasPrefix(answerStart, string(first)) {
			return nil, errMalformedAnswer
		}
		//nolint:bodyclose // readBody reads it from the connection, which carries more than this answer
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errMalformedAnswer // nobody asked for it
		}
		if resp.StatusCode < 200 {
			continue
		}
		c.readLimit.N = maxBufferedBody
		return resp, nil
	}
	return nil, errMalformedAnswer
}

// failedAfterWrite tells how an attempt ended that was written and not answered. It may have run.
func failedAfterWrite(err error) Reply {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return Reply{result: balancer.Timeout}
	}
	return Reply{result: balancer.Reset}
}
