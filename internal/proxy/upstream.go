package proxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"marlreel"
)

const (
	maxBody       = 64 << 10
	maxHead       = 16 << 10
	most1xx       = 8
	headerNotRun  = "X-Unprocessed"
	headerLoad    = "X-Backend-Load"
	headerTimeout = "X-Time-Left"
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	in        *bufio.Reader
	limit     *io.LimitedReader // under in: bounds one answer, head and body
	idleSince time.Duration
}

// alive tells, without waiting, whether an idle connection can carry a request.
// A backend that died or closed has left an end or a reset to read; anything
// else unread belongs to no request.
func (c *conn) alive() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// backend is where a backend of the list is reached, with its idle connections.
// The loop owns it; only ready is read by attempts too.
type backend struct {
	marlreel.Backend
	name, addr string
	ready      atomic.Bool
	idle       []*conn // the most recently used last
}

// pool keeps the connections to all backends within a bound. The loop owns it.
type pool struct {
	open, most int           // connections, those being dialled among them
	maxIdle    time.Duration // 0 is for ever
	backends   map[marlreel.BackendID]*backend
}

// take gives an idle connection to the backend, the most recently used: the
// others grow old and leave. It gives nil where there is none.
func (p *pool) take(to *backend, now time.Duration) *conn {
	for len(to.idle) > 0 {
		c := to.idle[len(to.idle)-1]
		to.idle = to.idle[:len(to.idle)-1]
		// A request that is written to a connection just as the backend closes it
		// for age is a reset, which may have run. So age is checked here as well.
		if !p.tooOld(c, now) && c.alive() {
			return c
		}
		p.close(c)
	}
	return nil
}

// mayDial takes a place for a new connection; where all are taken, an idle one has to go.
func (p *pool) mayDial() bool {
	if p.open >= p.most {
		var oldest *backend
		for _, b := range p.backends {
			if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idle[0].idleSince) {
				oldest = b
			}
		}
		if oldest == nil {
			return false
		}
		p.close(oldest.idle[0])
		oldest.idle = oldest.idle[1:]
	}
	p.open++
	return true
}

// put takes a connection back; nil says that it is closed.
func (p *pool) put(to *backend, c *conn, now time.Duration) {
	if c == nil {
		p.open--
		return
	}
	if p.backends[to.ID] != to || !to.ready.Load() || c.RemoteAddr().String() != to.addr {
		p.close(c)
		return
	}
	c.idleSince = now
	to.idle = append(to.idle, c)
}

func (p *pool) tooOld(c *conn, now time.Duration) bool {
	return p.maxIdle > 0 && now-c.idleSince >= p.maxIdle
}

func (p *pool) close(c *conn) {
	p.open--
	c.Close()
}

// release closes a backend's idle connections.
func (p *pool) release(b *backend) {
	for _, c := range b.idle {
		p.close(c)
	}
	b.idle = nil
}

// retire closes what has been idle for long, or was closed by the backend.
func (p *pool) retire(now time.Duration) {
	for _, b := range p.backends {
		b.idle = slices.DeleteFunc(b.idle, func(c *conn) bool {
			old := p.tooOld(c, now) || !c.alive()
			if old {
				p.close(c)
			}
			return old
		})
	}
}

// message is a client's request, ready to be sent on any number of times.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end ones; read only
	body   []byte
}

