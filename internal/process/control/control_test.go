package control

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

const callers = 8

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func open(t *testing.T, ready *atomic.Bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(ready.Load, func(b []byte) []byte { return append(b, "proxy.outstanding:0|g\n"...) }, callers)
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

func call(t *testing.T, addr, text string) (*http.Response, string) {
	t.Helper()
	c := testutil.Dial(t, addr)
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestCalls(t *testing.T) {
	t.Parallel()
	var ready atomic.Bool
	addr := open(t, &ready)
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n" }
	for _, c := range []struct {
		name, text string
		ready      bool
		status     int
		body       string
	}{
		{"not ready yet", get("/control/ready"), false, 503, "not ready\n"},
		{"ready", get("/control/ready"), true, 200, "ready\n"},
		{"figures", get("/control/counters"), false, 200, "proxy.outstanding:0|g\n"},
		{"another path", get("/control"), true, 404, ""},
		{"another method", "POST /control/ready HTTP/1.1\r\nHost: n0\r\nContent-Length: 3\r\n\r\nabc", true, 405, ""},
		{"noise", "\x16\x03\x01\r\n\r\n", true, 400, ""},
		{"an endless head", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*longestHead), true, 400, ""},
	} {
		ready.Store(c.ready)
		resp, body := call(t, addr, c.text)
		if resp.StatusCode != c.status || c.body != "" && body != c.body || !resp.Close {
			t.Errorf("%s: %d %q, close %v", c.name, resp.StatusCode, body, resp.Close)
		}
		if allow := resp.Header.Get("Allow"); (c.status == 405) != (allow == "GET") {
			t.Errorf("%s: Allow %q", c.name, allow)
		}
	}
}

// Callers that hold their connections and say nothing are closed for the new one, the
// oldest first, and none is held for good.
func TestCallersWithoutACallKeepNobodyOut(t *testing.T) {
	t.Parallel()
	var ready atomic.Bool
	ready.Store(true)
	addr := open(t, &ready)
	var held []net.Conn
	for i := range 3 * callers {
		c := testutil.Dial(t, addr)
		if i%2 == 1 {
			fmt.Fprint(c, "GET /control/re")
		}
		held = append(held, c)
		if resp, _ := call(t, addr, "GET /control/ready HTTP/1.1\r\nHost: n0\r\n\r\n"); resp.StatusCode != 200 {
			t.Fatalf("beside %d: %d", len(held), resp.StatusCode)
		}
	}
	for i, c := range held {
		c.SetReadDeadline(time.Now().Add(testutil.Patience))
		if _, err := io.Copy(io.Discard, c); testutil.IsTimeout(err) { // half a call may be told so first
			t.Errorf("caller %d is still held: %v", i, err)
		}
	}
}
