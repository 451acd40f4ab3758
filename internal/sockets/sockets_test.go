package sockets

import (
	"net"
	"testing"
	"time"
)

// connected returns both ends of a TCP connection.
func connected(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestInspection(t *testing.T) {
	t.Parallel()
	write := func(t *testing.T, conn net.Conn) {
		t.Helper()
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name                string
		happens             func(t *testing.T, near, far *net.TCPConn)
		idle, peerConnected bool
	}{
		{"nothing", func(*testing.T, *net.TCPConn, *net.TCPConn) {}, true, true},
		{"bytes", func(t *testing.T, _, far *net.TCPConn) { write(t, far) }, false, true},
		{"the peer closes", func(_ *testing.T, _, far *net.TCPConn) { far.Close() }, false, false},
		{"bytes, and the peer closes", func(t *testing.T, _, far *net.TCPConn) { write(t, far); far.Close() }, false, false},
		{"the peer resets", func(t *testing.T, _, far *net.TCPConn) {
			if err := far.SetLinger(0); err != nil {
				t.Fatal(err)
			}
			far.Close()
		}, false, false},
		{"closed here", func(_ *testing.T, near, _ *net.TCPConn) { near.Close() }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			near, far := connected(t)
			c.happens(t, near, far)
			asWanted := func() bool { return Idle(near) == c.idle && PeerConnected(near) == c.peerConnected }
			for deadline := time.Now().Add(5 * time.Second); !asWanted() && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if idle, connected := Idle(near), PeerConnected(near); idle != c.idle || connected != c.peerConnected {
				t.Errorf("idle %v, peer connected %v; want %v and %v", idle, connected, c.idle, c.peerConnected)
			}
		})
	}
}

// A connection without a socket can't be inspected, and counts as idle and connected.
func TestConnectionWithoutSocket(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	if !Idle(near) || !PeerConnected(near) {
		t.Error("a pipe doesn't count as idle and connected")
	}
}

func TestIdleAllocations(t *testing.T) {
	near, _ := connected(t)
	if n := testing.AllocsPerRun(200, func() { Idle(near) }); n > 3 { // for the closures and the raw connection
		t.Errorf("%v allocations", n)
	}
}
