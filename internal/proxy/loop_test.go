package proxy

import (
	"bufio"
	"container/heap"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marlreel"
)

// stillLoop is a loop that the test moves by hand, timer by timer.
func stillLoop(t *testing.T, entries ...endpoint) *loop {
	t.Helper()
	cfg := testConfig(t, closedAddr(t), entries...)
	l, err := newLoop(cfg, t.Logf, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	l.ctx = ctx
	list, err := cfg.Known.check(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.do(func() { l.membership(marlreel.ListCached, cfg.Known, list) })
	return l
}

func (l *loop) ask(class int, left time.Duration) *request {
	r := &request{arrived: l.now(), name: fmt.Sprintf("%016x", lastName.Add(1)), answers: make(chan answer, 1),
		msg: probeMessage("origin.svc")}
	r.Class, r.Deadline = class, r.arrived+left
	l.do(func() { l.request(r) })
	return r
}

// silent is a backend that reads and never answers; it tells of each request.
func silent(t *testing.T) (string, chan *http.Request) {
	t.Helper()
	got := make(chan *http.Request, 16)
	return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			got <- r
		}
	}), got
}

// The module may forget a request or be wrong about its time. The client still
// has its answer before it leaves, and nothing is sent for it from then on.
func TestBackstopAnswersBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	addr, _ := silent(t)
	l := stillLoop(t, ready("s-1", addr))
	r := l.ask(1, time.Minute)
	if len(r.attempts) != 1 {
		t.Fatalf("%d attempts", len(r.attempts))
	}
	var last *timer
	for len(l.timers) > 0 { // the backstop alone: the attempt's own end and the module's timers are passed over
		if last = heap.Pop(&l.timers).(*timer); last.at == r.Deadline-backstop {
			break
		}
	}
	if last.at != r.Deadline-backstop {
		t.Fatal("no backstop is set")
	}
	l.do(last.event)
	a := receive(t, r.answers, "the backstop's answer")
	mustFail(t, a.status)
	if _, held := l.requests[r.ID]; held {
		t.Error("the request is still in the table")
	}
	l.do(func() { host{l}.Send(r.ID, l.backendID("s-1"), 0) })
	l.do(func() { host{l}.Refuse(r.ID, 0) })
	if len(r.attempts) != 1 || len(r.answers) != 0 {
		t.Error("something came after the final answer")
	}
}

// An attempt ends early enough for the module to hear of it before the backstop.
func TestAttemptEndsBeforeTheBackstop(t *testing.T) {
	t.Parallel()
	addr, _ := silent(t)
	l := stillLoop(t, ready("s-1", addr))
	r := l.ask(1, time.Second)
	if until := r.attempts[0].until; until.After(l.wall(r.Deadline - backstop - time.Millisecond)) {
		t.Errorf("the attempt may last until %v before the deadline", l.wall(r.Deadline).Sub(until))
	}
}

// While an attempt dials, its backend may be listed as draining, or its request
// may be answered. It must not be written then.
func TestLateDialSendsNothing(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(x *exchange){
		"draining": func(x *exchange) { x.to.ready.Store(false) },
		"answered": func(x *exchange) { x.permit.revoke() },
	} {
		got := make(chan int64, 1)
		addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
			n, _ := io.Copy(io.Discard, in)
			got <- n
		})
		x := &exchange{to: &backend{addr: addr}, addr: addr, msg: probeMessage(addr), until: time.Now().Add(patience)}
		x.to.ready.Store(true)
		spoil(x)
		r := x.run(context.Background(), patience, nil)
		if r.result != marlreel.Moot || r.conn == nil {
			t.Fatalf("%s: %+v", name, r)
		}
		r.conn.Close()
		if n := receive(t, got, "the end of the connection"); n != 0 {
			t.Errorf("%s: %d bytes went out", name, n)
		}
	}
}

