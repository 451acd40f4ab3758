package httpproxy

import (
	"container/list"
	"net"
	"runtime"
	"testing"
	"time"

	"marlreel/internal/sockets"
	"marlreel/internal/testutil"
)

// bounded is a clients listener, with a channel of what it accepts.
func bounded(t *testing.T, most int) (*clientConns, chan *clientConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cs, accepted := newClientConns(ln, most), make(chan *clientConn, 16)
	t.Cleanup(func() {
		cs.close()
		cs.Close()
	})
	go func() {
		for {
			c, err := cs.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*clientConn)
		}
	}()
	return cs, accepted
}

// connect opens a connection, and gives both ends.
func connect(t *testing.T, cs *clientConns) (near net.Conn, far *clientConn) {
	t.Helper()
	near = testutil.Dial(t, cs.Addr().String())
	eventually(t, "the connection to be taken", func() bool {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		for c := range cs.open {
			if c.RemoteAddr().String() == near.LocalAddr().String() {
				far = c
			}
		}
		return far != nil
	})
	return near, far
}

// aged makes a connection look as if nothing had come there for so long.
func aged(c *clientConn, d time.Duration) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.lastProgress = c.lastProgress.Add(-d)
}

// Connections that ask nothing once filled the bound, and nobody else was accepted any
// more; then those who wrote slowly went first. Now who makes room depends on what has come
// and how long ago.
func TestEvictionOrder(t *testing.T) {
	t.Parallel()
	const part, rest, silent = "part of a request", "between two requests", "nothing yet"
	for name, c := range map[string]struct {
		goes, stays string
		goesAfter   time.Duration
		staysAfter  time.Duration
	}{
		"who says nothing before who writes":        {silent, part, silentGrace, usualPause},
		"who says nothing before who rests":         {silent, rest, silentGrace, restedAfter / 2},
		"who has rested long before who writes":     {rest, part, restedAfter, usualPause},
		"who has stopped writing before who rests":  {part, rest, stalledAfter, 2 * restedAfter},
		"who has paused before who has just rested": {part, rest, usualPause, restedAfter / 2},
		"who rests before who has just connected":   {rest, silent, 0, silentGrace / 2},
		"of two who write, who has paused longer":   {part, part, usualPause / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cs, _ := bounded(t, 9)
			// Many others have a request in hand, and are out of the question.
			for range 7 {
				_, far := connect(t, cs)
				far.markBusy()
			}
			set := func(what string, age time.Duration) (net.Conn, *clientConn) {
				near, far := connect(t, cs)
				switch what {
				case part:
					send(t, near, "G")
					if _, err := far.Read(make([]byte, 1)); err != nil {
						t.Fatal(err)
					}
				case rest:
					far.markBusy()
					far.markIdle(true)
				}
				aged(far, age)
				return near, far
			}
			goes, _ := set(c.goes, c.goesAfter)
			_, stays := set(c.stays, c.staysAfter)
			connect(t, cs)
			testutil.Ends(t, goes, "the one that can best be spared")
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if stays.queuedIn == nil || len(cs.open) != 9 {
				t.Errorf("%d connections are kept", len(cs.open))
			}
		})
	}
}

// A connection with a request in hand is never closed for another: that loses it.
func TestServingConnectionsAreNotEvicted(t *testing.T) {
	t.Parallel()
	cs, _ := bounded(t, 1)
	near, held := connect(t, cs)
	held.markBusy()
	turnedAway := testutil.Dial(t, cs.Addr().String())
	testutil.Ends(t, turnedAway, "a connection beyond the bound")
	send(t, near, "x")
	if _, err := held.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the connection with a request in hand: %v", err)
	}
	held.markIdle(true)
	connect(t, cs)
	testutil.Ends(t, near, "the connection that is at rest again")
	if n := len(cs.open); n != 1 {
		t.Errorf("%d connections are counted", n)
	}
}

// A request that has come and is not read yet is taken: its connection is not silent.
func TestUnreadRequestsAreNotEvicted(t *testing.T) {
	t.Parallel()
	cs, _ := bounded(t, 2)
	asking, far := connect(t, cs)
	silent, _ := connect(t, cs)
	send(t, asking, "GET")
	eventually(t, "the bytes to arrive", func() bool { return !sockets.Idle(far.Conn) })
	connect(t, cs)
	testutil.Ends(t, silent, "the silent connection")
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection with an unread request: %v", err)
	}
}

