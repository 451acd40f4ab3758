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
	maxBody       = 64 << 10
	maxHead       = 16 << 10
	most1xx       = 8
	headerLoad    = "X-Backend-Load"
	headerTimeout = "X-Time-Left"
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	in        *bufio.Reader
	limit     *io.LimitedReader // under in: bounds one answer, head and body
	idleSince time.Duration

	turnedAway bool // its last answer was that nothing ran
}

// alive tells, without waiting, whether an idle connection can carry a request.
// A backend that died or closed has left an end or a reset to read; anything
// else unread belongs to no request.
func (c *conn) alive() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	return sockets.Quiet(c.Conn)
}

// Message is a request, ready to be sent on any number of times.
type Message struct {
	Method string
	Head   []byte // all of the head that is the same with every attempt, each line with its end
	Body   []byte
	ID     string  // by which its answer is known; "" is not
	Probe  bool    // it asks for the backend's health
	Prompt bool    // the answer goes on as it comes, from its first byte
	up     *upload // in place of Body, where that is large
}

// newMessage writes the head down once: what an attempt adds is its time.
func newMessage(r *http.Request, body []byte, up *upload) *Message {
	head := make([]byte, 0, 512)
	for _, part := range []string{r.Method, " ", r.URL.RequestURI(), " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		head = append(head, part...)
	}
	for field, values := range r.Header {
		if field == headerTimeout || staysHere(r.Header, field) {
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
	return &Message{Method: r.Method, Head: head, Body: body, up: up}
}

// encode writes the message out whole, so that one write sends it and its count
// tells whether the last byte went out.
func (m *Message) encode(dialect *Dialect, to *engine.Backend, wait time.Duration) []byte {
	const spare = 160
	data := append(make([]byte, 0, len(m.Head)+spare+len(m.Body)), m.Head...)
	if m.up != nil {
		if n := m.up.frame(); n >= 0 {
			data = strconv.AppendInt(append(data, "Content-Length: "...), n, 10)
			data = append(data, "\r\n"...)
		} else {
			data = append(data, "Transfer-Encoding: chunked\r\n"...)
		}
	}
	data = dialect.Bounds(data, to, wait)
	data = append(data, "\r\n"...)
	return append(data, m.Body...)
}

// exchange is one attempt or probe on its way.
type exchange struct {
	to     *engine.Backend
	conn   *conn // an idle one to use; nil: dial
	msg    *Message
	speaks *Dialect
	dial   func(ctx context.Context, address string) (net.Conn, error) // nil: the machine's own
	until  time.Time
	permit *engine.Permit

	attempt *engine.Attempt // is told when the last byte is written; nil is a probe
	here    func() bool     // whether who asked is still there; nil: that can't be seen
	room    *budget.Budget
	coming  bool          // until is not known yet
	hold    time.Duration // how long the last byte is kept back; 0 is not at all
	dialled bool          // run opened a new connection
}

// Reply is how an exchange ended. A nil conn says that the connection is gone.
type Reply struct {
	result  balancer.Result
	status  int
	conn    *conn
	header  http.Header
	body    []byte
	stream  *download // what follows; body is empty then
	held    int       // bytes taken from the budget
	claimed bool      // by who passes it on, and releases it then
	load    []float32
	early   bool                // it broke before its last byte was written
	left    bool                // who asked was found to have gone: nothing was written
	end     connections.Outcome // for the model of connections
}

// run carries the exchange out. It follows the protocol's table of outcomes:
// until the last byte is written the request never ran; from then on it may have.
func (x *exchange) run(ctx context.Context, connectTimeout time.Duration, report []string) Reply {
	c := x.conn
	// An answer's surplus, or the end of the connection, may have come since it was
	// taken from the pool. Surplus would be read as the answer to this request.
	if c != nil && !c.alive() {
		c.Close()
		c = nil
	}
	if c == nil {
		x.dialled = true
		nc, err := x.connect(ctx, connectTimeout)
		if err != nil {
			return Reply{result: balancer.ConnectFailed}
		}
		c = &conn{Conn: nc, limit: &io.LimitedReader{R: nc}}
		c.in = bufio.NewReader(c.limit)
	}
	// The last look before writing: dialling took its time. The backend may be
	// draining or gone by now, the request answered, or its client gone.
	if up := x.msg.up; !x.to.Ready() || !x.permit.Available() || up != nil && !up.begin() {
		return Reply{result: balancer.NotSent, conn: c}
	}
	if x.gone() {
		if x.msg.up != nil {
			x.msg.up.end()
		}
		return Reply{result: balancer.NotSent, conn: c, left: true}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	began := time.Now()
	data := x.msg.encode(x.speaks, x.to, x.until.Sub(began)) // what a dial has taken is no longer there
	var r Reply
	if x.msg.up != nil {
		r = c.sendLarge(ctx, x, data, report)
		x.msg.up.end()
	} else {
		r = c.roundTrip(x, data, report)
	}
	if r.result == balancer.Reset || r.early {
		r.end = connections.Outcome{Broken: true, After: time.Since(began), Complete: !r.early}
	}
	if !stop() {
		r.conn = nil
		if r.result == balancer.Reset { // it was called off: the break is this side's, and says nothing
			r.result, r.end = balancer.Cancelled, connections.Outcome{}
			if !time.Now().Before(x.until) {
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
		dialer := net.Dialer{Timeout: timeout, Deadline: x.until}
		return dialer.DialContext(ctx, "tcp", x.to.Addr)
	}
	until := time.Now().Add(timeout)
	if x.until.Before(until) {
		until = x.until
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return x.dial(ctx, x.to.Addr)
}

// gone tells whether who asked has left.
func (x *exchange) gone() bool { return x.here != nil && !x.here() }

// atOnce is how much is written together with its last byte: that much finds room in any connection's buffer. What
// is longer may wait there, and its last byte goes out only if it still may then.
const atOnce = 4 << 10

// roundTrip writes a request and reads its answer. Where the last byte is kept back for
// a moment, a break in that moment proves that nothing ran: a backend begins a request
// when its last byte has come. It speaks of the connection and not of the backend, which
// is why it is told as one that was never sent: a backend that has died refuses the next.
func (c *conn) roundTrip(x *exchange, data []byte, report []string) Reply {
	until, hold := x.until, x.hold
	c.SetDeadline(until)
	begun := hold > 0 || len(data) > atOnce
	if begun {
		n, err := c.Write(data[:len(data)-1])
		if err == nil && hold > 0 {
			err = c.listen(time.Now().Add(hold), until)
		}
		if err == errEarly && c.turnsAway(x) {
			return Reply{result: balancer.Rejected}
		}
		if err != nil || n < len(data)-1 {
			return Reply{result: balancer.NotSent, early: true}
		}
		data = data[len(data)-1:]
	}
	if !x.permit.TryClaim() {
		if begun { // what has been written of it must not be completed by the next request
			return Reply{result: balancer.NotSent}
		}
		c.SetDeadline(time.Time{})
		return Reply{result: balancer.NotSent, conn: c}
	}
	if n, err := c.Write(data); n < len(data) {
		return Reply{result: balancer.NotSent, early: true}
	} else if err != nil {
		return failed(err)
	}
	if x.attempt != nil {
		x.attempt.MarkWritten()
	}
	return c.answer(x, report)
}

// answer reads the answer to what has been written.
func (c *conn) answer(x *exchange, report []string) Reply {
	resp, err := c.ownHead(x)
	if err != nil {
		return failed(err)
	}
	r, err := c.receive(resp, x)
	if err != nil {
		return failed(err)
	}
	r.status, r.header, r.load = resp.StatusCode, resp.Header, loadReport(resp.Header, report)
	r.result = x.speaks.Judge(x.to, x.msg, resp)
	if r.stream != nil {
		if r.result == balancer.OK {
			r.conn = c
			return r
		}
		r.stream = nil // what else it says at length is of no use: the connection is closed
	} else if !resp.Close && c.in.Buffered() == 0 {
		// The deadline was this exchange's. Left in place, it would end the next.
		c.SetDeadline(time.Time{})
		r.conn = c
	}
	return r
}

// errEarly is an answer that came before its request was whole.
var errEarly = errors.New("an answer came before its request")

// listen waits until a time for the connection's end, and gives it as an error. Danger: what comes before the
// request is whole is no answer to it, but may be the second one to the request before; read as this one's, its
// client would get another's.
func (c *conn) listen(while, until time.Time) error {
	if while.After(until) {
		return nil
	}
	c.SetReadDeadline(while)
	defer c.SetReadDeadline(until)
	c.limit.N = maxHead
	_, err := c.in.Peek(1)
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return nil
	}
	if err == nil {
		return errEarly
	}
	return err
}

// turnsAway tells whether what has come early says whole that nothing runs: of whatever request it speaks, this
// one has not.
func (c *conn) turnsAway(x *exchange) bool {
	come, _ := c.in.Peek(c.in.Buffered())
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(come)), nil)
	return err == nil && x.speaks.Judge(x.to, x.msg, resp) == balancer.Rejected
}

// mostForeign is how many answers to other requests are read over in the place of one's own.
const mostForeign = 2

// ownHead reads up to the head of the answer to this request. A backend may give one answer too many; the next
// request on the connection finds it in the place of its own.
func (c *conn) ownHead(x *exchange) (*http.Response, error) {
	for range mostForeign + 1 {
		resp, err := c.readHead(x.msg.Method)
		if err != nil || x.speaks.Mine == nil || x.speaks.Mine(x.msg, resp) {
			return resp, err
		}
		other, err := c.receive(resp, x)
		if err != nil {
			return nil, err
		}
		streams := other.stream != nil
		other.release(x.room)
		if streams || resp.Close {
			break
		}
	}
	return nil, errSpoilt
}

var errSpoilt = errors.New("the answer can't be used")

// readHead reads up to the head of the final answer. What can't be one is told at
// once, not when the attempt's time is up: the connection stays open behind noise,
// and three gigabytes go on coming.
func (c *conn) readHead(method string) (*http.Response, error) {
	const start = "HTTP/1."
	for range most1xx {
		c.limit.N = maxHead
		if _, err := c.in.Peek(1); err != nil {
			return nil, err
		}
		first, _ := c.in.Peek(min(len(start), c.in.Buffered()))
		if !strings.HasPrefix(start, string(first)) {
			return nil, errSpoilt
		}
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSpoilt // nobody asked for it
		}
		if resp.StatusCode < 200 {
			continue
		}
		c.limit.N = maxBody
		return resp, nil
	}
	return nil, errSpoilt
}

// failed tells how an attempt ended that was written and not answered. It may have run.
func failed(err error) Reply {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return Reply{result: balancer.Timeout}
	}
	return Reply{result: balancer.Reset}
}

// loadReport reads the values that the settings name, in their order. A report that
// can't be read, lacks one of them, or has one that can't be true, is none: half of
// one would draw traffic to a backend as if it were idle.
func loadReport(h http.Header, names []string) []float32 {
	const most = 1e9
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
		if v == nil || !(*v >= 0 && *v <= most) {
			return nil
		}
		load[i] = float32(*v)
	}
	return load
}
