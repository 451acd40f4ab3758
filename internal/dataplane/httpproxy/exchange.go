package httpproxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
	"marlreel/internal/sockets"
)

const (
	maxBufferedBody     = 64 << 10
	maxHead             = 16 << 10
	maxInterimResponses = 8
	headerLoad          = "X-Backend-Load"
	headerTimeout       = "X-Time-Left"
)

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	net.Conn
	reader    *bufio.Reader
	readLimit *io.LimitedReader // under in: bounds one answer, head and body
	idleSince time.Duration

	lastRejected bool // its last answer was that nothing ran
}

// reusable tells, without waiting, whether an idle connection can carry a request.
// A backend that died or closed has left an end or a reset to read; anything
// else unread belongs to no request.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return sockets.Idle(c.Conn)
}

// Message is a request, ready to be sent on any number of times.
type Message struct {
	Method      string
	Head        []byte // all of the head that is the same with every attempt, each line with its end
	Body        []byte
	ID          string  // by which its answer is known; "" is not
	HealthCheck bool    // it asks for the backend's health
	Streaming   bool    // the answer goes on as it comes, from its first byte
	upload      *upload // in place of Body, where that is large
}

// newMessage writes the head down once: what an attempt adds is its time.
func newMessage(r *http.Request, body []byte, up *upload) *Message {
	head := make([]byte, 0, 512)
	for _, part := range []string{r.Method, " ", r.URL.RequestURI(), " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		head = append(head, part...)
	}
	for field, values := range r.Header {
		if field == headerTimeout || isHopByHop(r.Header, field) {
			continue
		}
		for _, v := range values {
			for _, part := range []string{field, ": ", v, "\r\n"} {
				head = append(head, part...)
			}
		}
	}
	if r.Method != http.MethodGet && up == nil {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(body)), 10)
		head = append(head, "\r\n"...)
	}
	return &Message{Method: r.Method, Head: head, Body: body, upload: up}
}

// encode writes the message out whole, so that one write sends it and its count
// tells whether the last byte went out.
func (m *Message) encode(dialect *Dialect, to *engine.Backend, timeout time.Duration) []byte {
	const spare = 160
	data := append(make([]byte, 0, len(m.Head)+spare+len(m.Body)), m.Head...)
	if m.upload != nil {
		if n := m.upload.announcedLength(); n >= 0 {
			data = strconv.AppendInt(append(data, "Content-Length: "...), n, 10)
			data = append(data, "\r\n"...)
		} else {
			data = append(data, "Transfer-Encoding: chunked\r\n"...)
		}
	}
	data = dialect.AppendAttemptHeaders(data, to, timeout)
	data = append(data, "\r\n"...)
	return append(data, m.Body...)
}

// exchange is one attempt or probe on its way.
type exchange struct {
	backend  *engine.Backend
	conn     *backendConn // an idle one to use; nil: dial
	message  *Message
	dialect  *Dialect
	dial     func(ctx context.Context, address string) (net.Conn, error) // nil: the machine's own
	deadline time.Time
	permit   *engine.Permit

	attempt         *engine.Attempt // is told when the last byte is written; nil is a probe
	clientConnected func() bool     // whether who asked is still there; nil: that can't be seen
	memory          *budget.Budget
	receiving       bool          // until is not known yet
	holdback        time.Duration // how long the last byte is kept back; 0 is not at all
	dialled         bool          // run opened a new connection
}

// Reply is how an exchange ended. A nil conn says that the connection is gone.
type Reply struct {
	result      balancer.Result
	status      int
	conn        *backendConn
	header      http.Header
	body        []byte
	stream      *answerStream // what follows; body is empty then
	reserved    int           // bytes taken from the budget
	claimed     bool          // by who passes it on, and releases it then
	load        []float32
	brokeEarly  bool                // it broke before its last byte was written
	clientGone  bool                // who asked was found to have gone: nothing was written
	connOutcome connections.Outcome // for the model of connections
}

