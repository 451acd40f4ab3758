package httpproxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
)

// poolOf returns a pool of n idle connections to a listener, the oldest first, and the listener's ends of them.
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
			t.Fatal("the connection limit is reached")
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
		t.Error("took another than the most recently used")
	}
}

// A backend that closes the connection after its answer does so at once: a connection is not
// reused within restTime if there is another.
func TestPoolRestTime(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2) // the more recently used one is idle since 1 s
	young, old := p.idle[b][1], p.idle[b][0]
	if c := p.take(b, time.Second+restTime/2, healthCheckRequest); c != old {
		t.Error("the connection that was just used was taken before the other")
	}
	if c := p.take(b, time.Second+restTime/2, healthCheckRequest); c != young {
		t.Error("the connection that was just used was not taken as the only one")
	}
}

// A backend that rejects a request because it has too many connections closes the connection after that
// answer. A bid written right then would be reset and may have run; a listing, which may be retried, may use it.
func TestPoolAvoidsRejectedConnections(t *testing.T) {
	t.Parallel()
	bid, listing := connections.Request{Utility: 8}, connections.Request{Utility: 1, Effect: connections.Delayed}
	now := 2*time.Second + rejectedRestTime/2
	p, b, _ := poolOf(t, 2) // idle since 0 and 1 s
	p.maxOpen++
	young := p.idle[b][1]
	young.idleSince, young.lastRejected = 2*time.Second, true
	if c := p.take(b, now, bid); c == young || c == nil {
		t.Error("with another available, a bid got the rejected connection, or none")
	}
	if c := p.take(b, now, bid); c != nil {
		t.Error("with only the rejected connection idle, a bid got it instead of a new one")
	}
	if len(p.idle[b]) != 1 || p.idle[b][0] != young {
		t.Fatal("the rejected connection is no longer in the pool")
	}
	if c := p.take(b, now, listing); c != young {
		t.Error("a listing did not get the rejected connection")
	}
	p.put(b, young, 2*time.Second)
	if c := p.take(b, 2*time.Second+2*rejectedRestTime, bid); c != young {
		t.Error("after rejectedRestTime a bid did not get the rejected connection")
	}
	p.put(b, young, 4*time.Second)
	p.maxOpen = p.open
	if c := p.take(b, 4*time.Second, bid); c != young {
		t.Error("at the connection limit, a bid did not get the rejected connection")
	}
}

// A request on a connection that the backend closes at that moment, after a long idle time,
// may or may not have run.
func TestPoolClosesExpiredConnections(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if c := p.take(b, 46*time.Second, healthCheckRequest); c != nil || p.open != 0 {
		t.Errorf("an expired connection was taken, or %d still count as open", p.open)
	}
}

// A crashed backend has reset its connections. A request on one of them would be reset and
// may have run, while a failure to open a new connection proves that it did not.
func TestPoolSkipsDeadConnections(t *testing.T) {
	t.Parallel()
	p, b, far := poolOf(t, 2)
	want := p.idle[b][0]
	far[1].Close()
	eventually(t, "the end to arrive", func() bool { return !p.idle[b][1].reusable() })
	if c := p.take(b, 2*time.Second, healthCheckRequest); c != want {
		t.Error("the closed connection was not skipped")
	}
	// An unsolicited answer belongs to no request.
	p.put(b, want, 2*time.Second)
	send(t, far[0], okAnswer)
	eventually(t, "the unsolicited answer to arrive", func() bool { return !want.reusable() })
	if c := p.take(b, 2*time.Second, healthCheckRequest); c != nil {
		t.Error("a connection with an unsolicited answer was taken")
	}
}

func TestPoolMaxOpen(t *testing.T) {
	t.Parallel()
	p, b, _ := poolOf(t, 2)
	if !p.reserveDial() || p.open != 2 || len(p.idle[b]) != 1 {
		t.Errorf("after a dial at the limit: %d open, %d idle", p.open, len(p.idle[b]))
	}
	p.take(b, 2*time.Second, healthCheckRequest)
	if p.reserveDial() {
		t.Error("a dial beyond the limit was allowed")
	}
}

// suspendedPool returns a pool of n idle connections to a backend, in which a surplus answer suspends their reuse. surplus
// counts those answers.
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

// A surplus answer on an idle connection is found when the connection is chosen. From then on no connection is reused;
// those that are returned are watched for surplusWatch, checked for surplus answers, and closed.
func TestPoolWatchesConnectionsThatAreNotReused(t *testing.T) {
	t.Parallel()
	const now = 10 * time.Second
	p, b, far, surplus := suspendedPool(t, 2)
	kept := p.idle[b][0]
	send(t, far[1], okAnswer)
	eventually(t, "the surplus", func() bool { return !p.idle[b][1].reusable() })
	if c := p.take(b, now, healthCheckRequest); c != nil {
		t.Error("a connection is reused after a surplus answer")
	}
	if *surplus != 1 || p.open != 1 {
		t.Fatalf("%d surplus answers found, %d connections are open", *surplus, p.open)
	}
	delete(p.idle, b) // as if kept had been in use in the meantime
	p.put(b, kept, now)
	if len(p.idle[b]) != 0 || len(p.watched) != 1 {
		t.Fatal("the connection is not watched")
	}
	send(t, far[0], okAnswer)
	eventually(t, "the surplus", func() bool { return !kept.reusable() })
	p.closeExpired(now + surplusWatch - 1)
	if len(p.watched) != 1 {
		t.Error("the connection is not watched for surplusWatch")
	}
	p.closeExpired(now + surplusWatch)
	if len(p.watched) != 0 || *surplus != 2 {
		t.Errorf("%d connections are still watched, %d surplus answers found", len(p.watched), *surplus)
	}
}

// Watched connections are closed first when the limit is reached.
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

// A server that announces the close of an idle connection has not sent a surplus answer, nor has one whose bytes form no
// answer.
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

// After a quick answer a connection is not reused until restUntil, unless no other can be had.
func TestPoolRestAfterAQuickAnswer(t *testing.T) {
	t.Parallel()
	const now = 3 * time.Second
	p, b, _ := poolOf(t, 2)
	p.maxOpen = 3 // one more can be had
	quick, other := p.idle[b][1], p.idle[b][0]
	quick.restUntil = now + time.Second
	if c := p.take(b, now, healthCheckRequest); c != other {
		t.Fatal("the resting connection is used")
	}
	if c := p.take(b, now, healthCheckRequest); c != nil {
		t.Error("the resting connection is used although a new one can be opened")
	}
	p.maxOpen = p.open
	if c := p.take(b, now, healthCheckRequest); c != quick {
		t.Error("the resting connection is not used although no other can be had")
	}
	p.put(b, quick, now)
	p.maxOpen = 3
	if c := p.take(b, now+2*time.Second, healthCheckRequest); c != quick || quick.restUntil != 0 {
		t.Error("the connection rests for longer than it should")
	}
}
