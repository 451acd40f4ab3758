package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
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
