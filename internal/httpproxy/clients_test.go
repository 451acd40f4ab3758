package httpproxy

import (
	"io"
	"net"
	"testing"

	"marlreel/internal/testutil"
)

// bounded is a clients listener, with a channel of what it accepts.
func bounded(t *testing.T, most int) (*clients, chan *client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cs, accepted := newClients(ln, most), make(chan *client, 16)
	t.Cleanup(func() { cs.Close() })
	go func() {
		for {
			c, err := cs.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*client)
		}
	}()
	return cs, accepted
}

// connect opens a connection, and gives both ends.
func connect(t *testing.T, cs *clients, accepted chan *client) (net.Conn, *client) {
	t.Helper()
	c := testutil.Dial(t, cs.Addr().String())
	return c, receive(t, accepted, "a connection")
}

// Connections that ask nothing once filled the bound, and nobody else was accepted
// any more. Now the one that has been silent the longest makes room.
func TestTheLongestSilentMakesRoom(t *testing.T) {
	t.Parallel()
	cs, accepted := bounded(t, 3)
	first, _ := connect(t, cs, accepted)
	_, second := connect(t, cs, accepted)
	second.busy()
	second.rest(true) // between two requests: worth more than one that never asked
	third, _ := connect(t, cs, accepted)
	connect(t, cs, accepted)
	testutil.Ends(t, first, "the longest silent connection")
	connect(t, cs, accepted)
	testutil.Ends(t, third, "the next silent one")
	if second.in != &cs.idle || len(cs.open) != 3 {
		t.Errorf("%d connections are kept", len(cs.open))
	}
}

// A connection with a request in hand is never closed for another: that loses it.
func TestRequestsInHandKeepTheirConnections(t *testing.T) {
	t.Parallel()
	cs, accepted := bounded(t, 1)
	near, held := connect(t, cs, accepted)
	held.busy()
	turnedAway := testutil.Dial(t, cs.Addr().String())
	testutil.Ends(t, turnedAway, "a connection beyond the bound")
	io.WriteString(near, "x")
	if _, err := held.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the connection with a request in hand: %v", err)
	}
	held.rest(true)
	connect(t, cs, accepted)
	testutil.Ends(t, near, "the connection that is at rest again")
	if n := len(cs.open); n != 1 {
		t.Errorf("%d connections are counted", n)
	}
}

// A request that has come and is not read yet is taken: its connection is not silent.
func TestUnreadRequestsAreNotSilent(t *testing.T) {
	t.Parallel()
	cs, accepted := bounded(t, 2)
	asking, far := connect(t, cs, accepted)
	silent, _ := connect(t, cs, accepted)
	io.WriteString(asking, "GET")
	eventually(t, "the bytes to arrive", func() bool { return !quiet(far.Conn) })
	connect(t, cs, accepted)
	testutil.Ends(t, silent, "the silent connection")
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection with an unread request: %v", err)
	}
}
