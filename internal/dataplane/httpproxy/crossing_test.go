package httpproxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testutil"
)

// barrier blocks a goroutine at a point until the test calls let.
type barrier struct{ reached, open chan struct{} }

func newBarrier(t *testing.T) *barrier {
	b := &barrier{make(chan struct{}), make(chan struct{})}
	t.Cleanup(b.let)
	return b
}

func (b *barrier) wait() {
	b.reached <- struct{}{}
	<-b.open
}

func (b *barrier) let() {
	select {
	case <-b.open:
	default:
		close(b.open)
	}
}

// gated is a client connection with a hook between a read and the use of its bytes.
type gated struct {
	*net.TCPConn
	read func(p []byte) // called with the bytes of each read

	mu   sync.Mutex
	ends chan struct{} // closed when this side closes the connection or ends its reads; nil: not watched
}

// watch returns a channel that is closed when this side next closes the connection or ends its reads.
func (g *gated) watch() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ends = make(chan struct{})
	return g.ends
}

func (g *gated) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ends != nil {
		close(g.ends)
		g.ends = nil
	}
}

func (g *gated) Read(p []byte) (int, error) {
	n, err := g.TCPConn.Read(p)
	if n > 0 {
		g.read(p[:n])
	}
	return n, err
}

func (g *gated) SetReadDeadline(at time.Time) error {
	err := g.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && !at.After(time.Now()) {
		g.end()
	}
	return err
}

func (g *gated) Close() error {
	defer g.end()
	return g.TCPConn.Close()
}

// gates is a listener of gated connections.
type gates struct {
	net.Listener
	read func(p []byte)
	all  chan *gated
}

func (l *gates) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &gated{TCPConn: c.(*net.TCPConn), read: l.read}
	l.all <- g
	return g, nil
}

// served is a serving front with a running engine.
type served struct {
	*manualEngine
	ln     *gates
	closed chan struct{} // gets a value when a connection has been closed and its handler has returned
}

func serveFront(t *testing.T, read func(p []byte), entries ...engine.Entry) *served {
	t.Helper()
	l := &served{manualEngine: newManualEngine(t), closed: make(chan struct{}, 8)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if read == nil {
		read = func([]byte) {}
	}
	l.ln = &gates{ln, read, make(chan *gated, 8)}
	l.front.SetMaxConnections(9)
	connState := l.front.server.ConnState
	l.front.server.ConnState = func(c net.Conn, s http.ConnState) {
		connState(c, s)
		if s == http.StateClosed {
			l.closed <- struct{}{}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	l.Post(func() {
		l.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 1, Entries: entries})
	})
	go func() { _ = l.front.Serve(l.ln) }() // until the cleanup closes the listener
	t.Cleanup(func() {
		l.ln.Close()
		l.front.server.Close()
		l.front.conns.close()
		stop()
		<-l.Done()
	})
	return l
}

// get returns a request for a listing.
func get(about string) string {
	return fmt.Sprintf("GET /lot-list/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 12000m\r\n\r\n",
		about, lastRequestID.Add(1))
}

// answering starts a backend that sends the path of each request to the channel and answers with a body of n bytes.
func answering(t *testing.T, n int) (string, chan string) {
	got := make(chan string, 16)
	return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			got <- r.URL.Path
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
		}
	}), got
}

func answered(t *testing.T, in *bufio.Reader) (status int, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("incomplete answer: %v", err)
	}
	return resp.StatusCode, resp.Close
}

// waysToEnd are the events that end an idle connection; each returns a channel for its result.
var waysToEnd = map[string]func(t *testing.T, l *served) (ended chan error){
	"by the shutdown": func(t *testing.T, l *served) chan error {
		far := receive(t, l.ln.all, "the connection")
		l.ln.Close()
		over, ends := make(chan error, 1), far.watch()
		go func() { over <- l.front.Shutdown(t.Context()) }()
		receive(t, ends, "the connection's end")
		return over
	},
	"to make room": func(t *testing.T, l *served) chan error {
		l.front.SetMaxConnections(0)
		over := make(chan error, 1)
		over <- nil
		return over
	},
}

// A request that is read on an idle connection while that is being closed, by the shutdown or by an eviction, must not be
// forwarded: the close tells the client that it may send the request again. net/http may close a connection after the read
// and before the connection's state shows it, and then still served the request.
func TestRequestReadAsItsConnectionEndsIsNotForwarded(t *testing.T) {
	t.Parallel()
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gate := newBarrier(t)
			addr, got := answering(t, 6)
			l := serveFront(t, func(p []byte) {
				if bytes.Contains(p, []byte("second")) {
					gate.wait()
				}
			}, ready("s-1", addr))
			c := testutil.Dial(t, l.ln.Addr().String())
			in := bufio.NewReader(c)
			send(t, c, get("first"))
			answered(t, in)
			receive(t, got, "the first request")
			eventually(t, "the connection to be idle", func() bool {
				l.front.conns.mu.Lock()
				defer l.front.conns.mu.Unlock()
				return l.front.conns.idle.Len() == 1
			})
			send(t, c, get("second"))
			receive(t, gate.reached, "the second request to be read")
			over := end(t, l)
			gate.let()
			receive(t, l.closed, "the end of the handler")
			if left, err := io.ReadAll(in); len(left) > 0 {
				t.Errorf("%q, %v: an answer on a closed connection", left, err)
			}
			if err := receive(t, over, "the end"); err != nil {
				t.Error(err)
			}
			select {
			case path := <-got:
				t.Errorf("%s was read from a connection that was being closed, and forwarded", path)
			default:
			}
		})
	}
}

