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
	if c := p.take(b, 3*time.Second, healthCheckRequest); c != want {
		t.Error("not the most recently used")
	}
}

// A backend that closes behind its answer does so at once: a connection rests for a
// moment where another can be had.
func TestPoolRestTime(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2) // the younger idle since 1 s
	young, old := p.idle[b][1], p.idle[b][0]
	if c := p.take(b, time.Second+restTime/2, healthCheckRequest); c != old {
		t.Error("the connection that was used just now was taken before the other")
	}
	if c := p.take(b, time.Second+restTime/2, healthCheckRequest); c != young {
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
	if c := p.take(b, 46*time.Second, healthCheckRequest); c != nil || p.open != 0 {
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
	if c := p.take(b, 2*time.Second, healthCheckRequest); c != want {
		t.Error("the closed connection was not passed over")
	}
	// What nobody asked for belongs to no request.
	p.put(b, want, 2*time.Second)
	send(t, far[0], okAnswer)
	eventually(t, "the noise to arrive", func() bool { return !want.reusable() })
	if c := p.take(b, 2*time.Second, healthCheckRequest); c != nil {
		t.Error("a connection with an answer to nothing was taken")
	}
}

func TestPoolMaxOpen(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if !p.reserveDial() || p.open != 2 || len(p.idle[b]) != 1 {
		t.Errorf("with all places taken by idle ones: %d open, %d idle", p.open, len(p.idle[b]))
	}
	p.take(b, 2*time.Second, healthCheckRequest)
	if p.reserveDial() {
		t.Error("a place was given beyond the bound")
	}
}

// suspendedPool is a pool of n idle connections to a backend whose connections must not be reused, by answers too many.
func suspendedPool(t *testing.T, n int) (p *pool, b *engine.Backend, far []net.Conn, surplus *int) {
	t.Helper()
	p, b, far = poolOf(t, n)
	p.keepAlive = connections.NewKeepAlive(connections.DefaultKeepAliveConfig())
	surplus = new(int)
	p.onSurplus = func(from *engine.Backend) {
		*surplus++
		p.keepAlive.RecordSurplus(10*time.Second, uint32(from.ID))
	}
	return p, b, far, surplus
}

// What has come on an idle connection is found when the connection is chosen; from then on none is used again, and
// those that come back are watched for a moment, counted for what comes, and closed.
func TestPoolWatchesConnectionsThatAreNotReused(t *testing.T) {
	t.Parallel()
	const now = 10 * time.Second
	p, b, far, surplus := suspendedPool(t, 2)
	kept := p.idle[b][0]
	send(t, far[1], okAnswer)
	eventually(t, "the surplus", func() bool { return !p.idle[b][1].reusable() })
	if c := p.take(b, now, healthCheckRequest); c != nil {
		t.Error("a connection is used again after an answer too many")
	}
	if *surplus != 1 || p.open != 1 {
		t.Fatalf("%d found, %d connections are open", *surplus, p.open)
	}
	delete(p.idle, b) // as if it had been in use meanwhile
	p.put(b, kept, now)
	if len(p.idle[b]) != 0 || len(p.watched) != 1 {
		t.Fatal("the connection is not watched")
	}
	send(t, far[0], okAnswer)
	eventually(t, "the surplus", func() bool { return !kept.reusable() })
	p.closeExpired(now + surplusWatch - 1)
	if len(p.watched) != 1 {
		t.Error("it is not watched for as long as it should be")
	}
	p.closeExpired(now + surplusWatch)
	if len(p.watched) != 0 || *surplus != 2 {
		t.Errorf("%d connections are still watched, %d found", len(p.watched), *surplus)
	}
}

// Watched connections are the first to go where a new one needs their place.
func TestPoolEvictsWatchedConnectionsFirst(t *testing.T) {
	t.Parallel()
	p, b, _, _ := suspendedPool(t, 2)
	first, second := p.idle[b][0], p.idle[b][1]
	p.idle[b] = p.idle[b][:1]
	p.keepAlive.RecordSurplus(time.Second, uint32(b.ID))
	p.put(b, second, time.Second)
	if !p.reserveDial() || len(p.watched) != 0 || len(p.idle[b]) != 1 || p.idle[b][0] != first {
		t.Errorf("watched: %d, idle: %d", len(p.watched), len(p.idle[b]))
	}
}

// A server that announces the end of an idle connection has not answered out of turn, nor one whose bytes form no answer.
func TestTimeoutNoticeIsNoSurplus(t *testing.T) {
	t.Parallel()
	for text, surplus := range map[string]bool{
		"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n": false, okAnswer: true, "HTT": true, "x": false, "HTTX/1.1": false,
	} {
		p, b, far := poolOf(t, 1)
		send(t, far[0], text)
		c := p.idle[b][0]
		eventually(t, "the bytes", func() bool { return !c.reusable() })
		if c.surplus != surplus {
			t.Errorf("%q counts as surplus: %t", text, c.surplus)
		}
	}
}

// A connection rests after a quick answer where another can be had, and is used where none can.
func TestPoolRestAfterAQuickAnswer(t *testing.T) {
	t.Parallel()
	const now = 3 * time.Second
	p, b, _ := poolOf(t, 2)
	p.maxOpen = 3 // one more can be had
	quick, other := p.idle[b][1], p.idle[b][0]
	quick.restUntil = now + time.Second
	if c := p.take(b, now, healthCheckRequest); c != other {
		t.Fatal("the connection that rests is used")
	}
	if c := p.take(b, now, healthCheckRequest); c != nil {
		t.Error("the connection that rests is used where a new one can be had")
	}
	p.maxOpen = p.open
	if c := p.take(b, now, healthCheckRequest); c != quick {
		t.Error("the connection that rests is not used where no other can be had")
	}
	p.put(b, quick, now)
	p.maxOpen = 3
	if c := p.take(b, now+2*time.Second, healthCheckRequest); c != quick || quick.restUntil != 0 {
		t.Error("the connection rests for longer than it should")
	}
}
