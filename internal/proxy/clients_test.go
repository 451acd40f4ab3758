package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
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
	c := dial(t, cs.Addr().String())
	return c, receive(t, accepted, "a connection")
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// ends fails the test if the other side does not end the connection.
func ends(t *testing.T, c net.Conn, what string) {
	t.Helper()
	if _, err := io.Copy(io.Discard, c); isTimeout(err) {
		t.Fatalf("%s is not closed", what)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
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
	ends(t, first, "the longest silent connection")
	connect(t, cs, accepted)
	ends(t, third, "the next silent one")
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
	turnedAway := dial(t, cs.Addr().String())
	ends(t, turnedAway, "a connection beyond the bound")
	io.WriteString(near, "x")
	if _, err := held.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the connection with a request in hand: %v", err)
	}
	held.rest(true)
	connect(t, cs, accepted)
	ends(t, near, "the connection that is at rest again")
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
	ends(t, silent, "the silent connection")
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection with an unread request: %v", err)
	}
}

// The bound holds in the whole proxy, and good clients are served meanwhile.
func TestSilentConnectionsKeepNobodyOut(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t), ready("s-1", named(t, "a")))
	cfg.Sockets = leastSockets
	p := start(t, cfg)
	first := dial(t, p.addr)
	for range 2 * cfg.clientConns() {
		dial(t, p.addr)
	}
	if status, text, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 || text != "a" {
		t.Errorf("a good client beside silent ones got %d %q", status, text)
	}
	ends(t, first, "the first silent connection")
}

// Bad clients are owed an error or a close, and none of what they send may reach a
// backend: it closes on what it can't read, and runs what it can.
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
		"chunked":               "POST /bid HTTP/1.1\r\n" + usual + id + "Transfer-Encoding: chunked\r\n\r\n" + hidden,
		"two lengths":           "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"a negative length":     "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: -1\r\n\r\n",
		"a huge length":         "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 99999999999999999999\r\n\r\n",
		"60 MB":                 "POST /bid HTTP/1.1\r\n" + usual + id + "Content-Length: 60000000\r\n\r\n",
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
			c := dial(t, p.addr)
			io.WriteString(c, text)
			in := bufio.NewReader(c)
			if resp, err := http.ReadResponse(in, nil); err == nil && (resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503) {
				t.Errorf("answered %d", resp.StatusCode)
			}
			if _, err := io.Copy(io.Discard, in); isTimeout(err) {
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

// What is owed to bad clients is owed within 3 s of connecting.
func TestTimeoutsKeepWhatIsOwed(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t))
	l, err := newLoop(cfg, t.Logf, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := newServer(cfg, l, nil).http
	if h.ReadHeaderTimeout >= 3*time.Second || h.ReadTimeout >= 3*time.Second || h.IdleTimeout < 2*time.Second {
		t.Errorf("head %v, request %v, idle %v", h.ReadHeaderTimeout, h.ReadTimeout, h.IdleTimeout)
	}
}

// The time-out for reading is over once a request is read: net/http takes it off
// before it watches for the client's leave. If it did not, or a body were not read to
// its end, requests that are longer in hand would be cancelled.
func TestReadTimeoutSparesWhatIsInHand(t *testing.T) {
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

// Two requests under one id would get each other's answers.
func TestAnIdInUseIsTurnedAway(t *testing.T) {
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
		r.Header.Set(headerID, first.Header.Get(headerID))
		if got, _, _ := do(t, r); got != http.StatusConflict {
			t.Errorf("under the id of a request %s: %d", when, got)
		}
	}
	again("in hand")
	release()
	if got := receive(t, status, "the first answer"); got != 200 {
		t.Errorf("the first request got %d", got)
	}
	again("just answered")
}

// However long a client says it waits, its class bounds what it may hold here.
func TestTheClassBoundsTheTime(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t))
	l, err := newLoop(cfg, t.Logf, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
	r.Header.Set(headerID, "00000000000000aa")
	r.Header.Set(headerAccount, "obala")
	r.Header.Set(headerTimeout, "3599000m")
	_, left, a := newServer(cfg, l, nil).parse(r)
	if a.status != 0 || left != cfg.Settings.Classes[0].GiveUp {
		t.Errorf("%d %s: %v", a.status, a.body, left)
	}
}

// Clients that ask once and keep their connection for good must not hold a place for good.
func TestIdleConnectionsEnd(t *testing.T) {
	t.Parallel()
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", named(t, "a"))))
	c := dial(t, p.addr)
	fmt.Fprintf(c, "GET /lot-list HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\nX-Correlation-Id: %016x\r\n\r\n", lastName.Add(1))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%+v %v", resp, err)
	}
	ends(t, c, "the idle connection")
}

// Clients that ask once and keep their connections must not leave the others without
// one: when many are held, the answer ends the connection, and a place is free at once.
func TestAnswersEndConnectionsInACrowd(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t), ready("s-1", named(t, "a")))
	cfg.Sockets = leastSockets
	p := start(t, cfg)
	ask := func() *http.Response {
		c := dial(t, p.addr)
		fmt.Fprintf(c, "GET /lot-list HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\nX-Correlation-Id: %016x\r\n\r\n", lastName.Add(1))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v %v", resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close {
			ends(t, c, "a connection whose answer ends it")
		}
		return resp
	}
	if ask().Close {
		t.Error("alone, and the answer ends the connection")
	}
	eventually(t, "an answer that ends its connection", func() bool { return ask().Close })
}

func TestRecentForgets(t *testing.T) {
	t.Parallel()
	r := newRecent(time.Second)
	for i := range 5000 {
		at := time.Duration(i) * 10 * time.Millisecond
		if !r.add(fmt.Sprint(i), at) {
			t.Fatalf("%d is new and taken for known", i)
		}
		if i >= 90 && r.add(fmt.Sprint(i-90), at) {
			t.Fatalf("%d is forgotten too early", i-90)
		}
	}
	if n := len(r.now) + len(r.old); n > 200 {
		t.Errorf("%d names are kept of 200 in two spans", n)
	}
	if !r.add("1", time.Minute) {
		t.Error("a name of long ago is still known")
	}
}
