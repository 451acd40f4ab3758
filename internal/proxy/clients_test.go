package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/testutil"
)

// Silent connections beyond the limit are closed, and other clients are served meanwhile.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t), ready("s-1", named(t, "a")))
	cfg.MaxFileDescriptors = config.MinFileDescriptors
	p := start(t, cfg)
	first := testutil.Dial(t, p.addr)
	for range 2 * cfg.MaxClientConnections() {
		testutil.Dial(t, p.addr)
	}
	if status, text, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 || text != "a" {
		t.Errorf("a client next to silent connections got %d %q", status, text)
	}
	testutil.Ends(t, first, "the first silent connection")
}

// Malformed requests get an error or a close, and none may reach a backend, which would run whatever it
// can parse of them.
func TestBadClientsGetAnErrorAndAClose(t *testing.T) {
	t.Parallel()
	var reached atomic.Int64
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { reached.Add(1) }))
	t.Cleanup(b.Close)
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String())))
	const (
		id     = "X-Correlation-Id: 00000000000000aa\r\n"
		usual  = "Host: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n"
		hidden = "0\r\n\r\nGET /lot-list HTTP/1.1\r\n" + usual + id + "\r\n"
	)
	for name, text := range map[string]string{
		"both lengths":          "POST /bid HTTP/1.1\r\n" + usual + id + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(hidden)) + hidden,
		"both, the other way":   "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: chunked\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden,
		"another coding":        "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: gzip\r\n\r\n" + hidden,
		"two codings":           "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: gzip, chunked\r\n\r\n" + hidden,
		"bare LF":               "GET /lot-list HTTP/1.1\n" + strings.ReplaceAll(usual+id, "\r", "") + "\n",
		"one bare LF":           "GET /lot-list HTTP/1.1\r\nHost: origin.svc\n" + usual[strings.Index(usual, "X-Acc"):] + id + "\r\n",
		"a folded line":         "GET /lot-list HTTP/1.1\r\n" + usual + "X-Fold: a\r\n b\r\n" + id + "\r\n",
		"a space before colon":  "GET /lot-list HTTP/1.1\r\n" + usual + "X-Odd : a\r\n" + id + "\r\n",
		"bad chunks":            "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"chunks with bare LF":   "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: chunked\r\n\r\n1\nx\n0\n\n",
		"half of the chunks":    "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"no host":               "GET /lot-list HTTP/1.1\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n" + id + "\r\n",
		"chunks with GET":       "GET /lot-list HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"two lengths":           "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"a negative length":     "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: -1\r\n\r\n",
		"a huge length":         "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 99999999999999999999\r\n\r\n",
		"70 MB":                 "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 70000000\r\n\r\n",
		"60 MB that don't come": "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 60000000\r\n\r\n",
		"a body with GET":       "GET /lot-list HTTP/1.1\r\n" + usual + id + "Content-Length: 1\r\n\r\nx",
		"half a body":           "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 9\r\n\r\nhalf",
		"half a head":           "POST /bid HTTP/1.1\r\nHost: orig",
		"an endless head":       "GET /lot-list HTTP/1.1\r\n" + usual + id + "X-Pad: " + strings.Repeat("p", 4*maxHead),
		"noise":                 "\x16\x03\x01\x00\xa5\x01\r\n\r\n",
		"no colon":              "GET /lot-list HTTP/1.1\r\n" + usual + id + "no colon here\r\n\r\n",
		"an id of another form": "GET /lot-list HTTP/1.1\r\n" + usual + "X-Correlation-Id: ../../etc\r\n\r\n",
		"a long id":             "GET /lot-list HTTP/1.1\r\n" + usual + "X-Correlation-Id: 00000000000000aa0\r\n\r\n",
		"two ids":               "GET /lot-list HTTP/1.1\r\n" + usual + id + "X-Correlation-Id: 00000000000000ab\r\n\r\n",
		"a key for an unsafe":   "POST /bid HTTP/1.1\r\n" + usual + id + "Idempotency-Key: 5c0f\r\nContent-Length: 0\r\n\r\n",
		"a path with escapes":   "GET /lot-list/%2e%2e%0d%0a HTTP/1.1\r\n" + usual + id + "\r\n",
		"a path of spaces":      "GET /lot-list/%20 HTTP/1.1\r\n" + usual + id + "\r\n",
		"another host's":        "GET http://elsewhere/lot-list HTTP/1.1\r\n" + usual + id + "\r\n",
		"a header not of text":  "GET /lot-list HTTP/1.1\r\n" + usual + id + "X-Odd: \xff\xfe\r\n\r\n",
		"all options":           "OPTIONS * HTTP/1.1\r\nHost: origin.svc\r\n\r\n",
		"an unknown class":      "GET /lot-lists HTTP/1.1\r\n" + usual + id + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := testutil.Dial(t, p.addr)
			io.WriteString(c, text)
			in := bufio.NewReader(c)
			if resp, err := http.ReadResponse(in, nil); err == nil && (resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503) {
				t.Errorf("answered %d", resp.StatusCode)
			}
			if _, err := io.Copy(io.Discard, in); testutil.IsTimeout(err) {
				t.Error("the connection is not closed")
			}
		})
	}
	t.Cleanup(func() {
		if n := reached.Load(); n != 0 {
			t.Errorf("%d of the bad requests reached a backend", n)
		}
	})
}