// encode writes the message out whole, so that one write sends it and its count
// tells whether the last byte went out.
func (m *message) encode(wait time.Duration) ([]byte, error) {
	h := m.header.Clone()
	h.Set(headerTimeout, strconv.FormatInt(max(1, wait.Microseconds()), 10)+"u")
	if _, set := h["User-Agent"]; !set {
		h["User-Agent"] = []string{""} // which keeps Write from naming one
	}
	r := &http.Request{Method: m.method, URL: m.url, Host: m.host, Header: h, ContentLength: int64(len(m.body))}
	if len(m.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	var buf bytes.Buffer
	if err := r.Write(&buf); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// permit is the right to write one attempt. The loop and the attempt's goroutine
// race for it: whoever is first decides whether anything goes out at all.
type permit struct{ state atomic.Int32 }

const (
	permitOpen = iota
	permitUsed
	permitRevoked
)

func (p *permit) use() bool    { return p.state.CompareAndSwap(permitOpen, permitUsed) }
func (p *permit) revoke() bool { return p.state.CompareAndSwap(permitOpen, permitRevoked) }

// exchange is one attempt or probe on its way.
type exchange struct {
	to     *backend
	addr   string
	conn   *conn // an idle one to use; nil: dial
	msg    *message
	until  time.Time
	permit permit
	cancel context.CancelFunc
}

// reply is how an exchange ended. A nil conn says that the connection is gone.
type reply struct {
	result marlreel.Result
	conn   *conn
	header http.Header
	body   []byte
	load   []float32
}

// run carries the exchange out. It follows the protocol's table of outcomes:
// until the last byte is written the request never ran; from then on it may have.
func (x *exchange) run(ctx context.Context, connectTimeout time.Duration, report []string) reply {
	c := x.conn
	if c == nil {
		dialer := net.Dialer{Timeout: connectTimeout, Deadline: x.until}
		nc, err := dialer.DialContext(ctx, "tcp", x.addr)
		if err != nil {
			return reply{result: marlreel.ConnectFailed}
		}
		c = &conn{Conn: nc, limit: &io.LimitedReader{R: nc}}
		c.in = bufio.NewReader(c.limit)
	}
	data, err := x.msg.encode(time.Until(x.until))
	// The last look before writing: dialling took its time. The backend may be
	// draining or gone by now, or the request answered.
	if err != nil || !x.to.ready.Load() || !x.permit.use() {
		return reply{result: marlreel.Moot, conn: c}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	r := c.roundTrip(data, x.msg.method, x.until, report)
	if !stop() {
		r.conn = nil
	}
	if r.conn == nil {
		c.Close()
	}
	return r
}

func (c *conn) roundTrip(data []byte, method string, until time.Time, report []string) reply {
	c.SetDeadline(until)
	if n, err := c.Write(data); n < len(data) {
		return reply{result: marlreel.ConnectFailed}
	} else if err != nil {
		return failed(err)
	}
	var resp *http.Response
	var err error
	for range most1xx {
		c.limit.N = maxHead + maxBody
		resp, err = http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if err != nil {
		return failed(err)
	}
	// The answer is read whole before any of it is passed on: a client never gets half of one.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return failed(err)
	}
	r := reply{header: resp.Header, body: body, result: marlreel.Error, load: loadReport(resp.Header, report)}
	// An answer that its connection's end delimits ends at the limit too. It may be cut there.
	if len(body) > maxBody || c.limit.N <= 0 {
		return reply{result: marlreel.Reset}
	}
	if !resp.Close && c.in.Buffered() == 0 && resp.StatusCode >= 200 {
		// The deadline was this exchange's. Left in place, it would make the idle
		// connection look dead to alive as soon as it passes.
		c.SetDeadline(time.Time{})
		r.conn = c
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.result = marlreel.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(headerNotRun) == "1" {
			r.result = marlreel.Full
		}
	}
	return r
}

// failed tells how an attempt ended that was written and not answered. It may have run.
func failed(err error) reply {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return reply{result: marlreel.Timeout}
	}
	return reply{result: marlreel.Reset}
}

// loadReport reads the values that the settings name, in their order; nil is none.
func loadReport(h http.Header, names []string) []float32 {
	text := h.Get(headerLoad)
	if text == "" || len(names) == 0 {
		return nil
	}
	var values map[string]float32
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return nil
	}
	load := make([]float32, len(names))
	for i, n := range names {
		load[i] = values[n]
	}
	return load
}
