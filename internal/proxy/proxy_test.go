package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mustFail checks that an answer is a failure and not a refusal: a refusal (503) promises that the request has not run.
func mustFail(t *testing.T, status int) {
	t.Helper()
	if status < 500 || status == http.StatusServiceUnavailable {
		t.Errorf("status %d, want a failure that isn't a refusal", status)
	}
}

func TestPassesRequestsAndAnswersOn(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"lot-list", "bid", "pickup"} {
		seen := make(chan *http.Request, 1)
		bodies := make(chan string, 1)
		b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			seen <- r
			bodies <- string(body)
			w.Header().Set("X-Kept", "yes")
			fmt.Fprint(w, "the answer")
		}))
		t.Cleanup(b.Close)
		p := start(t, testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String())))
		want := ""
		if class != "lot-list" {
			want = "price=12"
		}
		r := newRequest(t, p, class, want)
		r.URL.RawQuery = "q=a%2Fb"
		status, text, h := do(t, r)
		if status != 200 || text != "the answer" || h.Get("X-Kept") != "yes" {
			t.Fatalf("%s: answered %d %q %v", class, status, text, h)
		}
		got := receive(t, seen, "the request")
		if body := receive(t, bodies, "the body"); got.Method != r.Method || got.RequestURI != "/"+class+"/7f3a9c21?q=a%2Fb" || body != want {
			t.Errorf("%s: backend got %s %s %q", class, got.Method, got.RequestURI, body)
		}
		for _, name := range []string{"X-Correlation-Id", "Idempotency-Key"} {
			if got.Header.Get(name) != r.Header.Get(name) {
				t.Errorf("%s: %s is %q", class, name, got.Header.Get(name))
			}
		}
		// The attempt must time out before the client does.
		if left, err := time.ParseDuration(got.Header.Get("X-Time-Left") + "s"); err != nil || left.Seconds() >= 12 {
			t.Errorf("%s: X-Time-Left %q: %v", class, got.Header.Get("X-Time-Left"), err)
		}
	}
}

// An HTTP transport that retries by itself when a reused connection breaks makes an attempt that isn't
// counted. An unsafe request could run twice.
func TestNothingIsSentAgainOnAReusedConnection(t *testing.T) {
	t.Parallel()
	var bids atomic.Int64
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			if strings.HasPrefix(r.URL.Path, "/bid") {
				bids.Add(1)
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
	if status, _, _ := do(t, newRequest(t, p, "lot-list", "")); status != 200 {
		t.Fatalf("the first request got %d", status)
	}
	status, _, _ := do(t, newRequest(t, p, "bid", "x"))
	mustFail(t, status)
	if n := bids.Load(); n != 1 {
		t.Errorf("the bid went out %d times", n)
	}
}

// An unsafe request is refused or retried only after an answer that proves that it has not run.
func TestOutcomesOfAnUnsafeRequest(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 "
	for _, c := range []struct {
		name, answer string
		again        bool
	}{
		{"error", head + "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false},
		{"503 without proof", head + "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
		{"broken off", head + "200 OK\r\nContent-Length: 100\r\n\r\nhalf", false},
		{"a body without end", head + "200 OK\r\nContent-Length: 99999999999\r\n\r\n", false},
		{"cut at the limit", head + "200 OK\r\nX-Long: " + strings.Repeat("x", maxHead) + "\r\n\r\n" + strings.Repeat("x", maxBody), false},
		{"noise", "\x00\x01\x02\r\n\r\n", false},
		{"nothing", "", false},
		{"queue full", head + "503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true},
		{"over", head + "504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			addr := rawBackend(t, func(conn net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); !ok {
					return
				}
				if n.Add(1) > 1 {
					io.WriteString(conn, okAnswer)
					return
				}
				io.WriteString(conn, c.answer)
			})
			p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
			status, text, _ := do(t, newRequest(t, p, "bid", "x"))
			if c.again {
				if status != 200 || text != "served" {
					t.Errorf("answered %d %q, want the second attempt's answer", status, text)
				}
				return
			}
			mustFail(t, status)
			if n.Load() != 1 {
				t.Errorf("%d attempts", n.Load())
			}
		})
	}
}

func TestRefusesWhatNeverRan(t *testing.T) {
	t.Parallel()
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", closedAddr(t))))
	if status, _, _ := do(t, newRequest(t, p, "bid", "x")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want a refusal: no connection was ever established", status)
	}
}

