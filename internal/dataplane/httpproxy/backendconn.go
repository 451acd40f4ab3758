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
	readLimit *io.LimitedReader // below reader: limits the size of one answer, head and body
	idleSince time.Duration

	lastRejected bool          // its last answer was a rejection
	restUntil    time.Duration // on the engine's clock; before it, the connection is used only if there is no other

	writtenAt  time.Time     // when so much of the request was written that it may run
	answerTime time.Duration // from then until the answer's first byte; 0: there was none
	used       bool          // it has carried a request before the current one
	surplus    bool          // a surplus answer came: while it was idle, or in the place of another answer
}

// newBackendConn returns a connection whose answers are read from source: the connection itself, or preceded by bytes that
// another process has read from it.
func newBackendConn(nc net.Conn, source io.Reader) *backendConn {
	c := &backendConn{Conn: nc, readLimit: &io.LimitedReader{R: source}}
	c.reader = bufio.NewReader(c.readLimit)
	return c
}

// reusable reports, without blocking, whether an idle connection can carry a request. If the backend has crashed or closed
// the connection, an EOF or a reset is readable; any other unread bytes belong to no request, and an answer among them is
// recorded as surplus. Bytes that came together with the previous answer never count as such: with them the connection
// doesn't become idle.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() == 0 && sockets.Idle(c.Conn) {
		return true
	}
	c.surplus = c.surplus || c.hasSurplus()
	return false
}

const (
	// answerStart is the beginning of every answer.
	answerStart = "HTTP/1."
	// timeoutNotice is the beginning of an answer that some servers send when they close an idle connection. It announces
	// the close and is not a surplus answer.
	timeoutNotice = "HTTP/1.1 408"
)

// hasSurplus reports whether the unread bytes are, or begin, an answer that no request asked for. Other bytes don't count:
// the connection is closed as well, but they could not be mistaken for an answer.
func (c *backendConn) hasSurplus() bool {
	var buffer [len(timeoutNotice)]byte
	start := buffer[:sockets.Unread(c.Conn, buffer[:])]
	if buffered := c.reader.Buffered(); buffered > 0 {
		start, _ = c.reader.Peek(min(buffered, len(timeoutNotice)))
	}
	n := min(len(start), len(answerStart))
	return n > 0 && string(start[:n]) == answerStart[:n] && string(start) != timeoutNotice
}

// maxSingleWrite is the size in bytes up to which a request is written in a single write: it fits into any send buffer. The
// write of a longer request may block, so the byte with which a backend may begin the request is written separately, if the
// permit is still available by then.
const maxSingleWrite = 4 << 10

// roundTrip writes a request and reads its answer.
func (c *backendConn) roundTrip(x *exchange, data []byte, report []string) Reply {
	_ = c.SetDeadline(x.deadline)
	runnable := x.dialect.ExecutionStart.runnableLength(len(data), len(x.message.Body))
	var rest []byte
	if len(data) > maxSingleWrite {
		data, rest = data[:runnable], data[runnable:]
	}
	if end, written := c.writeRunnable(x, data, runnable-1, report); !written {
		return end
	}
	if len(rest) == 0 {
		return c.readAnswer(x, report)
	}
	return c.readAnswerDuring(x, c.startBodyWrite(rest), report)
}

// writeRunnable writes the part of a request with which a backend may begin to run it. last is the index of the byte before
// which the request can't have run: if the write may block, or is held back for a moment, the bytes before it are written
// first, and the permit is claimed right before it. If the connection breaks before that byte is written, the result is
// NotSent, as the break says something about the connection and not about the backend: a crashed backend refuses the next
// connection. If written is false, the attempt has ended with the returned reply.
func (c *backendConn) writeRunnable(x *exchange, data []byte, last int, report []string) (end Reply, written bool) {
	begun := x.holdback > 0 || last >= maxSingleWrite
	if begun {
		err := c.writeAhead(data[:last], x.deadline)
		if err == nil && x.holdback > 0 {
			err = c.awaitEarlyAnswer(time.Now().Add(x.holdback), x.deadline)
		}
		if err != nil {
			return c.readUnsolicitedAnswer(x, report), false
		}
		data, last = data[last:], 0
	}
	if !x.permit.TryClaim() {
		if begun { // the next request must not complete the part that has been written
			return Reply{result: balancer.NotSent}, false
		}
		_ = c.SetDeadline(time.Time{})
		return Reply{result: balancer.NotSent, conn: c}, false
	}
	n, err := c.Write(data)
	if n <= last {
		return Reply{result: balancer.NotSent, brokeEarly: true}, false
	}
	if err != nil {
		return failedAfterWrite(err), false
	}
	c.markWritten(x)
	return Reply{}, true
}

