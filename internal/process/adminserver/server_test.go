package adminserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marlreel/internal/testutil"
)

const maxTestConnections = 8

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, ready *atomic.Bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(ready.Load, func(b []byte) []byte { return append(b, "proxy.outstanding:0|g\n"...) }, maxTestConnections)
	done := make(chan error, 1)
	go func() { done <- d.Serve(ln) }()
	t.Cleanup(func() {
		d.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// answer is a response whose body has been read.
type answer struct {
	status int
	allow  string
	closes bool
	body   string
}

func call(t *testing.T, addr, text string) answer {
	t.Helper()
	c := testutil.Dial(t, addr)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{status: resp.StatusCode, allow: resp.Header.Get("Allow"), closes: resp.Close, body: string(body)}
}

func TestRequests(t *testing.T) {
	t.Parallel()
	var ready atomic.Bool
	addr := startServer(t, &ready)
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n" }
	for _, c := range []struct {
		name, text string
		ready      bool
		status     int
		body       string
	}{
		{"not ready yet", get("/control/ready"), false, 503, "not ready\n"},
		{"ready", get("/control/ready"), true, 200, "ready\n"},
		{"metrics", get("/control/counters"), false, 200, "proxy.outstanding:0|g\n"},
		{"another path", get("/control"), true, 404, ""},
		{"another method", "POST /control/ready HTTP/1.1\r\nHost: n0\r\nContent-Length: 3\r\n\r\nabc", true, 405, ""},
		{"not HTTP", "\x16\x03\x01\r\n\r\n", true, 400, ""},
		{"an endless head", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeadBytes), true, 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready.Store(c.ready)
			got := call(t, addr, c.text)
			if got.status != c.status || c.body != "" && got.body != c.body || !got.closes {
				t.Errorf("%d %q, close %v", got.status, got.body, got.closes)
			}
			if (c.status == 405) != (got.allow == "GET") {
				t.Errorf("Allow %q", got.allow)
			}
		})
	}
}

// Connections without a complete request are closed to admit new ones, oldest first, and none stays open for good.
func TestIncompleteRequestsAreClosedForNewOnes(t *testing.T) {
	t.Parallel()
	var ready atomic.Bool
	ready.Store(true)
	addr := startServer(t, &ready)
	var incomplete []net.Conn
	for i := range 3 * maxTestConnections {
		c := testutil.Dial(t, addr)
		if i%2 == 1 {
			if _, err := fmt.Fprint(c, "GET /control/re"); err != nil {
				t.Fatal(err)
			}
		}
		incomplete = append(incomplete, c)
		got := call(t, addr, "GET /control/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
		if got.status != 200 {
			t.Fatalf("status with %d incomplete requests open: %d", len(incomplete), got.status)
		}
	}
	for i, c := range incomplete {
		if err := c.SetReadDeadline(time.Now().Add(testutil.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, c); testutil.IsTimeout(err) { // half a request may get an error response first
			t.Errorf("connection %d is still open: %v", i, err)
		}
	}
}