func TestMalformedRequestsAreTheClientsFault(t *testing.T) {
	t.Parallel()
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	t.Cleanup(b.Close)
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String())))
	for name, spoil := range map[string]func(r *http.Request){
		"unknown class":     func(r *http.Request) { r.URL.Path = "/nets/1" },
		"unknown account":   func(r *http.Request) { r.Header.Set("X-Account", "nobody") },
		"no time":           func(r *http.Request) { r.Header.Del("X-Time-Left") },
		"time of no unit":   func(r *http.Request) { r.Header.Set("X-Time-Left", "480") },
		"time not a number": func(r *http.Request) { r.Header.Set("X-Time-Left", "NaNm") },
		"negative time":     func(r *http.Request) { r.Header.Set("X-Time-Left", "-5m") },
		"endless time":      func(r *http.Request) { r.Header.Set("X-Time-Left", "1e300m") },
		"no id":             func(r *http.Request) { r.Header.Del("X-Correlation-Id") },
		"wrong method":      func(r *http.Request) { r.Method = http.MethodGet },
		"no key":            func(r *http.Request) { r.Header.Del("Idempotency-Key") },
	} {
		r := newRequest(t, p, "pickup", "x")
		spoil(r)
		if status, _, _ := do(t, r); status < 400 || status > 499 || status == http.StatusTooManyRequests {
			t.Errorf("%s: status %d", name, status)
		}
	}
	if status, _, _ := do(t, newRequest(t, p, "pickup", "x")); status != 200 {
		t.Errorf("a good request after the bad ones got %d", status)
	}
}

// When a client leaves, the proxy cancels the attempt by closing the backend connection.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	came, left := make(chan struct{}), make(chan struct{})
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(came)
		<-r.Context().Done()
		close(left)
	}))
	t.Cleanup(b.Close)
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String())))
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		r := newRequest(t, p, "bid", "x").WithContext(ctx)
		r.Header.Set("X-Time-Left", "55000m") // much longer than the test waits
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
		}
	}()
	receive(t, came, "the attempt")
	leave()
	receive(t, left, "the attempt's end")
}

// After SIGTERM connections still arrive, and accepted requests have to be finished. Without
// AcceptGrace before the listener is closed, the second request here would be refused a connection.
func TestStopsWithoutLosingARequest(t *testing.T) {
	t.Parallel()
	came, finish := make(chan struct{}, 2), make(chan struct{})
	release := sync.OnceFunc(func() { close(finish) })
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came <- struct{}{}
		<-finish
		fmt.Fprint(w, "served")
	}))
	t.Cleanup(b.Close)
	cfg := testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String()))
	cfg.AcceptGrace = 4 * time.Second // the test has to finish within it
	p := start(t, cfg)
	// This cleanup runs first: if the test fails early, both the proxy and the backend would wait for these
	// answers, the proxy up to the timeouts of its classes and the backend forever.
	t.Cleanup(release)
	type got struct {
		status int
		closed bool
		err    error
	}
	answers := make(chan got, 2)
	ask := func() {
		resp, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}).Do(newRequest(t, p, "bid", "x"))
		if err != nil {
			answers <- got{err: err}
			return
		}
		resp.Body.Close()
		answers <- got{status: resp.StatusCode, closed: resp.Close}
	}
	reaches := func(what string) {
		t.Helper()
		go ask()
		select {
		case <-came:
		case a := <-answers:
			t.Fatalf("%s did not reach a backend: %d %v", what, a.status, a.err)
		case <-time.After(waitTimeout):
			t.Fatalf("%s was never accepted", what)
		}
	}
	reaches("the first request")
	p.stop()
	// The shutdown has begun, and connections are still accepted.
	eventually(t, "an answer that ends its connection", func() bool {
		resp, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}).Get(p.url + "/ready")
		if err != nil {
			t.Fatalf("after the signal: %v", err)
		}
		resp.Body.Close()
		return resp.Close
	})
	reaches("a request on a new connection after the signal")
	release()
	closed := 0
	for range 2 {
		a := receive(t, answers, "an answer")
		if a.err != nil || a.status != 200 {
			t.Errorf("after the signal: %d %v", a.status, a.err)
		}
		if a.closed {
			closed++
		}
	}
	if closed == 0 {
		t.Error("no answer after the signal ends its connection")
	}
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
}

// Shutdown waits for requests in flight, but not beyond the longest deadline. Requests that are still open when the
// process exits are lost, so they are failed before; as they may have run, they are never refused.
func TestStopAnswersWhatDoesNotFinish(t *testing.T) {
	t.Parallel()
	addr, came := silent(t)
	cfg := testConfig(t, closedAddr(t), ready("s-1", addr))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].ClientTimeout = time.Second // the client's own deadline is longer
	}
	p := start(t, cfg)
	statuses := make(chan int, 1)
	go func() {
		status, _, _ := do(t, newRequest(t, p, "bid", "x"))
		statuses <- status
	}()
	receive(t, came, "the attempt")
	p.stop()
	mustFail(t, receive(t, statuses, "the answer"))
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
}

// The platform waits only some seconds for the exit, even if clients of a class would wait longer. Requests that are
// open then are failed in time.
func TestShutdownEndsBeforeThePlatformsTimeout(t *testing.T) {
	t.Parallel()
	addr, came := silent(t)
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr))) // its classes have timeouts of a minute
	texts := make(chan string, 1)
	go func() {
		_, text, _ := do(t, newRequest(t, p, "bid", "x"))
		texts <- text
	}()
	receive(t, came, "the attempt")
	p.stop()
	if text := receive(t, texts, "the answer"); !strings.Contains(text, "the proxy stops") {
		t.Errorf("answered %q", text) // the request's own timeout would come too late, after the process has exited
	}
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
}