// An answer takes the permit from attempts that are not yet written.
func TestAnswerRevokesUnsentAttempts(t *testing.T) {
	t.Parallel()
	l := stillLoop(t, ready("s-1", "127.0.0.1:1"))
	r := &request{answers: make(chan answer, 1), open: 1}
	a := &attempt{req: r}
	a.to, a.cancel = l.pool.backends[l.backendID("s-1")], func() {}
	r.attempts = []*attempt{a}
	l.do(func() { l.answer(r, ownAnswer(http.StatusBadGateway, "failed")) })
	if a.permit.use() || !a.done {
		t.Error("an unsent attempt may still go out after the answer, or has no outcome")
	}
}

// A machine that has vanished is silent. An attempt there ends by itself.
func TestSilenceIsATimeout(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	x := &exchange{to: &backend{addr: addr}, addr: addr, msg: probeMessage(addr), until: time.Now().Add(time.Second)}
	x.to.ready.Store(true)
	if r := x.run(context.Background(), patience, nil); r.result != marlreel.Timeout || r.conn != nil {
		t.Errorf("%+v", r)
	}
	receive(t, got, "the request")
}

// Every attempt has one outcome, a cancelled one too, and its place is given back.
func TestCancelClosesTheConnection(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	l := stillLoop(t, ready("s-1", addr))
	r := l.ask(1, time.Minute)
	receive(t, got, "the attempt")
	l.do(func() { l.gone(r) })
	if !r.attempts[0].done || r.open != 0 || len(l.requests) != 0 {
		t.Error("the cancelled attempt has no outcome")
	}
	l.do(receive(t, l.events, "the connection's end"))
	if l.pool.open != 0 {
		t.Errorf("%d connections are counted as open", l.pool.open)
	}
}

// Clients name their time themselves. What was answered must not stay in memory for it.
func TestAnsweredRequestsLeaveNothingBehind(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	l := stillLoop(t, ready("s-1", addr))
	before := len(l.timers)
	for range 20 {
		r := l.ask(1, longestSpan)
		for len(r.answers) == 0 {
			l.do(receive(t, l.events, "the attempt's end"))
		}
	}
	if n := len(l.timers) - before; n > 1 || len(l.requests) != 0 { // the module may have one of its own
		t.Errorf("%d timers and %d requests are left", n, len(l.requests))
	}
}

// Backends come under new names all day. The ones that have gone are forgotten.
func TestGoneBackendsAreForgotten(t *testing.T) {
	t.Parallel()
	l := stillLoop(t, ready("s-1", "127.0.0.1:1"))
	for i := range 50 {
		list := &endpointList{Generation: uint32(i + 2), Reset: true,
			Instances: []endpoint{ready(fmt.Sprintf("s-new-%d", i), "127.0.0.1:1")}}
		entries, err := list.check(l.cfg)
		if err != nil {
			t.Fatal(err)
		}
		l.do(func() { l.membership(marlreel.ListFull, list, entries) })
	}
	if len(l.ids) != 1 || len(l.pool.backends) != 1 {
		t.Errorf("%d names and %d backends are kept for a list of one", len(l.ids), len(l.pool.backends))
	}
}

// poolOf has n idle connections to a listener, oldest first, and the listener's ends of them.
func poolOf(t *testing.T, n int) (*pool, *backend, []net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	b := &backend{addr: ln.Addr().String()}
	b.ready.Store(true)
	p := &pool{most: n, maxIdle: 45 * time.Second, backends: map[marlreel.BackendID]*backend{0: b}}
	var far []net.Conn
	for i := range n {
		nc, err := net.Dial("tcp", b.addr)
		if err != nil {
			t.Fatal(err)
		}
		other, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close(); other.Close() })
		far = append(far, other)
		if !p.mayDial() {
			t.Fatal("no place for the connection")
		}
		p.put(b, &conn{Conn: nc, in: bufio.NewReader(nc)}, time.Duration(i)*time.Second)
	}
	return p, b, far
}

