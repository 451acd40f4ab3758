package rehearsal

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marlreel/internal/standin"
)

// How a try ended, as its client saw it.
const (
	Served    = "served"
	Refused   = "refused"
	Failed    = "failed"
	Unreached = "unreached" // no connection came up: it was never taken
	Broken    = "broken"    // the connection ended without a whole answer
	Silent    = "silent"    // no answer within the time, and some grace
	Foreign   = "foreign"   // 200 with what no node made for this request
)

// Try is one try of a client, as the client saw it.
type Try struct {
	Request, N int    // index in the plan; which try, from 0
	ID         string `json:"id"`
	Proxy      int    // -1: none was reached
	Planned    time.Duration
	Late       time.Duration // how much later than planned the generator came to it
	Sent       time.Duration // its last byte was written; 0: never
	Left       time.Duration // until when the client waits
	Ended      time.Duration
	Outcome    string
	Status     int
	Node       string // that served it
	RetryAfter time.Duration
	Surplus    int           // further answers on its connection
	Crossed    time.Duration // it met the end of an idle connection then, and was sent once more
	Fresh      bool          // on a new connection
	Writing    time.Duration // that it took its client to write it: its time begins behind that
}

// after the end of its time a client still listens for this long: the rule's slack and
// the 50 ms that sockets are given. An answer in it is late for the rule, not lost.
const listenLonger = 70 * time.Millisecond

// crossesWithin is how soon after the write a kept connection's end must come to pass
// for one that the proxy began between two requests. Later, it has taken the request.
const crossesWithin = 50 * time.Millisecond

// clients plays the plan's requests. It is open-loop: each goes out at its planned
// time, whatever became of those before it.
type clients struct {
	scenario *Scenario
	plan     *Plan
	clock    *standin.Clock
	front    *standin.Front

	mu       sync.Mutex
	idle     map[string][]*clientConn // by zone, the latest used last
	open     map[*clientConn]bool
	tries    []*Try
	callers  map[string]*caller // RPC connections, by zone
	opened   int
	mostOpen int
	served   float64 // worth so far, for the progress line
	asked    float64
	began    []time.Duration // closed loop: when each request was asked, from the start; 0 is never
	wg       sync.WaitGroup
	readers  sync.WaitGroup
}

func newClients(s *Scenario, p *Plan, clock *standin.Clock, front *standin.Front) *clients {
	return &clients{scenario: s, plan: p, clock: clock, front: front, idle: map[string][]*clientConn{}, open: map[*clientConn]bool{}, callers: map[string]*caller{}}
}

// play sends all that is planned from start on, and waits for the answers.
func (l *clients) play(ctx context.Context, start time.Duration) {
	if l.scenario.Traffic.closed() {
		l.playUsers(ctx, start)
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range l.plan.Requests {
		at := start + l.plan.Requests[i].At
		if wait := at - l.clock.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		l.wg.Go(func() { l.request(ctx, i, at) })
	}
	l.wg.Wait()
}

// playUsers lets each user ask, wait for the end, think and ask again, until the day is over. Latency counts
// from when a user asks: he does not ask while he waits, which is what a closed loop is.
func (l *clients) playUsers(ctx context.Context, start time.Duration) {
	all := l.plan.Requests
	l.began = make([]time.Duration, len(all))
	for from := 0; from < len(all); {
		to := from
		for to < len(all) && all[to].User == all[from].User {
			to++
		}
		first := from
		l.wg.Go(func() {
			at := start
			for i := first; i < to; i++ {
				at += all[i].Think
				if at-start >= l.plan.Length {
					return
				}
				select {
				case <-time.After(at - l.clock.Now()):
				case <-ctx.Done():
					return
				}
				l.mu.Lock()
				l.began[i] = at - start
				l.mu.Unlock()
				l.request(ctx, i, at)
				at = max(at, l.clock.Now())
			}
		})
		from = to
	}
	l.wg.Wait()
}

// close ends all connections.
func (l *clients) close() {
	l.mu.Lock()
	for c := range l.open {
		c.Close()
	}
	callers := l.callers
	l.callers = map[string]*caller{}
	l.mu.Unlock()
	for _, c := range callers {
		c.Close()
	}
	l.readers.Wait()
}

// records copies what the clients saw.
func (l *clients) records() []Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Try, len(l.tries))
	for i, t := range l.tries {
		out[i] = *t
	}
	slices.SortStableFunc(out, func(a, b Try) int {
		if a.Request != b.Request {
			return a.Request - b.Request
		}
		return a.N - b.N
	})
	return out
}