// run carries the exchange out. It follows the protocol's table of outcomes:
// until the last byte is written the request never ran; from then on it may have.
func (x *exchange) run(ctx context.Context, connectTimeout time.Duration, report []string) Reply {
	c := x.conn
	// An answer's surplus, or the end of the connection, may have come since it was
	// taken from the pool. Surplus would be read as the answer to this request.
	if c != nil && !c.reusable() {
		c.Close()
		c = nil
	}
	if c == nil {
		x.dialled = true
		nc, err := x.connect(ctx, connectTimeout)
		if err != nil {
			return Reply{result: balancer.ConnectFailed}
		}
		c = &backendConn{Conn: nc, readLimit: &io.LimitedReader{R: nc}}
		c.reader = bufio.NewReader(c.readLimit)
	}
	// The last look before writing: dialling took its time. The backend may be
	// draining or gone by now, the request answered, or its client gone.
	if up := x.message.upload; !x.backend.Ready() || !x.permit.Available() || up != nil && !up.beginRead() {
		return Reply{result: balancer.NotSent, conn: c}
	}
	if x.clientGone() {
		if x.message.upload != nil {
			x.message.upload.endRead()
		}
		return Reply{result: balancer.NotSent, conn: c, clientGone: true}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	began := time.Now()
	data := x.message.encode(x.dialect, x.backend, x.deadline.Sub(began)) // what a dial has taken is no longer there
	var r Reply
	if x.message.upload != nil {
		r = c.sendUpload(ctx, x, data, report)
		x.message.upload.endRead()
	} else {
		r = c.roundTrip(x, data, report)
	}
	if r.result == balancer.Reset || r.brokeEarly {
		r.connOutcome = connections.Outcome{Broken: true, After: time.Since(began), Complete: !r.brokeEarly}
	}
	if !stop() {
		r.conn = nil
		if r.result == balancer.Reset { // it was called off: the break is this side's, and says nothing
			r.result, r.connOutcome = balancer.Cancelled, connections.Outcome{}
			if !time.Now().Before(x.deadline) {
				r.result = balancer.Timeout
			}
		}
	}
	if r.conn == nil {
		c.Close()
	}
	return r
}

// connect makes a connection to the backend.
func (x *exchange) connect(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	if x.dial == nil {
		dialer := net.Dialer{Timeout: timeout, Deadline: x.deadline}
		return dialer.DialContext(ctx, "tcp", x.backend.Addr)
	}
	until := time.Now().Add(timeout)
	if x.deadline.Before(until) {
		until = x.deadline
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return x.dial(ctx, x.backend.Addr)
}

// clientGone tells whether who asked has left.
func (x *exchange) clientGone() bool { return x.clientConnected != nil && !x.clientConnected() }

// maxSingleWrite is how much is written together with its last byte: that much finds room in any connection's buffer. What
// is longer may wait there, and its last byte goes out only if it still may then.
const maxSingleWrite = 4 << 10

// roundTrip writes a request and reads its answer. Where the last byte is kept back for
// a moment, a break in that moment proves that nothing ran: a backend begins a request
// when its last byte has come. It speaks of the connection and not of the backend, which
// is why it is told as one that was never sent: a backend that has died refuses the next.
func (c *backendConn) roundTrip(x *exchange, data []byte, report []string) Reply {
	until, hold := x.deadline, x.holdback
	_ = c.SetDeadline(until)
	begun := hold > 0 || len(data) > maxSingleWrite
	if begun {
		n, err := c.Write(data[:len(data)-1])
		if err == nil && hold > 0 {
			err = c.awaitEarlyAnswer(time.Now().Add(hold), until)
		}
		if errors.Is(err, errEarlyAnswer) && c.earlyRejection(x) {
			return Reply{result: balancer.Rejected}
		}
		if err != nil || n < len(data)-1 {
			return Reply{result: balancer.NotSent, brokeEarly: true}
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
	if n, err := c.Write(data); n < len(data) {
		return Reply{result: balancer.NotSent, brokeEarly: true}
	} else if err != nil {
		return failedAfterWrite(err)
	}
	if x.attempt != nil {
		x.attempt.MarkWritten()
	}
	return c.readAnswer(x, report)
}

// readAnswer reads the answer to what has been written.
func (c *backendConn) readAnswer(x *exchange, report []string) Reply {
	resp, err := c.readOwnHead(x)
	if err != nil {
		return failedAfterWrite(err)
	}
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

// errEarlyAnswer is an answer that came before its request was whole.
var errEarlyAnswer = errors.New("an answer came before its request")

// awaitEarlyAnswer waits until a time for the connection's end, and gives it as an error. Danger: what comes before the
// request is whole is no answer to it, but may be the second one to the request before; read as this one's, its
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

// earlyRejection tells whether what has come early says whole that nothing runs: of whatever request it speaks, this
// one has not.
func (c *backendConn) earlyRejection(x *exchange) bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	//nolint:bodyclose // its body is in memory
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(buffered)), nil)
	return err == nil && x.dialect.Judge(x.backend, x.message, resp) == balancer.Rejected
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

// readHead reads up to the head of the final answer. What can't be one is told at
// once, not when the attempt's time is up: the connection stays open behind noise,
// and three gigabytes go on coming.
func (c *backendConn) readHead(method string) (*http.Response, error) {
	const start = "HTTP/1."
	for range maxInterimResponses {
		c.readLimit.N = maxHead
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		first, _ := c.reader.Peek(min(len(start), c.reader.Buffered()))
		if !strings.HasPrefix(start, string(first)) {
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

// parseLoadReport reads the values that the settings name, in their order. A report that
// can't be read, lacks one of them, or has one that can't be true, is none: half of
// one would draw traffic to a backend as if it were idle.
func parseLoadReport(h http.Header, names []string) []float32 {
	const maxValue = 1e9
	text := h.Get(headerLoad)
	if text == "" || len(names) == 0 {
		return nil
	}
	var values map[string]*float64
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return nil
	}
	load := make([]float32, len(names))
	for i, n := range names {
		v := values[n]
		if v == nil || !(*v >= 0 && *v <= maxValue) {
			return nil
		}
		load[i] = float32(*v)
	}
	return load
}
