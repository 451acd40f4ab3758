package rehearsal

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marlreel/internal/standin"
)

var errClientTimeout = errors.New("client timeout")

type clientConn struct {
	net.Conn
	in    *bufio.Reader
	proxy int
	of    *clients

	mu           sync.Mutex
	waiter       chan reply    // receives the next answer; nil if no request is open
	headReceived chan struct{} // closed when the head of a large answer has arrived
	class        *Class
	method       string
	last         *Try // the last request sent on it
	unusable     bool
}

// get returns an idle connection of the zone, or opens a new one.
func (l *clients) get(ctx context.Context, zone string, until time.Duration, fresh bool) (*clientConn, bool, error) {
	l.mu.Lock()
	for !fresh && !l.scenario.Clients.New && len(l.idle[zone]) > 0 {
		n := len(l.idle[zone]) - 1
		c := l.idle[zone][n]
		l.idle[zone] = l.idle[zone][:n]
		if !c.closed() {
			l.mu.Unlock()
			return c, false, nil
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, max(until-l.clock.Now(), 0))
	defer cancel()
	nc, proxy, err := l.front.Dial(ctx, zone)
	if err != nil {
		return &clientConn{proxy: proxy}, true, err
	}
	c := &clientConn{Conn: nc, in: bufio.NewReader(nc), proxy: proxy, of: l}
	l.mu.Lock()
	l.opened++
	l.open[c] = true
	l.mostOpen = max(l.mostOpen, len(l.open))
	l.mu.Unlock()
	l.readers.Go(func() {
		c.read(l.clock)
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
	})
	return c, true, nil
}

func (l *clients) put(zone string, c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[zone] = append(l.idle[zone], c)
}

func (c *clientConn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusable
}

// exchange writes a request and waits for its answer. If it is written slowly, the client's timeout counts from the
// end of the write.
func (c *clientConn) exchange(l *clients, data string, t *Try, class *Class) (got reply, sent time.Duration, wrote bool) {
	clock := l.clock
	waiter, headReceived := make(chan reply, 1), make(chan struct{})
	method, _, _ := strings.Cut(data, " ")
	c.mu.Lock()
	if c.unusable {
		c.mu.Unlock()
		return reply{at: clock.Now(), err: io.ErrUnexpectedEOF}, 0, false
	}
	c.waiter, c.headReceived, c.class, c.method, c.last = waiter, headReceived, class, method, t
	c.mu.Unlock()
	began := clock.Now()
	wrote, early := c.send(l, data, t, class, waiter)
	sent = clock.Now()
	if slow := sent - began; class.Body > 0 || l.slowHead(t) {
		l.mu.Lock()
		t.Writing = slow
		t.Left += slow
		l.mu.Unlock()
	}
	if early != nil {
		return *early, sent, wrote
	}
	if !wrote {
		c.Close()
	}
	timer := time.NewTimer(max(t.Left+answerGrace-clock.Now(), 0))
	defer timer.Stop()
	select {
	case got = <-waiter:
	case <-headReceived:
		got = <-waiter // the rest of the body is not bound by the timeout; stallReader ends a body that stalls
	case <-timer.C:
		c.Close()
		got = reply{at: clock.Now(), err: errClientTimeout}
	}
	return got, sent, wrote
}

// slowHead reports whether a try writes its head slowly. It is derived from the try's id.
func (l *clients) slowHead(t *Try) bool {
	share := l.scenario.Clients.SlowHeads
	if share <= 0 {
		return false
	}
	n, err := strconv.ParseUint(t.ID, 16, 64)
	return err == nil && float64(n%1000)/1000 < share
}

// send writes a request at once or in pieces, as configured. An answer that comes before the
// end of the request body is returned as early, and the rest of the body is not written.
func (c *clientConn) send(l *clients, data string, t *Try, class *Class, waiter chan reply) (wrote bool, early *reply) {
	write := func(p []byte) error {
		c.SetWriteDeadline(time.Now().Add(stallTimeout))
		_, err := c.Write(p)
		return err
	}
	if l.slowHead(t) {
		const pieces = 8
		for i := range pieces {
			if write([]byte(data[len(data)*i/pieces:len(data)*(i+1)/pieces])) != nil {
				return false, nil
			}
			if i < pieces-1 {
				time.Sleep(l.scenario.Clients.SlowOver.D() / pieces)
			}
		}
	} else if write([]byte(data)) != nil {
		return false, nil
	}
	if class.Body == 0 {
		return true, nil
	}
	errEarly := errors.New("answered")
	maker := standin.ClientBody(max(class.Body, len(standin.Body(standin.ClientBody(class.Body), t.ID, 0))))
	err := standin.WriteBody(maker, t.ID, class.Body, class.Writes, func(p []byte) error {
		select {
		case got := <-waiter:
			early = &got
			return errEarly
		default:
		}
		if class.Chunked {
			p = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
		}
		return write(p)
	})
	if err == nil && class.Chunked {
		err = write([]byte("0\r\n\r\n"))
	}
	return err == nil, early
}

// stallTimeout is how long a read or write of a body may make no progress.
const stallTimeout = 15 * time.Second

// read reads answers until the connection ends. An answer that no request waits for is counted
// as surplus of the previous request.
func (c *clientConn) read(clock *standin.Clock) {
	defer c.Close()
	for {
		_, err := c.in.Peek(1)
		at := clock.Now()
		c.mu.Lock()
		waiter, headReceived, method, class, last := c.waiter, c.headReceived, c.method, c.class, c.last
		if err != nil {
			c.unusable, c.waiter = true, nil
			c.mu.Unlock()
			if waiter != nil {
				waiter <- reply{at: at, err: err}
			}
			return
		}
		if waiter == nil {
			c.unusable = true
			c.mu.Unlock()
			c.addSurplus(last)
			return
		}
		c.mu.Unlock()
		got := c.answer(clock, method, class, headReceived)
		c.mu.Lock()
		c.waiter = nil
		// Bytes behind the answer belong to no request.
		if got.err == nil && c.in.Buffered() > 0 {
			c.unusable = true
		}
		c.unusable = c.unusable || got.err != nil || got.close
		unusable := c.unusable
		c.mu.Unlock()
		if got.err == nil && c.in.Buffered() > 0 {
			c.addSurplus(last)
		}
		waiter <- got
		if unusable {
			// The connection is being closed; anything else that the proxy sends is surplus.
			c.SetReadDeadline(time.Now().Add(time.Second))
			if got.err == nil && c.in.Buffered() == 0 {
				if _, err := c.in.Peek(1); err == nil {
					c.addSurplus(last)
				}
			}
			return
		}
	}
}

func (c *clientConn) addSurplus(of *Try) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if of != nil {
		of.Surplus++
	}
}

