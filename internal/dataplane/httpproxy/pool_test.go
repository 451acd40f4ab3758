package httpproxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
)

// poolOf has n idle connections to a listener, oldest first, and the listener's ends of them.
func poolOf(t *testing.T, n int) (*pool, *engine.Backend, []net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	b := engine.NewBackend("s-1", ln.Addr().String(), true)
	p := &pool{
		maxOpen: n, maxIdle: 45 * time.Second, idle: map[*engine.Backend][]*backendConn{},
		model: connections.New(connections.DefaultConfig(3, 0.03)), meanUtility: 3,
	}
	var far []net.Conn
	for i := range n {
		nc, err := net.Dial("tcp", b.Addr)
		if err != nil {
			t.Fatal(err)
		}
		other, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close(); other.Close() })
		far = append(far, other)
		if !p.reserveDial() {
			t.Fatal("no place for the connection")
		}
		p.put(b, &backendConn{Conn: nc, reader: bufio.NewReader(nc)}, time.Duration(i)*time.Second)
	}
	return p, b, far
}

func TestPoolReusesTheMostRecentlyUsed(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 3)
	want := p.idle[b][2]
	if c := p.take(b, 3*time.Second, healthCheckStake); c != want {
		t.Error("not the most recently used")
	}
}

// A backend that closes behind its answer does so at once: a connection rests for a
// moment where another can be had.
func TestPoolRestTime(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2) // the younger idle since 1 s
	young, old := p.idle[b][1], p.idle[b][0]
	if c := p.take(b, time.Second+restTime/2, healthCheckStake); c != old {
		t.Error("the connection that was used just now was taken before the other")
	}
	if c := p.take(b, time.Second+restTime/2, healthCheckStake); c != young {
		t.Error("where there is no other, it is not taken")
	}
}

// A backend that turns a request away for its number of connections closes behind that
// answer. A bid right behind it would be a reset, which may have run; a listing may try.
func TestPoolAvoidsRejectedConnections(t *testing.T) {
	t.Parallel()
	bid, listing := connections.Request{Utility: 8}, connections.Request{Utility: 1, Effect: connections.Delayed}
	now := 2*time.Second + rejectedRestTime/2
	p, b, _ := poolOf(t, 2) // idle since 0 and 1 s
	p.maxOpen++
	young := p.idle[b][1]
	young.idleSince, young.lastRejected = 2*time.Second, true
	if c := p.take(b, now, bid); c == young || c == nil {
		t.Error("with another at hand, a bid got the one that turned away, or none")
	}
	if c := p.take(b, now, bid); c != nil {
		t.Error("with none but that one, a bid is not worth a new connection")
	}
	if len(p.idle[b]) != 1 || p.idle[b][0] != young {
		t.Fatal("the connection that turned away is lost")
	}
	if c := p.take(b, now, listing); c != young {
		t.Error("a listing does not take it")
	}
	p.put(b, young, 2*time.Second)
	if c := p.take(b, 2*time.Second+2*rejectedRestTime, bid); c != young {
		t.Error("after its time a bid does not take it")
	}
	p.put(b, young, 4*time.Second)
	p.maxOpen = p.open
	if c := p.take(b, 4*time.Second, bid); c != young {
		t.Error("where no other can be had, a bid does not take it")
	}
}

// A request on a connection that the backend closes for age at that moment may or
// may not have run.
func TestPoolClosesExpiredConnections(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if c := p.take(b, 46*time.Second, healthCheckStake); c != nil || p.open != 0 {
		t.Errorf("an old connection was taken, or %d are still counted", p.open)
	}
}

// A process that died has reset its connections: a request on one would be a
// reset, which may have run, where a new connection tells that it never did.
func TestPoolSkipsDeadConnections(t *testing.T) {
	t.Parallel()
	p, b, far := poolOf(t, 2)
	want := p.idle[b][0]
	far[1].Close()
	eventually(t, "the end to arrive", func() bool { return !p.idle[b][1].reusable() })
	if c := p.take(b, 2*time.Second, healthCheckStake); c != want {
		t.Error("the closed connection was not passed over")
	}
	// What nobody asked for belongs to no request.
	p.put(b, want, 2*time.Second)
	send(t, far[0], okAnswer)
	eventually(t, "the noise to arrive", func() bool { return !want.reusable() })
	if c := p.take(b, 2*time.Second, healthCheckStake); c != nil {
		t.Error("a connection with an answer to nothing was taken")
	}
}

func TestPoolMaxOpen(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if !p.reserveDial() || p.open != 2 || len(p.idle[b]) != 1 {
		t.Errorf("with all places taken by idle ones: %d open, %d idle", p.open, len(p.idle[b]))
	}
	p.take(b, 2*time.Second, healthCheckStake)
	if p.reserveDial() {
		t.Error("a place was given beyond the bound")
	}
}