// request plays one request with the client's own retries.
func (l *clients) request(ctx context.Context, i int, planned time.Duration) {
	r := &l.plan.Requests[i]
	c := &l.scenario.Classes[r.Class]
	giveUp := planned + c.GiveUp.D()
	worth := c.Worth
	if r.Over {
		worth *= l.scenario.Traffic.OverWorth
	}
	l.mu.Lock()
	l.asked += worth
	l.mu.Unlock()
	at := planned
	for n, id := range r.IDs {
		now := l.clock.Now()
		patience := time.Duration(float64(c.GiveUp.D()) * l.scenario.Clients.TryShare)
		t := &Try{Request: i, N: n, ID: id, Proxy: -1, Planned: at, Late: max(now-at, 0), Left: min(at+patience, giveUp)}
		l.mu.Lock()
		l.tries = append(l.tries, t)
		l.mu.Unlock()
		if c.Protocol == "rpc" {
			l.tryRPC(ctx, t, r, c)
		} else {
			l.try(ctx, t, r, c)
		}
		l.mu.Lock()
		outcome, ended, after := t.Outcome, t.Ended, t.RetryAfter
		if outcome == Served && ended-planned-t.Writing <= c.Aim.D() {
			l.served += worth
		}
		l.mu.Unlock()
		// What may have run is repeated only where that is safe; a refusal, and what
		// was never taken, always.
		again := outcome == Refused || outcome == Unreached ||
			c.Effect == "safe" && outcome != Served
		if !again || ctx.Err() != nil {
			return
		}
		wait := l.scenario.Clients.Backoff.D() << n
		if l.scenario.Clients.HonourAfter {
			wait = max(wait, after)
		}
		at = ended + wait
		if n+1 >= len(r.IDs) || at >= giveUp {
			return
		}
		select {
		case <-time.After(at - l.clock.Now()):
		case <-ctx.Done():
			return
		}
	}
}

// reply is an answer, or the end of a connection.
type reply struct {
	at     time.Duration
	status int
	body   string // its beginning, where it is large
	size   int
	after  time.Duration
	close  bool
	err    error
	began  bool // some of the answer came
}

// try sends one try and waits for its end. A kept connection may end just as the
// request is written to it; the client then sends it once more on a new one.
func (l *clients) try(ctx context.Context, t *Try, r *PlannedRequest, c *Class) {
	zone := l.scenario.Fleet.Zones[r.Zone]
	for again := false; ; again = true {
		conn, fresh, err := l.get(ctx, zone, t.Left, again)
		if err != nil {
			l.end(t, func() {
				t.Outcome, t.Ended = Unreached, l.clock.Now()
				if conn != nil {
					t.Proxy = conn.proxy
				}
			})
			return
		}
		got, sent, wrote := conn.exchange(l, l.message(t, r, c), t, c)
		l.mu.Lock()
		t.Proxy, t.Fresh = conn.proxy, fresh
		if wrote {
			t.Sent = sent
		}
		l.mu.Unlock()
		if got.err != nil && !got.began && !fresh && !again && !errors.Is(got.err, errLeft) && got.at-sent < crossesWithin {
			l.mu.Lock()
			t.Crossed = got.at
			l.mu.Unlock()
			continue
		}
		l.end(t, func() { t.judge(got, wrote, c) })
		if got.err == nil && !got.close && !l.scenario.Clients.New {
			l.put(zone, conn)
		} else {
			conn.Close()
		}
		return
	}
}

func (l *clients) end(t *Try, how func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	how()
}

// judge notes what an answer, or its lack, means.
func (t *Try) judge(got reply, wrote bool, c *Class) {
	t.Ended, t.Status, t.RetryAfter = got.at, got.status, got.after
	switch {
	case errors.Is(got.err, errLeft):
		t.Outcome = Silent
	case got.err != nil && !wrote:
		t.Outcome = Unreached // its last byte never left: it was not taken
	case got.err != nil:
		t.Outcome = Broken
	case got.status == http.StatusOK:
		t.Outcome = Served
		node, ok := standin.CheckBody(t.ID, got.body)
		t.Node = node
		if !ok || c.large() && got.size != max(c.Size, len(standin.Body(node, t.ID, 0))) {
			t.Outcome = Foreign
		}
	case got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable:
		t.Outcome = Refused
	default:
		t.Outcome = Failed
	}
}

// message is a try as the protocol has it.
func (l *clients) message(t *Try, r *PlannedRequest, c *Class) string {
	var b strings.Builder
	method := "POST"
	if c.Effect == "safe" {
		method = "GET"
	}
	left := max(t.Left-l.clock.Now(), time.Millisecond)
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Account: %s\r\nX-Time-Left: %du\r\n",
		method, c.Name, r.About, t.ID, l.scenario.Houses[r.House].Name, left.Microseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if t.N > 0 && l.scenario.Clients.MarkRetries {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if method == "POST" && c.Body > 0 {
		size := max(c.Body, len(standin.Body(standin.ClientBody(c.Body), t.ID, 0)))
		if c.Chunked {
			b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		} else {
			fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", size)
		}
	} else if method == "POST" {
		const body = "lot=4711&price=12.50"
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// ---- connections ----

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
