package adminserver

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/testing/recorded"
	"marlreel/internal/testutil"
)

// Checks the admin endpoint's responses byte for byte.
func TestCompatibilityAnswers(t *testing.T) {
	var ready atomic.Bool
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(ready.Load, func(b []byte) []byte { return append(b, "proxy.outstanding:0|g\n"...) }, maxTestConnections)
	d.Handle("/control/discovery", func() (int, []byte) { return 200, []byte("{}\n") })
	done := make(chan error, 1)
	go func() { done <- d.Serve(ln) }()
	defer func() {
		d.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	var got strings.Builder
	for _, c := range []struct {
		call  string
		ready bool
	}{
		{"GET /control/ready", false},
		{"GET /control/ready", true},
		{"GET /control/counters", true},
		{"GET /control/discovery", true},
		{"GET /control/fleet", true},
		{"GET /", true},
		{"POST /control/ready", true},
		{"HEAD /control/counters", true},
		{"nonsense", true},
	} {
		ready.Store(c.ready)
		conn := testutil.Dial(t, ln.Addr().String())
		if err := conn.SetReadDeadline(time.Now().Add(testutil.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: n0\r\n\r\n", c.call); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if err != nil {
			t.Fatalf("%s: %v", c.call, err)
		}
		fmt.Fprintf(&got, "--- %s, ready %v\n%s", c.call, c.ready, strings.ReplaceAll(string(answer), "\r\n", "\\r\\n\n"))
	}
	recorded.Check(t, "answers.txt", got.String())
}
