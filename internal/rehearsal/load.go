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

// The outcome of a try, as its client saw it.
const (
	Served    = "served"
	Refused   = "refused"
	Failed    = "failed"
	Unreached = "unreached" // no connection was established, or the request wasn't written: no proxy accepted it
	Broken    = "broken"    // the connection ended before a complete answer
	Silent    = "silent"    // no answer within the timeout and answerGrace
	Foreign   = "foreign"   // status 200 with a body that no node made for this request
)

// Try is one attempt of a client at a request, as the client saw it.
type Try struct {
	Request, N int    // index of the request in the plan; number of the try, from 0
	ID         string `json:"id"`
	Proxy      int    // index, or -1 if none was reached
	Planned    time.Duration
	Late       time.Duration // delay of the load generator, compared with the planned time
	Sent       time.Duration // when the last byte of the request was written; 0: never
	Left       time.Duration // when the client stops waiting
	Ended      time.Duration
	Outcome    string
	Status     int
	Node       string // that answered it
	RetryAfter time.Duration
	Surplus    int           // number of further answers on its connection
	Crossed    time.Duration // when its idle connection turned out to be closed, and it was sent again; 0: never
	Fresh      bool          // sent on a new connection
	Writing    time.Duration // how long the client took to write the request; its latency counts from the end of that
}

// answerGrace is how long a client still reads after its timeout: the slack of the rule, 20 ms by default, and
// the 50 ms of socketSlack. An answer within it is late by the rule, not lost.
const answerGrace = 70 * time.Millisecond

// closeRaceWindow is how soon after the write a reused connection must end for the client to assume that the
// proxy closed it while it was idle. After that the proxy is assumed to have accepted the request.
const closeRaceWindow = 50 * time.Millisecond

// clients sends the plan's requests. Without users it is open-loop: each request is sent at its planned
// time, whatever the outcome of earlier ones.
type clients struct {
	scenario *Scenario
	plan     *Plan
	clock    *standin.Clock
	front    *standin.Front

	mu       sync.Mutex
	idle     map[string][]*clientConn // by zone, most recently used last
	open     map[*clientConn]bool
	tries    []*Try
	callers  map[string]*caller // RPC connections, by zone
	opened   int
	mostOpen int
	served   float64 // worth so far, for the progress line
	asked    float64
	began    []time.Duration // closed loop: when each request was sent, relative to the start; 0: never
	wg       sync.WaitGroup
	readers  sync.WaitGroup
}

func newClients(s *Scenario, p *Plan, clock *standin.Clock, front *standin.Front) *clients {
	return &clients{scenario: s, plan: p, clock: clock, front: front, idle: map[string][]*clientConn{}, open: map[*clientConn]bool{}, callers: map[string]*caller{}}
}

// play sends the planned requests at their times relative to start, and waits for their answers.
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

// playUsers runs the closed loop: each user sends a request, waits for its end, pauses and repeats, until the end of
// the run. Latency counts from when the request is sent, not from a planned time.
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

// close closes all connections and waits for their readers.
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

// records returns copies of all tries, ordered by request.
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

// request sends one request, with the client's own retries.
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
		timeout := time.Duration(float64(c.GiveUp.D()) * l.scenario.Clients.TryShare)
		t := &Try{Request: i, N: n, ID: id, Proxy: -1, Planned: at, Late: max(now-at, 0), Left: min(at+timeout, giveUp)}
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
		// A request that may have run is retried only in a safe class. One that was refused or
		// never accepted is always retried.
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

// reply is an answer, or the error that ended the connection.
type reply struct {
	at     time.Duration
	status int
	body   string // of a large answer only the beginning
	size   int
	after  time.Duration
	close  bool
	err    error
	began  bool // part of the answer has arrived
}

// try sends one try and waits for its end. A reused connection may be closed by the proxy just as the
// request is written to it; the client then sends the request once more on a new one.
func (l *clients) try(ctx context.Context, t *Try, r *PlannedRequest, c *Class) {
	zone := l.scenario.Fleet.Zones[r.Zone]
	for again := false; ; again = true {
		conn, fresh, err := l.get(ctx, zone, t.Left, again)
		if err != nil {
			l.update(t, func() {
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
		if got.err != nil && !got.began && !fresh && !again && !errors.Is(got.err, errClientTimeout) && got.at-sent < closeRaceWindow {
			l.mu.Lock()
			t.Crossed = got.at
			l.mu.Unlock()
			continue
		}
		l.update(t, func() { t.setOutcome(got, wrote, c) })
		if got.err == nil && !got.close && !l.scenario.Clients.New {
			l.put(zone, conn)
		} else {
			conn.Close()
		}
		return
	}
}

func (l *clients) update(t *Try, how func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	how()
}

// setOutcome sets the outcome from a reply.
func (t *Try) setOutcome(got reply, wrote bool, c *Class) {
	t.Ended, t.Status, t.RetryAfter = got.at, got.status, got.after
	switch {
	case errors.Is(got.err, errClientTimeout):
		t.Outcome = Silent
	case got.err != nil && !wrote:
		t.Outcome = Unreached // not written completely, so it was not accepted
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

// message returns the HTTP request of a try: all of it, or the head if the class has a body.
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
