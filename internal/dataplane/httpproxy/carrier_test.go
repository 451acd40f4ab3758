package httpproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testutil"
)

// Every attempt has one outcome, a cancelled one too, and its place is given back.
func TestCancelClosesTheConnection(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	l := stillEngine(t, ready("s-1", addr))
	r := l.ask(1, time.Minute)
	receive(t, got, "the attempt")
	l.Dispatch(func() { l.HandleClientGone(&r.Call) })
	if r.Attempts()[0].Ended() {
		t.Error("the attempt has ended, and its connection has not: it is still out")
	}
	l.Dispatch(receive(t, l.Events(), "the connection's end"))
	if !r.Attempts()[0].Ended() || l.OpenCalls() != 0 {
		t.Error("the cancelled attempt has no outcome")
	}
	if l.carrier.pool.open != 0 {
		t.Errorf("%d connections are counted as open", l.carrier.pool.open)
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
	l := stillEngine(t, ready("s-1", addr))
	before := l.TimerCount()
	for range 20 {
		r := l.ask(1, longestSpan)
		for len(r.answers) == 0 {
			l.Dispatch(receive(t, l.Events(), "the attempt's end"))
		}
	}
	if n := l.TimerCount() - before; n > 1 || l.OpenCalls() != 0 { // the module may have one of its own
		t.Errorf("%d timers and %d requests are left", n, l.OpenCalls())
	}
}

// Backends are replaced all day, some at the address of one that has gone. What is
// kept for them must not grow with their number, and a connection belongs to the one
// that it was opened to.
func TestReplacedBackendsLeaveNothing(t *testing.T) {
	t.Parallel()
	addr, conns := testutil.Counting(t, "s")
	l := stillEngine(t, ready("s-0", addr))
	serve := func() {
		r := l.ask(1, time.Minute)
		for len(r.answers) == 0 {
			l.Dispatch(receive(t, l.Events(), "the attempt's end"))
		}
		if a := <-r.answers; a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	serve()
	const replaced = 3000
	for i := range replaced {
		gone := engine.Entry{Name: fmt.Sprintf("s-%d", i), State: balancer.Gone}
		list := engine.Membership{Kind: balancer.MembershipDelta, Version: uint32(i + 2), Entries: []engine.Entry{gone, ready(fmt.Sprintf("s-%d", i+1), addr)}}
		l.Dispatch(func() { l.ApplyMembership(list) })
		if i < 3 {
			serve()
			if n := conns.Load(); n != int64(i+2) {
				t.Fatalf("%d connections for %d backends at one address", n, i+2)
			}
		}
	}
	backends := 0
	l.EachBackend(func(*engine.Backend) { backends++ })
	if l.KnownNames() != 1 || backends != 1 || l.OpenCalls() != 0 || l.DeferredCount() != 0 || l.carrier.pool.open != 0 ||
		len(l.carrier.pool.idle) != 0 || l.TimerCount() > 3 {
		t.Errorf("kept: %d names, %d backends, %d requests, %d events, %d connections, %d timers", l.KnownNames(), backends,
			l.OpenCalls(), l.DeferredCount(), l.carrier.pool.open, l.TimerCount())
	}
}

// While one attempt runs, its backend may be replaced at its own address: the
// connection then belongs to nobody and is closed.
func TestAConnectionDoesNotOutliveItsBackend(t *testing.T) {
	t.Parallel()
	came, answer := make(chan struct{}, 1), make(chan struct{})
	closed := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			came <- struct{}{}
			<-answer
			io.WriteString(c, okAnswer)
			in.ReadByte()
			close(closed)
		}
	})
	l := stillEngine(t, ready("s-1", addr))
	r := l.ask(1, time.Minute)
	receive(t, came, "the attempt")
	l.Dispatch(func() {
		l.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 2, Entries: []engine.Entry{ready("s-2", addr)}})
	})
	close(answer)
	l.Dispatch(receive(t, l.Events(), "the attempt's end"))
	if a := receive(t, r.answers, "the answer"); a.status != 200 {
		t.Errorf("the attempt in hand ended with %d", a.status)
	}
	receive(t, closed, "the connection's end")
	if l.carrier.pool.model.Backends() != 0 || len(l.carrier.lastOK) != 0 {
		t.Errorf("kept of one that has left: %d in the model, %d last answers", l.carrier.pool.model.Backends(), len(l.carrier.lastOK))
	}
	if l.carrier.pool.open != 0 {
		t.Errorf("%d connections are kept", l.carrier.pool.open)
	}
}

// What load reports hold and what a handshake is worth is what the settings in force say, not those of the start.
func TestTheCarrierFollowsTheSettings(t *testing.T) {
	t.Parallel()
	l := stillEngine(t)
	next := testutil.Module(t)
	for i := range next.Classes {
		next.Classes[i].Value *= 4
	}
	before := l.carrier.pool.worth
	if err := l.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	l.carrier.Tune([]string{"pending"})
	if l.carrier.pool.worth != 4*before || len(l.carrier.report) != 1 {
		t.Errorf("worth %v, was %v; reports are read for %q", l.carrier.pool.worth, before, l.carrier.report)
	}
}
