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

// bounded returns a client connection table with a limit, and a channel of the connections that it accepts.
func bounded(t *testing.T, limit int) (*clientConns, chan *clientConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cs, accepted := newClientConns(ln, limit), make(chan *clientConn, 16)
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

// connect opens a connection and returns both ends.
func connect(t *testing.T, cs *clientConns) (near net.Conn, far *clientConn) {
	t.Helper()
	near = testutil.Dial(t, cs.Addr().String())
	eventually(t, "the connection to be accepted", func() bool {
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

// aged moves the last progress of a connection into the past by d.
func aged(c *clientConn, d time.Duration) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.lastProgress = c.lastProgress.Add(-d)
}

// Guards against two failures at the connection limit: connections without requests kept all others out,
// and slowly writing clients were evicted first. Which connection is evicted depends on what it has sent and
// how long ago.
func TestEvictionOrder(t *testing.T) {
	t.Parallel()
	const part, idle, silent = "part of a request", "between two requests", "nothing yet"
	for name, c := range map[string]struct {
		evicted, kept string
		evictedAge    time.Duration
		keptAge       time.Duration
	}{
		"silent before writing":             {silent, part, silentGrace, usualPause},
		"silent before idle":                {silent, idle, silentGrace, restedAfter / 2},
		"long idle before writing":          {idle, part, restedAfter, usualPause},
		"stalled request before idle":       {part, idle, stalledAfter, 2 * restedAfter},
		"paused request before just idle":   {part, idle, usualPause, restedAfter / 2},
		"idle before just connected":        {idle, silent, 0, silentGrace / 2},
		"the longer paused of two requests": {part, part, usualPause / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cs, _ := bounded(t, 9)
			// The other connections are serving requests and can't be evicted.
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
				case idle:
					far.markBusy()
					far.markIdle(true)
				}
				aged(far, age)
				return near, far
			}
			evicted, _ := set(c.evicted, c.evictedAge)
			_, kept := set(c.kept, c.keptAge)
			connect(t, cs)
			testutil.Ends(t, evicted, "the connection to be evicted")
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if kept.queuedIn == nil || len(cs.open) != 9 {
				t.Errorf("the wrong connection was evicted, or %d connections are open", len(cs.open))
			}
		})
	}
}

// A connection that is serving a request must never be evicted, as its answer would be lost.
func TestServingConnectionsAreNotEvicted(t *testing.T) {
	t.Parallel()
	cs, _ := bounded(t, 1)
	near, serving := connect(t, cs)
	serving.markBusy()
	rejected := testutil.Dial(t, cs.Addr().String())
	testutil.Ends(t, rejected, "a connection beyond the limit")
	send(t, near, "x")
	if _, err := serving.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the connection that is serving a request: %v", err)
	}
	serving.markIdle(true)
	connect(t, cs)
	testutil.Ends(t, near, "the connection that is idle again")
	if n := len(cs.open); n != 1 {
		t.Errorf("%d connections are open", n)
	}
}

// A connection with an unread request is not silent and must not be evicted as such.
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

// Accept must return only connections on which something has been received, also after the listener
// has been closed.
func TestOnlyActiveConnectionsAreAccepted(t *testing.T) {
	t.Parallel()
	cs, accepted := bounded(t, 9)
	first, _ := connect(t, cs)
	second, _ := connect(t, cs)
	send(t, second, "G")
	if c := receive(t, accepted, "the connection with bytes"); c.RemoteAddr().String() != second.LocalAddr().String() {
		t.Error("a silent connection is accepted")
	}
	cs.Close()
	receive(t, cs.listenerClosed, "the listener's end")
	send(t, first, "G")
	c := receive(t, accepted, "the connection with bytes after the listener's close")
	if n, err := c.Read(make([]byte, 9)); n != 1 || err != nil {
		t.Errorf("%d %v", n, err)
	}
}

// A shutdown must end silent connections, and return at once and without an error.
func TestShutdownEndsSilentConnections(t *testing.T) {
	t.Parallel()
	front := newManualEngine(t).front
	front.SetMaxConnections(9)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	silent := testutil.Dial(t, ln.Addr().String())
	eventually(t, "the connection to be accepted", func() bool {
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

// The time for a request's head includes the silence before it: a client that starts late gets no more time than others.
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
	receive(t, accepted, "the connection with bytes")
	far.headDeadline = time.Now().Add(-time.Second)
	if err := far.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	if _, err := far.Read(buf); !testutil.IsTimeout(err) {
		t.Errorf("a head after its deadline: %v", err)
	}
	if err := far.SetReadDeadline(time.Time{}); err != nil { // as net/http does once the head is complete
		t.Fatal(err)
	}
	if _, err := far.Read(buf); err != nil {
		t.Errorf("bytes after the head: %v", err)
	}
}

// A silent connection must cost at most half the memory of one on which part of a request has arrived.
// Both figures include the client's end, which is in this process too.
func TestSilentConnectionsAreCheap(t *testing.T) {
	const many = 300
	front := newManualEngine(t).front
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
	eventually(t, "all to be accepted", open(&front.conns.silent))
	silent := inUse()
	for _, c := range near {
		send(t, c, "G")
	}
	eventually(t, "all to be read", open(&front.conns.partial))
	begun := inUse()
	each := func(with uint64) float64 { return (float64(with) - float64(before)) / many }
	t.Logf("%.0f bytes per silent connection, %.0f with part of a request", each(silent), each(begun))
	if each(silent) > each(begun)/2 {
		t.Errorf("%.0f bytes for a silent connection, %.0f for one with part of a request", each(silent), each(begun))
	}
	front.conns.close()
	front.server.Close()
	_ = receive(t, served, "the end") // its error says that it was closed
}

// inUse returns the bytes of heap and stacks in use.
func inUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