func TestPoolReusesTheMostRecentlyUsed(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 3)
	want := b.idle[2]
	if c := p.take(b, 3*time.Second); c != want {
		t.Error("not the most recently used")
	}
}

// A backend that closes behind its answer does so at once: a connection rests for a
// moment where another can be had.
func TestPoolLetsConnectionsRest(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2) // the younger idle since 1 s
	young, old := b.idle[1], b.idle[0]
	if c := p.take(b, time.Second+restFor/2); c != old {
		t.Error("the connection that was used just now was taken before the other")
	}
	if c := p.take(b, time.Second+restFor/2); c != young {
		t.Error("where there is no other, it is not taken")
	}
}

// A request on a connection that the backend closes for age at that moment may or
// may not have run.
func TestPoolRetiresBeforeTheBackendDoes(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if c := p.take(b, 46*time.Second); c != nil || p.open != 0 {
		t.Errorf("an old connection was taken, or %d are still counted", p.open)
	}
}

// A process that died has reset its connections: a request on one would be a
// reset, which may have run, where a new connection tells that it never did.
func TestPoolPassesOverDeadConnections(t *testing.T) {
	t.Parallel()
	p, b, far := poolOf(t, 2)
	want := b.idle[0]
	far[1].Close()
	eventually(t, "the end to arrive", func() bool { return !b.idle[1].alive() })
	if c := p.take(b, 2*time.Second); c != want {
		t.Error("the closed connection was not passed over")
	}
	// What nobody asked for belongs to no request.
	p.put(b, want, 2*time.Second)
	io.WriteString(far[0], okAnswer)
	eventually(t, "the noise to arrive", func() bool { return !want.alive() })
	if c := p.take(b, 2*time.Second); c != nil {
		t.Error("a connection with an answer to nothing was taken")
	}
}

// An idle connection outlives the deadline of the exchange that it served.
// When it did not, most were closed within a second, each for a new handshake.
func TestIdleConnectionOutlivesItsExchange(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	x := &exchange{to: &backend{addr: addr}, addr: addr, msg: probeMessage(addr), until: time.Now().Add(2 * time.Second)}
	x.to.ready.Store(true)
	r := x.run(context.Background(), patience, nil)
	if r.conn == nil {
		t.Fatalf("the connection was not kept: %+v", r)
	}
	defer r.conn.Close()
	time.Sleep(time.Until(x.until) + 10*time.Millisecond)
	if !r.conn.alive() {
		t.Error("a good idle connection looks dead once its last exchange's time has passed")
	}
}

func TestPoolIsBounded(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if !p.mayDial() || p.open != 2 || len(b.idle) != 1 {
		t.Errorf("with all places taken by idle ones: %d open, %d idle", p.open, len(b.idle))
	}
	p.take(b, 2*time.Second)
	if p.mayDial() {
		t.Error("a place was given beyond the bound")
	}
}

// 1xx answers come ahead of the answer; what follows the answer makes the connection useless.
func TestInterimAndSurplusAnswers(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+okAnswer+strings.Repeat("x", 10))
			readRequest(in)
		}
	})
	x := &exchange{to: &backend{addr: addr}, addr: addr, msg: probeMessage(addr), until: time.Now().Add(patience)}
	x.to.ready.Store(true)
	r := x.run(context.Background(), patience, nil)
	if r.result != marlreel.OK || string(r.body) != "served" || r.conn != nil {
		t.Errorf("%v %q, connection kept: %v", r.result, r.body, r.conn != nil)
	}
}

func TestLoadReport(t *testing.T) {
	t.Parallel()
	h := http.Header{}
	h.Set(headerLoad, `{"pending":2,"busy_reqs":7}`)
	if got := loadReport(h, []string{"busy_reqs", "pending"}); len(got) != 2 || got[0] != 7 || got[1] != 2 {
		t.Error(got)
	}
	h.Set(headerLoad, `{"pending":`)
	if got := loadReport(h, []string{"busy_reqs"}); got != nil {
		t.Error(got)
	}
}
