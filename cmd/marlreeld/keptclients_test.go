package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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
	// lossSlack is loss_slack_ms of the settings: so late after a request an idle connection may end that has not read it.
	lossSlack = 200 * time.Millisecond
	// clientPatience is how long clients wait for an answer, far beyond the timeouts of the routes.
	clientPatience = 15 * time.Second
	// lagInterval is how often the test's own delays are measured, and tolerableLag how long one may be for the test to
	// tell when something happened.
	lagInterval, tolerableLag = 5 * time.Millisecond, 50 * time.Millisecond
	// soakEvents is how many events a stream has, and maxClientPause bounds the pause between two requests.
	soakEvents     = 30
	maxClientPause = 80 * time.Millisecond
	// unreadyShare: of the connections to a proxy that isn't ready one in so many is made all the same.
	unreadyShare = 10
)

// brokenRequest is a request that was sent whole, and whose connection ended without a complete answer.
type brokenRequest struct {
	id, proxy string
	after     time.Duration // from its last byte to the connection's end
	begun     bool          // its answer had begun
	lagged    bool          // the test itself was held up meanwhile
	cause     error
}

// keptClients are clients that use their connections for as long as the proxies let them.
type keptClients struct {
	*testSystem
	over    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	broken     []brokenRequest
	violations []string
	answers    map[int]int // by status
	reused     int         // requests that were not the first on their connection
	lags       []time.Time // when the test was held up
}

func newKeptClients(s *testSystem, seed uint64) *keptClients {
	c := &keptClients{testSystem: s, over: make(chan struct{}), answers: map[int]int{}}
	c.running.Go(c.measureLag)
	for i, proxy := range s.proxies() {
		for n := range clientsPerProxy {
			rng := rand.New(rand.NewPCG(seed, uint64(100+clientsPerProxy*i+n)))
			c.running.Go(func() { c.run(proxy, rng) })
		}
	}
	return c
}

func (c *keptClients) stop() {
	close(c.over)
	c.running.Wait()
}

func (c *keptClients) isOver() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}

// measureLag notes when this process was held up: times that clients measure then are not the proxies'.
func (c *keptClients) measureLag() {
	for last := time.Now(); !c.isOver(); last = time.Now() {
		sleep(lagInterval)
		if time.Since(last) > tolerableLag {
			c.mu.Lock()
			c.lags = append(c.lags, time.Now())
			c.mu.Unlock()
		}
	}
}

// laggedSince tells whether the test was held up since a time. Called with the lock.
func (c *keptClients) laggedSince(since time.Time) bool {
	return len(c.lags) > 0 && c.lags[len(c.lags)-1].After(since)
}

func (c *keptClients) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// run makes one connection after the other.
func (c *keptClients) run(proxy *process, rng *rand.Rand) {
	for !c.isOver() {
		// The platform sends new clients to proxies that are ready, and learns late of one that isn't.
		ready, _ := c.call(proxy.settings.Listen.Readiness, http.MethodGet, "/marlreel/ready", "", "")
		if ready != http.StatusOK && rng.IntN(unreadyShare) > 0 {
			sleep(maxClientPause)
			continue
		}
		conn, err := net.DialTimeout("tcp", proxy.settings.Listen.Front, time.Second)
		if err != nil {
			sleep(maxClientPause) // it is restarting
			continue
		}
		c.useConnection(conn, proxy, rng)
		conn.Close()
	}
}

// useConnection sends one request after the other, until the proxy ends the connection or says that it will.
func (c *keptClients) useConnection(conn net.Conn, proxy *process, rng *rand.Rand) {
	reader := bufio.NewReader(conn)
	for n := 0; !c.isOver(); n++ {
		var unread [16]byte
		if count := sockets.Unread(conn, unread[:]); count > 0 || reader.Buffered() > 0 {
			c.violation("%s: %q on a connection where nothing was asked", proxy.settings.NodeName, unread[:count])
			return
		}
		if !c.exchange(conn, reader, proxy, rng.IntN(4) == 0, n > 0) {
			return
		}
		sleep(time.Duration(rng.Int64N(int64(maxClientPause))))
	}
}

// exchange sends a request, a stream's or a plain one's, and reads its answer. It reports whether the connection may be
// used again.
func (c *keptClients) exchange(conn net.Conn, reader *bufio.Reader, proxy *process, stream, again bool) (keep bool) {
	id := c.nextID()
	path, headers := "/slip/1", ""
	if stream {
		path, headers = "/chat/1", fmt.Sprintf("Model: m0\r\nToken-Count: 20,%d\r\nPrompt-Prefix: %s:20\r\n", 2*soakEvents, id)
	}
	_ = conn.SetDeadline(time.Now().Add(clientPatience)) // a connection that has ended fails below
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nTime-Remaining: 8000\r\n%sContent-Length: 1\r\n\r\nx", path, id, headers)
	if _, err := io.WriteString(conn, text); err != nil {
		return false // it was not sent whole
	}
	sent := time.Now()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.recordBroken(brokenRequest{id: id, proxy: proxy.settings.NodeName, cause: err}, sent)
		return false
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		c.recordBroken(brokenRequest{id: id, proxy: proxy.settings.NodeName, begun: true, cause: err}, sent)
		return false
	}
	c.recordAnswer(id, answer, string(body), stream, again)
	return !answer.Close
}

// nextID is the id of the next request.
func (s *testSystem) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return fmt.Sprintf("%016x", s.ids)
}

func (c *keptClients) recordBroken(b brokenRequest, sent time.Time) {
	b.after = time.Since(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.lagged = c.laggedSince(sent)
	c.broken = append(c.broken, b)
}

// recordAnswer checks that a complete answer is the request's own, and all of it.
func (c *keptClients) recordAnswer(id string, answer *http.Response, body string, stream, again bool) {
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
	if again {
		c.reused++
	}
	c.mu.Unlock()
	if stream { // it may run again
		return
	}
	c.testSystem.mu.Lock()
	defer c.testSystem.mu.Unlock()
	c.statuses[id] = answer.StatusCode
}

// check checks that no connection ended with a request in hand, after all processes were told to end and have.
func (c *keptClients) check() {
	c.t.Helper()
	ran := map[string]bool{}
	for _, b := range c.backends {
		for _, execution := range b.Executions() {
			ran[execution.Request] = true
		}
	}
	crossed := 0
	for _, b := range c.broken {
		late := b.after > lossSlack && !b.lagged
		var failure net.Error
		silent := errors.As(b.cause, &failure) && failure.Timeout()
		if ran[b.id] || b.begun || late || silent {
			c.t.Errorf("%s: the connection ended %v after request %s; it ran: %v, its answer had begun: %v: %v", b.proxy, b.after, b.id, ran[b.id], b.begun, b.cause)
			continue
		}
		crossed++
	}
	for _, violation := range c.violations {
		c.t.Error(violation)
	}
	c.t.Logf("answers by status %v, %d on connections that were used before; %d requests crossed the end of their connection", c.answers, c.reused, crossed)
	if c.answers[http.StatusOK] == 0 || c.reused == 0 {
		c.t.Error("nothing was served on a connection that was used before")
	}
}