func (c *clientConn) answer(clock *standin.Clock, method string, class *Class, headReceived chan struct{}) reply {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return reply{at: clock.Now(), err: err, began: true}
	}
	defer resp.Body.Close()
	got := reply{status: resp.StatusCode, close: resp.Close, began: true}
	if s := resp.Header.Get("Retry-After"); s != "" {
		if v, err := strconv.ParseFloat(s, 64); err == nil && v >= 0 && v < 3600 {
			got.after = time.Duration(v * float64(time.Second))
		}
	}
	if resp.StatusCode == http.StatusOK && class != nil && class.large() {
		got.at = clock.Now() // the latency of a large answer is that of its first bytes
		close(headReceived)
		got.body, got.size, got.err = standin.ReadBody(&stallReader{c, resp.Body}, class.Reads)
		return got
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	got.at, got.body, got.size, got.err = clock.Now(), string(body), len(body), err
	return got
}

// stallReader is a body reader that fails with a timeout if no data comes for stallTimeout.
type stallReader struct {
	c  *clientConn
	in io.Reader
}

func (s *stallReader) Read(p []byte) (int, error) {
	s.c.SetReadDeadline(time.Now().Add(stallTimeout))
	defer s.c.SetReadDeadline(time.Time{})
	return s.in.Read(p)
}
