package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"marlreel/internal/sockets"
	"marlreel/internal/testing/fakesystem"
)

const (
	// lossSlack is loss_slack_ms of the settings: a proxy may close an idle connection up to this long after a client has
	// sent a request on it that the proxy has not read.
	lossSlack = 200 * time.Millisecond
	// clientTimeout is how long clients wait for an answer, far longer than the timeouts of the routes.
	clientTimeout = 15 * time.Second
	// lagInterval is how often the test measures its own scheduling delay. After a delay longer than tolerableLag, the
	// times that the test has measured are not reliable.
	lagInterval, tolerableLag = 5 * time.Millisecond, 50 * time.Millisecond
	// soakEvents is how many events a stream has, and maxClientPause bounds the pause between two requests.
	soakEvents     = 30
	maxClientPause = 80 * time.Millisecond
	// One in longOneIn of the plain requests has a body of longBodyBytes: just below max_body_bytes, and more than fits into
	// the buffers of a connection whose backend doesn't read.
	longOneIn     = 4
	longBodyBytes = 4_100_000
	// unreadyOneIn: while a proxy isn't ready, clients still make one in this many of their connections to it.
	unreadyOneIn = 10
)

// brokenRequest is a request that was sent completely, and whose connection ended before a complete answer.
type brokenRequest struct {
	id, proxy string
	after     time.Duration // from its last byte to the connection's end
	begun     bool          // its answer had begun
	lagged    bool          // the test itself was delayed meanwhile
	cause     error
}

// keepAliveClients are clients that reuse their connections until the proxies close them.
type keepAliveClients struct {
	*testSystem
	done    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	broken     []brokenRequest
	violations []string
	answers    map[int]int // by status
	reused     int         // answered requests that were not the first on their connection
	lags       []time.Time // when the test was delayed
}

func newKeepAliveClients(s *testSystem, seed uint64) *keepAliveClients {
	c := &keepAliveClients{testSystem: s, done: make(chan struct{}), answers: map[int]int{}}
	c.running.Go(c.measureLag)
	for i, proxy := range s.proxies() {
		for n := range clientsPerProxy {
			rng := rand.New(rand.NewPCG(seed, uint64(100+clientsPerProxy*i+n)))
			c.running.Go(func() { c.run(proxy, rng) })
		}
	}
	return c
}

func (c *keepAliveClients) stop() {
	close(c.done)
	c.running.Wait()
}

func (c *keepAliveClients) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// measureLag records when this process was delayed, as the delays that clients measure then are not the proxies'.
func (c *keepAliveClients) measureLag() {
	for last := time.Now(); !c.isDone(); last = time.Now() {
		sleep(lagInterval)
		if time.Since(last) > tolerableLag {
			c.mu.Lock()
			c.lags = append(c.lags, time.Now())
			c.mu.Unlock()
		}
	}
}

// laggedSince reports whether the test was delayed since a time. c.mu must be held.
func (c *keepAliveClients) laggedSince(since time.Time) bool {
	return len(c.lags) > 0 && c.lags[len(c.lags)-1].After(since)
}

func (c *keepAliveClients) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// run opens one connection after the other.
func (c *keepAliveClients) run(proxy *process, rng *rand.Rand) {
	for !c.isDone() {
		// The platform sends new clients only to ready proxies, but notices with a delay that one is no longer ready.
		ready, _ := c.call(proxy.settings.Listen.Readiness, http.MethodGet, "/marlreel/ready", "", "")
		if ready != http.StatusOK && rng.IntN(unreadyOneIn) > 0 {
			sleep(maxClientPause)
			continue
		}
		conn, err := net.DialTimeout("tcp", proxy.settings.Listen.Front, time.Second)
		if err != nil {
			sleep(maxClientPause) // the proxy is restarting
			continue
		}
		c.useConnection(conn, proxy, rng)
		conn.Close()
	}
}

// useConnection sends one request after the other, until the proxy closes the connection or announces that it will.
func (c *keepAliveClients) useConnection(conn net.Conn, proxy *process, rng *rand.Rand) {
	reader := bufio.NewReader(conn)
	for n := 0; !c.isDone(); n++ {
		var unread [16]byte
		if count := sockets.Unread(conn, unread[:]); count > 0 || reader.Buffered() > 0 {
			c.violation("%s: %q received on a connection without a request in flight", proxy.settings.NodeName, unread[:count])
			return
		}
		if !c.exchange(conn, reader, proxy, rng, n > 0) {
			return
		}
		sleep(time.Duration(rng.Int64N(int64(maxClientPause))))
	}
}