// A request that was read before the shutdown must be answered, however late its handler starts.
func TestRequestThatWasReadOutlivesShutdown(t *testing.T) {
	t.Parallel()
	gate := newBarrier(t)
	addr, got := answering(t, 6)
	l := serveFront(t, nil, ready("s-1", addr))
	l.front.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "second") {
			gate.wait()
		}
		l.front.ServeHTTP(w, r)
	})
	c := testutil.Dial(t, l.ln.Addr().String())
	in := bufio.NewReader(c)
	send(t, c, get("first"))
	answered(t, in)
	receive(t, got, "the first request")
	send(t, c, get("second"))
	receive(t, gate.reached, "the handler")
	l.front.Stop()
	l.ln.Close()
	l.front.conns.mu.Lock()
	for far := range l.front.conns.open {
		far.lastProgress = far.lastProgress.Add(-time.Minute) // as if nothing had arrived for long
	}
	l.front.conns.mu.Unlock()
	l.front.conns.endIdle()
	if l.front.conns.endAllIfQuiet() {
		t.Fatal("the shutdown ends a connection whose request it has read")
	}
	over := make(chan error, 1)
	go func() { over <- l.front.Shutdown(t.Context()) }()
	gate.let()
	if status, closes := answered(t, in); status != http.StatusOK || !closes {
		t.Errorf("status %d, closes the connection: %v", status, closes)
	}
	if err := receive(t, over, "the end of the shutdown"); err != nil {
		t.Error(err)
	}
}

// Unread bytes that a client has sent after its request must not reset the connection while the client still reads the
// answer.
func TestAnswerIsNotLostAtClose(t *testing.T) {
	t.Parallel()
	const size = 60 << 10
	addr, _ := answering(t, size)
	l := serveFront(t, nil, ready("s-1", addr))
	l.front.Stop() // every answer closes its connection
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		return errors.Join(err, optErr)
	}}
	c, err := d.Dial("tcp", l.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	send(t, c, get("first")+get("second")+strings.Repeat("x", 16<<10))
	receive(t, l.closed, "the close by the proxy")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes of %d: %v", n, size, err)
	}
}

// TCP_NODELAY must be set, so that small writes aren't delayed, on accepted and handed-over client connections and on
// backend connections.
func TestNoDelayIsSet(t *testing.T) {
	t.Parallel()
	checkNoDelay := func(what string, c net.Conn) {
		t.Helper()
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		err = raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("%s: TCP_NODELAY is not set: %v", what, err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	addr, _ := answering(t, 6)
	l := serveFront(t, nil, ready("s-1", addr))
	c := testutil.Dial(t, l.ln.Addr().String())
	send(t, c, get("first"))
	answered(t, bufio.NewReader(c))
	far := receive(t, l.ln.all, "the connection")
	checkNoDelay("a client", far.TCPConn)
	file, err := far.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	passed, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	defer passed.Close()
	checkNoDelay("a client that was handed over", passed)
	x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(waitTimeout)}
	r := x.run(t.Context(), waitTimeout, nil)
	if r.conn == nil {
		t.Fatalf("%+v", r)
	}
	defer r.conn.Close()
	checkNoDelay("a backend", r.conn.Conn)
}

// halfway starts an attempt of which all but the last byte has been sent.
func halfway(t *testing.T, then func(c net.Conn, in *bufio.Reader)) (x *exchange, ended chan Reply) {
	begun := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		_, _ = in.Peek(1)
		close(begun)
		then(c, in)
	})
	x = &exchange{
		backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr),
		deadline: time.Now().Add(waitTimeout), holdback: waitTimeout / 2,
	}
	ended = make(chan Reply, 1)
	go func() { ended <- x.run(context.Background(), waitTimeout, nil) }()
	receive(t, begun, "the first bytes")
	return x, ended
}

// While the last byte is held back, the call may be answered or its client may disconnect. The last byte must not be sent
// then.
func TestLastByteNeedsThePermit(t *testing.T) {
	t.Parallel()
	rest := make(chan []byte, 1)
	gate := make(chan struct{})
	x, ended := halfway(t, func(c net.Conn, in *bufio.Reader) {
		<-gate
		_, _ = io.WriteString(c, okAnswer) // ends the holdback
		all, _ := io.ReadAll(in)
		rest <- all
	})
	if !x.permit.Revoke() {
		t.Fatal("the permit was claimed before the last byte was sent")
	}
	close(gate)
	if r := receive(t, ended, "the attempt's end"); !r.result.NeverRan() || r.conn != nil {
		t.Errorf("%v, connection kept: %v", r.result, r.conn != nil)
	}
	if got := receive(t, rest, "the connection's end"); bytes.HasSuffix(got, []byte("\r\n\r\n")) {
		t.Error("the request was sent completely")
	}
}