// The read timeout must no longer apply once a request has been read. If it did, or if a body were not read to its end,
// requests in flight for longer than the timeout would be cancelled.
func TestReadTimeoutDoesNotCancelRequestsInFlight(t *testing.T) {
	t.Parallel()
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(readTimeout + time.Second):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, "served")
	}))
	t.Cleanup(b.Close)
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String())))
	for _, class := range []string{"bid", "lot-list"} {
		body := ""
		if class == "bid" {
			body = "x"
		}
		if status, text, _ := do(t, newRequest(t, p, class, body)); status != 200 || text != "served" {
			t.Errorf("%s: %d %q", class, status, text)
		}
	}
}

// Two open requests with the same id could get each other's answers.
func TestRequestIDInUseIsRejected(t *testing.T) {
	t.Parallel()
	came, finish := make(chan struct{}, 2), make(chan struct{})
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came <- struct{}{}
		<-finish
		fmt.Fprint(w, "served")
	}))
	t.Cleanup(b.Close)
	var once atomic.Bool
	release := func() {
		if once.CompareAndSwap(false, true) {
			close(finish)
		}
	}
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String())))
	t.Cleanup(release)
	first := newRequest(t, p, "bid", "x")
	status := make(chan int, 1)
	go func() {
		got, _, _ := do(t, first)
		status <- got
	}()
	receive(t, came, "the first request")
	again := func(when string) {
		r := newRequest(t, p, "lot-list", "")
		r.Header.Set("X-Correlation-Id", first.Header.Get("X-Correlation-Id"))
		if got, _, _ := do(t, r); got != http.StatusConflict {
			t.Errorf("under the id of a request %s: %d", when, got)
		}
	}
	again("in flight")
	release()
	if got := receive(t, status, "the first answer"); got != 200 {
		t.Errorf("the first request got %d", got)
	}
	again("just answered")
}

// Idle connections are closed, so that a client that sends one request does not occupy a connection slot forever.
func TestIdleConnectionsEnd(t *testing.T) {
	t.Parallel()
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", named(t, "a"))))
	c := testutil.Dial(t, p.addr)
	fmt.Fprintf(c, "GET /lot-list HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\nX-Correlation-Id: %016x\r\n\r\n", lastRequestID.Add(1))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%+v %v", resp, err)
	}
	testutil.Ends(t, c, "the idle connection")
}

// Clients that keep idle connections must not lock others out: when many connections are open, an answer closes its
// connection, which frees a slot at once.
func TestAnswersCloseConnectionsWhenManyAreOpen(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t), ready("s-1", named(t, "a")))
	cfg.MaxFileDescriptors = config.MinFileDescriptors
	p := start(t, cfg)
	ask := func() *http.Response {
		c := testutil.Dial(t, p.addr)
		fmt.Fprintf(c, "GET /lot-list HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\nX-Correlation-Id: %016x\r\n\r\n", lastRequestID.Add(1))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v %v", resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close {
			testutil.Ends(t, c, "a connection whose answer ends it")
		}
		return resp
	}
	if ask().Close {
		t.Error("the answer to the only client ends its connection")
	}
	eventually(t, "an answer that ends its connection", func() bool { return ask().Close })
}