// markWritten records that so much of a request has been written that it may run.
func (c *backendConn) markWritten(x *exchange) {
	c.writtenAt, c.answerTime = time.Now(), 0
	if x.attempt != nil {
		x.attempt.MarkWritten()
	}
}

// readAnswer reads the answer to a request that may run.
func (c *backendConn) readAnswer(x *exchange, report []string) Reply {
	resp, err := c.readOwnHead(x) //nolint:bodyclose // readBody reads it from the connection
	if err != nil {
		return failedAfterWrite(err)
	}
	return c.readRest(x, resp, report)
}

// readRest reads the body of an answer whose head is resp, and derives the reply from both.
func (c *backendConn) readRest(x *exchange, resp *http.Response, report []string) Reply {
	r, err := c.readBody(resp, x)
	if err != nil {
		return failedAfterWrite(err)
	}
	r.status, r.header, r.load = resp.StatusCode, resp.Header, parseLoadReport(resp.Header, report)
	r.events = x.message.Streaming || isEventStream(x.message, resp)
	r.result = x.dialect.Judge(x.backend, x.message, resp)
	if r.stream != nil {
		if r.result == balancer.OK {
			r.conn = c
			return r
		}
		r.stream = nil // the long body of another answer is not needed: the connection is closed
	} else if !resp.Close && c.reader.Buffered() == 0 {
		// The deadline was this exchange's. Left in place, it would fail the next one.
		_ = c.SetDeadline(time.Time{})
		r.conn = c
	}
	return r
}

// maxForeignAnswers is how many answers to other requests are skipped before the request's own answer.
const maxForeignAnswers = 2

// readOwnHead reads up to the head of the answer to this request. If a backend has sent a surplus answer, the next request
// on the connection receives it in the place of its own.
func (c *backendConn) readOwnHead(x *exchange) (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		resp, err := c.readHead(x.message.Method) //nolint:bodyclose // readBody reads it from the connection
		if err != nil || x.dialect.Matches == nil || x.dialect.Matches(x.message, resp) {
			return resp, err
		}
		c.surplus = true
		if err := c.skipBody(resp, x); err != nil {
			return nil, err
		}
	}
	return nil, errMalformedAnswer
}

// skipBody reads the body of an answer to another request. It returns an error if that body is long, or if nothing can
// follow it on the connection.
func (c *backendConn) skipBody(resp *http.Response, x *exchange) error {
	other, message := *x, *x.message
	message.Streaming = false // the body is wanted whole, however this request's own answer is forwarded
	other.message = &message
	skipped, err := c.readBody(resp, &other)
	if err != nil {
		return err
	}
	long := skipped.stream != nil
	skipped.release(x.memory)
	if long || resp.Close {
		return errMalformedAnswer
	}
	return nil
}

var errMalformedAnswer = errors.New("the answer can't be used")

// readHead reads up to the head of the final answer. Bytes that can't be one are an error at
// once, not only at the attempt's deadline: after noise the connection stays open, and three
// gigabytes of it may follow.
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
			return nil, errMalformedAnswer // no request asks for an upgrade
		}
		if resp.StatusCode < 200 {
			continue
		}
		c.readLimit.N = maxBufferedBody
		return resp, nil
	}
	return nil, errMalformedAnswer
}

// failedAfterWrite returns the outcome of an attempt that may have run and was not answered.
func failedAfterWrite(err error) Reply {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return Reply{result: balancer.Timeout}
	}
	return Reply{result: balancer.Reset}
}
