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

// Every attempt, also a cancelled one, gets one outcome, but only after its connection has been closed and no longer counts
// as open.
func TestCancelClosesTheConnection(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	l := newManualEngine(t, ready("s-1", addr))
	r := l.startCall(1, time.Minute)
	receive(t, got, "the attempt")
	l.Dispatch(func() { l.HandleClientGone(&r.Call) })
	if r.Attempts()[0].Ended() {
		t.Error("the attempt has ended before its connection was closed")
	}
	l.Dispatch(receive(t, l.Events(), "the connection's end"))
	if !r.Attempts()[0].Ended() || l.OpenCalls() != 0 {
		t.Error("the cancelled attempt has no outcome")
	}
	if l.carrier.pool.open != 0 {
		t.Errorf("%d connections are counted as open", l.carrier.pool.open)
	}
}

// Clients choose their timeout, up to an hour. State of an answered request must not stay in memory until then.
func TestAnsweredRequestsLeaveNothingBehind(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	l := newManualEngine(t, ready("s-1", addr))
	before := l.TimerCount()
	for range 20 {
		r := l.startCall(1, maxSpan)
		for len(r.answers) == 0 {
			l.Dispatch(receive(t, l.Events(), "the attempt's end"))
		}
	}
	if n := l.TimerCount() - before; n > 1 || l.OpenCalls() != 0 { // the balancer may have a timer of its own
		t.Errorf("%d timers and %d requests are left", n, l.OpenCalls())
	}
}

// Backends are replaced all the time, some at the address of one that has left. State kept
// for backends must not grow with their number, and a connection must only be used for the
// backend that it was opened to.
func TestReplacedBackendsLeaveNothing(t *testing.T) {
	t.Parallel()
	addr, conns := testutil.Counting(t, "s")
	l := newManualEngine(t, ready("s-0", addr))
	serve := func() {
		r := l.startCall(1, time.Minute)
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

// While an attempt runs, its backend may be replaced by another at the same address: the
// connection must be closed and not be reused for the new backend.
func TestConnectionDoesNotOutliveItsBackend(t *testing.T) {
	t.Parallel()
	came, answer := make(chan struct{}, 1), make(chan struct{})
	closed := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			came <- struct{}{}
			<-answer
			_, _ = io.WriteString(c, okAnswer)
			_, _ = in.ReadByte()
			close(closed)
		}
	})
	l := newManualEngine(t, ready("s-1", addr))
	r := l.startCall(1, time.Minute)
	receive(t, came, "the attempt")
	l.Dispatch(func() {
		l.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 2, Entries: []engine.Entry{ready("s-2", addr)}})
	})
	close(answer)
	l.Dispatch(receive(t, l.Events(), "the attempt's end"))
	if a := receive(t, r.answers, "the answer"); a.status != 200 {
		t.Errorf("the running attempt ended with %d", a.status)
	}
	receive(t, closed, "the connection's end")
	if l.carrier.pool.model.Backends() != 0 || len(l.carrier.lastOK) != 0 {
		t.Errorf("state of a backend that has left: %d in the model, %d last answers", l.carrier.pool.model.Backends(), len(l.carrier.lastOK))
	}
	if l.carrier.pool.open != 0 {
		t.Errorf("%d connections are kept", l.carrier.pool.open)
	}
}

// The names of load report values and the utility of a request must follow the current settings, not the initial ones.
func TestCarrierReconfigure(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t)
	next := testutil.Module(t)
	for i := range next.Classes {
		next.Classes[i].Value *= 4
	}
	before := l.carrier.pool.meanUtility
	if err := l.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	l.carrier.Reconfigure([]string{"pending"})
	if l.carrier.pool.meanUtility != 4*before || len(l.carrier.loadMetrics) != 1 {
		t.Errorf("mean utility %v, was %v; load reports are read for %q", l.carrier.pool.meanUtility, before, l.carrier.loadMetrics)
	}
}