// exchange sends a request, streaming or plain, and reads its answer. It reports whether the connection can be reused.
func (c *keepAliveClients) exchange(conn net.Conn, reader *bufio.Reader, proxy *process, rng *rand.Rand, reusedConn bool) (keep bool) {
	id, stream := c.nextID(), rng.IntN(4) == 0
	path, headers, body := "/slip/1", "", "x"
	if long := rng.IntN(longOneIn) == 0; long && !stream {
		body = longBody
	}
	if stream {
		path, headers = "/chat/1", fmt.Sprintf("Model: m0\r\nToken-Count: 20,%d\r\nPrompt-Prefix: %s:20\r\n", 2*soakEvents, id)
	}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout)) // on a closed connection the write below fails
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nTime-Remaining: 8000\r\n%sContent-Length: %d\r\n\r\n%s", path, id, headers, len(body), body)
	if _, err := io.WriteString(conn, text); err != nil {
		return false // the request was not sent completely
	}
	sent := time.Now()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.recordBroken(brokenRequest{id: id, proxy: proxy.settings.NodeName, cause: err}, sent)
		return false
	}
	defer answer.Body.Close()
	received, err := io.ReadAll(answer.Body)
	if err != nil {
		c.recordBroken(brokenRequest{id: id, proxy: proxy.settings.NodeName, begun: true, cause: err}, sent)
		return false
	}
	c.recordAnswer(id, answer, string(received), stream, reusedConn)
	return !answer.Close
}

// longBody is the body of long requests.
var longBody = strings.Repeat("x", longBodyBytes)

// nextID returns the id of the next request.
func (s *testSystem) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return fmt.Sprintf("%016x", s.ids)
}

func (c *keepAliveClients) recordBroken(b brokenRequest, sent time.Time) {
	b.after = time.Since(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.lagged = c.laggedSince(sent)
	c.broken = append(c.broken, b)
}

// recordAnswer checks that a complete answer belongs to the request and lacks nothing.
func (c *keepAliveClients) recordAnswer(id string, answer *http.Response, body string, stream, reusedConn bool) {
	want := "done " + id
	if stream {
		var events strings.Builder
		for event := 1; event <= soakEvents; event++ {
			fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", event, fakesystem.EventText(id, event))
		}
		want = events.String()
	}
	if answer.StatusCode == http.StatusOK && (body != want || answer.Header.Get("Request-Id") != id) {
		c.violation("request %s got the answer to %s: %q", id, answer.Header.Get("Request-Id"), body)
	}
	c.mu.Lock()
	c.answers[answer.StatusCode]++
	if reusedConn {
		c.reused++
	}
	c.mu.Unlock()
	if stream { // it may run more than once, so checkHistory leaves it out
		return
	}
	c.testSystem.mu.Lock()
	defer c.testSystem.mu.Unlock()
	c.statuses[id] = answer.StatusCode
}

// check checks that no proxy closed a connection with a request in flight. A request that reached the proxy only after
// it had closed the idle connection is tolerated, and so is a stream that its backend has cut.
func (c *keepAliveClients) check() {
	c.t.Helper()
	ran, cut := map[string]bool{}, map[string]bool{}
	for _, b := range c.backends {
		for _, execution := range b.Executions() {
			ran[execution.Request] = true
		}
		maps.Copy(cut, b.CutStreams())
	}
	crossed, brokenByCut, brokenStarts := 0, 0, 0
	for _, b := range c.backends {
		brokenStarts += b.BrokenStarts()
	}
	for _, b := range c.broken {
		if cut[b.id] && b.begun {
			brokenByCut++
			continue
		}
		late := b.after > lossSlack && !b.lagged
		var failure net.Error
		timedOut := errors.As(b.cause, &failure) && failure.Timeout()
		if ran[b.id] || b.begun || late || timedOut {
			c.t.Errorf("%s: the connection ended %v after request %s; ran: %v, answer begun: %v: %v", b.proxy, b.after, b.id, ran[b.id], b.begun, b.cause)
			continue
		}
		crossed++
	}
	for _, violation := range c.violations {
		c.t.Error(violation)
	}
	c.t.Logf("answers by status %v, %d on reused connections; %d requests crossed with the close of their connection; backends cut %d streams, of which %d reached their clients cut, and broke %d requests off",
		c.answers, c.reused, crossed, len(cut), brokenByCut, brokenStarts)
	if c.answers[http.StatusOK] == 0 || c.reused == 0 {
		c.t.Error("no request was served on a reused connection")
	}
}
