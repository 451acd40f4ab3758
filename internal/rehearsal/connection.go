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

var errLeft = errors.New("the client has left")

type clientConn struct {
	net.Conn
	in    *bufio.Reader
	proxy int
	of    *clients

	mu     sync.Mutex
	wants  chan reply    // who waits for the next answer; nil is nobody
	begun  chan struct{} // closed when the head of a large answer has come
	class  *Class
	method string
	last   *Try // whose answer was the last
	dead   bool
}

// get gives a kept connection of the zone, or a new one.
func (l *clients) get(ctx context.Context, zone string, until time.Duration, fresh bool) (*clientConn, bool, error) {
	l.mu.Lock()
	for !fresh && !l.scenario.Clients.New && len(l.idle[zone]) > 0 {
		n := len(l.idle[zone]) - 1
		c := l.idle[zone][n]
		l.idle[zone] = l.idle[zone][:n]
		if !c.gone() {
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

func (c *clientConn) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// exchange writes a request and waits for its answer. The client's time for it begins when it
// has been written.
func (c *clientConn) exchange(l *clients, data string, t *Try, class *Class) (got reply, sent time.Duration, wrote bool) {
	clock := l.clock
	wants, begun := make(chan reply, 1), make(chan struct{})
	method, _, _ := strings.Cut(data, " ")
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return reply{at: clock.Now(), err: io.ErrUnexpectedEOF}, 0, false
	}
	c.wants, c.begun, c.class, c.method, c.last = wants, begun, class, method, t
	c.mu.Unlock()
	began := clock.Now()
	wrote, early := c.send(l, data, t, class, wants)
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
	timer := time.NewTimer(max(t.Left+listenLonger-clock.Now(), 0))
	defer timer.Stop()
	select {
	case got = <-wants:
	case <-begun:
		got = <-wants // the rest comes as it comes; who gives nothing for long is given up by the reader
	case <-timer.C:
		c.Close()
		got = reply{at: clock.Now(), err: errLeft}
	}
	return got, sent, wrote
}

// slowHead tells whether a try writes its head slowly: drawn from its id.
func (l *clients) slowHead(t *Try) bool {
	share := l.scenario.Clients.SlowHeads
	if share <= 0 {
		return false
	}
	n, err := strconv.ParseUint(t.ID, 16, 64)
	return err == nil && float64(n%1000)/1000 < share
}

// send writes a request as its client does: at once, or in pieces. An answer that comes before the
// end of a body is early: the rest is not written.
func (c *clientConn) send(l *clients, data string, t *Try, class *Class, wants chan reply) (wrote bool, early *reply) {
	write := func(p []byte) error {
		c.SetWriteDeadline(time.Now().Add(stallAfter))
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
		case got := <-wants:
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

// stallAfter is how long a client bears that its proxy takes or gives nothing of a body.
const stallAfter = 15 * time.Second

// read takes answers off the connection until it ends. One that nobody waits for is
// one too many for the request before.
func (c *clientConn) read(clock *standin.Clock) {
	defer c.Close()
	for {
		_, err := c.in.Peek(1)
		at := clock.Now()
		c.mu.Lock()
		wants, begun, method, class, last := c.wants, c.begun, c.method, c.class, c.last
		if err != nil {
			c.dead, c.wants = true, nil
			c.mu.Unlock()
			if wants != nil {
				wants <- reply{at: at, err: err}
			}
			return
		}
		if wants == nil {
			c.dead = true
			c.mu.Unlock()
			c.surplus(last)
			return
		}
		c.mu.Unlock()
		got := c.answer(clock, method, class, begun)
		c.mu.Lock()
		c.wants = nil
		// What is here already behind the answer belongs to no request.
		if got.err == nil && c.in.Buffered() > 0 {
			c.dead = true
		}
		c.dead = c.dead || got.err != nil || got.close
		dead := c.dead
		c.mu.Unlock()
		if got.err == nil && c.in.Buffered() > 0 {
			c.surplus(last)
		}
		wants <- got
		if dead {
			// The proxy said that it closes; whatever else it sends is one too many.
			c.SetReadDeadline(time.Now().Add(time.Second))
			if got.err == nil && c.in.Buffered() == 0 {
				if _, err := c.in.Peek(1); err == nil {
					c.surplus(last)
				}
			}
			return
		}
	}
}

func (c *clientConn) surplus(of *Try) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if of != nil {
		of.Surplus++
	}
}

func (c *clientConn) answer(clock *standin.Clock, method string, class *Class, begun chan struct{}) reply {
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
		got.at = clock.Now() // an answer's time is that of its first bytes
		close(begun)
		got.body, got.size, got.err = standin.ReadBody(&stalling{c, resp.Body}, class.Reads)
		return got
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	got.at, got.body, got.size, got.err = clock.Now(), string(body), len(body), err
	return got
}

// stalling gives up a body that does not go on.
type stalling struct {
	c  *clientConn
	in io.Reader
}

func (s *stalling) Read(p []byte) (int, error) {
	s.c.SetReadDeadline(time.Now().Add(stallAfter))
	defer s.c.SetReadDeadline(time.Time{})
	return s.in.Read(p)
}