// Who has said nothing is given to nobody; who says something is, also after the listener
// has been closed; and that is over when the last has ended.
func TestOnlyActiveConnectionsAreAccepted(t *testing.T) {
	t.Parallel()
	cs, accepted := bounded(t, 9)
	first, _ := connect(t, cs)
	second, _ := connect(t, cs)
	send(t, second, "G")
	if c := receive(t, accepted, "who has said something"); c.RemoteAddr().String() != second.LocalAddr().String() {
		t.Error("who has said nothing is accepted")
	}
	cs.Close()
	receive(t, cs.listenerClosed, "the listener's end")
	send(t, first, "G")
	c := receive(t, accepted, "who begins after the listener's end")
	if n, err := c.Read(make([]byte, 9)); n != 1 || err != nil {
		t.Errorf("%d %v", n, err)
	}
}

// A shutdown is over at once, and without an error, while connections are open that have said
// nothing; and it ends them.
func TestShutdownEndsSilentConnections(t *testing.T) {
	t.Parallel()
	front := stillEngine(t).front
	front.SetMaxConnections(9)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	silent := testutil.Dial(t, ln.Addr().String())
	eventually(t, "the connection to be taken", func() bool {
		front.conns.mu.Lock()
		defer front.conns.mu.Unlock()
		return front.conns.silent.Len() == 1
	})
	ln.Close()
	if err := front.Shutdown(t.Context()); err != nil {
		t.Errorf("the shutdown: %v", err)
	}
	_ = receive(t, served, "the end of Serve") // its error says that it was closed
	testutil.Ends(t, silent, "the silent connection")
}

// One that says nothing has no more time for its head than any other, however late it begins.
func TestHeadTimeoutIncludesSilence(t *testing.T) {
	t.Parallel()
	cs, accepted := bounded(t, 9)
	near, far := connect(t, cs)
	cs.mu.Lock()
	by := far.headDeadline
	cs.mu.Unlock()
	if left := time.Until(by); left > headTimeout {
		t.Fatalf("%v for a head", left)
	}
	send(t, near, "G")
	receive(t, accepted, "who has begun")
	far.headDeadline = time.Now().Add(-time.Second)
	if err := far.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	if _, err := far.Read(buf); !testutil.IsTimeout(err) {
		t.Errorf("a head after its time: %v", err)
	}
	if err := far.SetReadDeadline(time.Time{}); err != nil { // as net/http does once the head is complete
		t.Fatal(err)
	}
	if _, err := far.Read(buf); err != nil {
		t.Errorf("what follows the head: %v", err)
	}
}

// What a connection costs that has said nothing is a part of what it costs once something of a
// request has come, its other end here included in both.
func TestSilentConnectionsAreCheap(t *testing.T) {
	const many = 300
	front := stillEngine(t).front
	front.SetMaxConnections(2 * many)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	near := make([]net.Conn, many)
	before := inUse()
	for i := range near {
		if near[i], err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer near[i].Close()
	}
	open := func(in *list.List) func() bool {
		return func() bool {
			front.conns.mu.Lock()
			defer front.conns.mu.Unlock()
			return in.Len() == many
		}
	}
	eventually(t, "all to be taken", open(&front.conns.silent))
	silent := inUse()
	for _, c := range near {
		send(t, c, "G")
	}
	eventually(t, "all to be read", open(&front.conns.partial))
	begun := inUse()
	each := func(with uint64) float64 { return (float64(with) - float64(before)) / many }
	t.Logf("%.0f bytes each while they say nothing, %.0f when they have begun", each(silent), each(begun))
	if each(silent) > each(begun)/2 {
		t.Errorf("%.0f bytes for a connection that says nothing, %.0f for one that has begun", each(silent), each(begun))
	}
	front.conns.close()
	front.server.Close()
	_ = receive(t, served, "the end") // its error says that it was closed
}

// inUse is the memory of heap and stacks that is in use.
func inUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