// An answer that arrives before the request is complete may be a second answer to the previous request. It must not be
// taken for the answer to this one, or the client would get another client's answer.
func TestEarlyAnswerIsNotUsed(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]balancer.Result{
		okAnswer: balancer.NotSent,
		"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n": balancer.Rejected,
		"HTTP/1.1 20": balancer.NotSent,
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n": balancer.NotSent,
	} {
		_, ended := halfway(t, func(c net.Conn, in *bufio.Reader) {
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, in)
		})
		if r := receive(t, ended, "the attempt's end"); r.result != want || r.conn != nil {
			t.Errorf("%.20q: %v, connection kept: %v", text, r.result, r.conn != nil)
		}
	}
}

// A connection closed by cancelling the attempt must not be reported to the connection model as broken.
func TestCancellationIsNoConnectionOutcome(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	ctx, cancel := context.WithCancel(t.Context())
	x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(waitTimeout)}
	ended := make(chan Reply, 1)
	go func() { ended <- x.run(ctx, waitTimeout, nil) }()
	receive(t, got, "the request")
	cancel()
	if r := receive(t, ended, "the attempt's end"); r.result != balancer.Cancelled || r.connOutcome.Broken {
		t.Errorf("%v, reported as broken: %v", r.result, r.connOutcome.Broken)
	}
}

// A keyed request may be retried within its idempotency window, and a dial may outlast the rest of the window: the permit
// must be checked when the last byte is sent.
func TestNothingIsSentAfterTheIdempotencyWindow(t *testing.T) {
	t.Parallel()
	var paths [2]chan string
	var entries []engine.Entry
	for i := range paths {
		got := make(chan string, 4)
		paths[i] = got
		entries = append(entries, ready(fmt.Sprint("s-", i), rawBackend(t, func(c net.Conn, in *bufio.Reader) {
			for {
				r, ok := readRequest(in)
				if !ok {
					return
				}
				got <- r.URL.Path
				_, _ = io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n") // it may have run
			}
		})))
	}
	l := newManualEngine(t, entries...)
	cfg := testutil.Module(t)
	const window = 150 * time.Millisecond
	cfg.Classes[2].IdempotencyWindow = window
	if err := l.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	r := l.startCall(2, time.Minute)
	first := l.Now()
	r.ClientConnected = func() bool { // called after the dial and before the write
		if len(r.Attempts()) > 1 {
			time.Sleep(time.Until(l.WallTime(first + window + time.Millisecond)))
		}
		return true
	}
	for !r.Answered() {
		l.Dispatch(receive(t, l.Events(), "the next event"))
	}
	if n := len(paths[0]) + len(paths[1]); n != 1 || len(r.Attempts()) < 2 {
		t.Errorf("%d of %d attempts were sent", n, len(r.Attempts()))
	}
}

// No attempt may be sent for a client that has disconnected, even if unread bytes precede the end of its connection, and
// if the engine has not processed the disconnect yet.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	t.Parallel()
	for _, ahead := range []string{"", "G", get("pipelined"), strings.Repeat("x", 64<<10)} {
		for name, leave := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() }, "reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}} {
			addr, got := answering(t, 6)
			l := serveFront(t, nil, ready("s-1", addr))
			before, after := newBarrier(t), newBarrier(t)
			l.Post(before.wait)
			receive(t, before.reached, "the engine")
			c := testutil.Dial(t, l.ln.Addr().String())
			send(t, c, get("first"))
			eventually(t, "the request to be posted to the engine", func() bool { return len(l.Events()) > 0 })
			l.Post(after.wait) // the engine processes the request, but no later event
			send(t, c, ahead)  // net/http notices a disconnect only if no bytes precede it
			leave(c)
			far := receive(t, l.ln.all, "the connection")
			eventually(t, "the disconnect to arrive", func() bool { return ended(far.TCPConn) })
			before.let()
			receive(t, after.reached, "the engine to process the request")
			events := 1 // the attempt's end
			if ahead == "" {
				events++ // the disconnect reported by the handler
			}
			eventually(t, "the attempt's end", func() bool { return len(l.Events()) >= events })
			after.let()
			receive(t, l.closed, "the end of the handler")
			select {
			case path := <-got:
				t.Errorf("%d bytes before the end, %s: %s was sent", len(ahead), name, path)
			default:
			}
		}
	}
}

// ended reports whether the peer has closed a connection, without reading from it.
func ended(c *net.TCPConn) (is bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		const established = 1
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		is = err == nil && info.State != established
	})
	return is || err != nil
}
