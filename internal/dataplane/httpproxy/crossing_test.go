package httpproxy

import (
	"bufio"
	"bytes"
	"context"
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

// barrier holds somebody up at a point until the test lets go.
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

// gated is a client's connection that is held up between a read and what becomes of it.
type gated struct {
	*net.TCPConn
	read func(p []byte)

	mu   sync.Mutex
	ends chan struct{} // closed when this side ends the connection, or its reads; nil: nobody wants to know
}

// watch gives a channel that is closed when this side ends the connection, or its reads, from now on.
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

// served is a front that serves, its engine running.
type served struct {
	*still
	ln     *gates
	closed chan struct{} // a connection has ended, and its handlers with it
}

func serveFront(t *testing.T, read func(p []byte), entries ...engine.Entry) *served {
	t.Helper()
	l := &served{still: stillEngine(t), closed: make(chan struct{}, 8)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if read == nil {
		read = func([]byte) {}
	}
	l.ln = &gates{ln, read, make(chan *gated, 8)}
	l.front.SetMost(9)
	told := l.front.http.ConnState
	l.front.http.ConnState = func(c net.Conn, s http.ConnState) {
		told(c, s)
		if s == http.StateClosed {
			l.closed <- struct{}{}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	l.Post(func() {
		l.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 1, Entries: entries})
	})
	go l.front.Serve(l.ln)
	t.Cleanup(func() {
		l.ln.Close()
		l.front.http.Close()
		l.front.clients.close()
		stop()
		<-l.Done()
	})
	return l
}

// get is a request for a listing.
func get(about string) string {
	return fmt.Sprintf("GET /lot-list/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 12000m\r\n\r\n",
		about, lastName.Add(1))
}

// answering is a backend that tells of each request and answers it with a body of n bytes.
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

func answered(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("half an answer: %v", err)
	}
	return resp
}

// A request that is read on a resting connection while that is ended, by the shutdown or to make room for others, is
// nobody's: its client is told by the connection's end that it may send it once more, so it must not be sent on.
// net/http ends a connection between the read and the state that shows it, and served the request all the same.
func TestARequestReadAsItsConnectionEndsIsNotSentOn(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, l *served) (over chan error){
		"by the shutdown": func(t *testing.T, l *served) chan error {
			far := receive(t, l.ln.all, "the connection")
			l.ln.Close()
			over, ends := make(chan error, 1), far.watch()
			go func() { over <- l.front.Shutdown(t.Context()) }()
			receive(t, ends, "the connection's end")
			return over
		},
		"to make room": func(t *testing.T, l *served) chan error {
			l.front.SetMost(0)
			over := make(chan error, 1)
			over <- nil
			return over
		},
	} {
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
			io.WriteString(c, get("first"))
			answered(t, in)
			receive(t, got, "the first request")
			eventually(t, "the connection to rest", func() bool {
				l.front.clients.mu.Lock()
				defer l.front.clients.mu.Unlock()
				return l.front.clients.idle.Len() == 1
			})
			io.WriteString(c, get("second"))
			receive(t, gate.reached, "the second request to be read")
			over := end(t, l)
			gate.let()
			receive(t, l.closed, "the end of its handlers")
			if left, err := io.ReadAll(in); len(left) > 0 {
				t.Errorf("%q, %v: an answer on a connection that was ended", left, err)
			}
			if err := receive(t, over, "the end"); err != nil {
				t.Error(err)
			}
			select {
			case path := <-got:
				t.Errorf("%s was read from a connection that was ended, and sent on", path)
			default:
			}
		})
	}
}

// One that has been read before is answered, however long its handler is in beginning.
func TestARequestThatWasReadOutlivesTheShutdown(t *testing.T) {
	t.Parallel()
	gate := newBarrier(t)
	addr, got := answering(t, 6)
	l := serveFront(t, nil, ready("s-1", addr))
	l.front.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "second") {
			gate.wait()
		}
		l.front.ServeHTTP(w, r)
	})
	c := testutil.Dial(t, l.ln.Addr().String())
	in := bufio.NewReader(c)
	io.WriteString(c, get("first"))
	answered(t, in)
	receive(t, got, "the first request")
	io.WriteString(c, get("second"))
	receive(t, gate.reached, "the handler")
	l.front.Stop()
	l.ln.Close()
	l.front.clients.mu.Lock()
	for far := range l.front.clients.open {
		far.progress = far.progress.Add(-time.Minute) // nothing has come for long
	}
	l.front.clients.mu.Unlock()
	l.front.clients.endResting()
	if l.front.clients.endAll() {
		t.Fatal("the shutdown ends a connection whose request it has read")
	}
	over := make(chan error, 1)
	go func() { over <- l.front.Shutdown(t.Context()) }()
	gate.let()
	if resp := answered(t, in); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("%s, ends its connection: %v", resp.Status, resp.Close)
	}
	if err := receive(t, over, "the end of the shutdown"); err != nil {
		t.Error(err)
	}
}

// What a client has sent behind its request, and nobody reads, must not reset away the answer that it still reads.
func TestAnAnswerOutlivesItsConnectionsEnd(t *testing.T) {
	t.Parallel()
	const size = 60 << 10
	addr, _ := answering(t, size)
	l := serveFront(t, nil, ready("s-1", addr))
	l.front.Stop() // every answer ends its connection
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", l.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, get("first")+get("second")+strings.Repeat("x", 16<<10))
	receive(t, l.closed, "the connection's end here")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes of %d: %v", n, size, err)
	}
}

// Nothing small is held back: neither to clients, whose connection came by a descriptor or not, nor to backends.
func TestNothingSmallIsHeldBack(t *testing.T) {
	t.Parallel()
	quick := func(what string, c net.Conn) {
		t.Helper()
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("%s: what is small waits: %v", what, err)
			}
		})
	}
	addr, _ := answering(t, 6)
	l := serveFront(t, nil, ready("s-1", addr))
	c := testutil.Dial(t, l.ln.Addr().String())
	io.WriteString(c, get("first"))
	answered(t, bufio.NewReader(c))
	far := receive(t, l.ln.all, "the connection")
	quick("a client", far.TCPConn)
	file, err := far.TCPConn.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	passed, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	defer passed.Close()
	quick("a client that was passed on", passed)
	x := &exchange{to: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), speaks: platformDialect(), msg: probeMessage(addr), until: time.Now().Add(patience)}
	r := x.run(t.Context(), patience, nil)
	if r.conn == nil {
		t.Fatalf("%+v", r)
	}
	defer r.conn.Close()
	quick("a backend", r.conn.Conn)
}

// halfway is an attempt of which all but the last byte is out.
func halfway(t *testing.T, then func(c net.Conn, in *bufio.Reader)) (x *exchange, ended chan Reply) {
	begun := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		in.Peek(1)
		close(begun)
		then(c, in)
	})
	x = &exchange{
		to: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), speaks: platformDialect(), msg: probeMessage(addr),
		until: time.Now().Add(patience), hold: patience / 2,
	}
	ended = make(chan Reply, 1)
	go func() { ended <- x.run(context.Background(), patience, nil) }()
	receive(t, begun, "the first bytes")
	return x, ended
}

// While the last byte is kept back the call may be answered, or its client leave. That byte never goes out then.
func TestTheLastByteNeedsThePermit(t *testing.T) {
	t.Parallel()
	rest := make(chan []byte, 1)
	gate := make(chan struct{})
	x, ended := halfway(t, func(c net.Conn, in *bufio.Reader) {
		<-gate
		io.WriteString(c, okAnswer) // which ends the wait
		all, _ := io.ReadAll(in)
		rest <- all
	})
	if !x.permit.Revoke() {
		t.Fatal("the permit is used, and the last byte is not out")
	}
	close(gate)
	if r := receive(t, ended, "the attempt's end"); !r.result.NeverRan() || r.conn != nil {
		t.Errorf("%v, connection kept: %v", r.result, r.conn != nil)
	}
	if got := receive(t, rest, "the connection's end"); bytes.HasSuffix(got, []byte("\r\n\r\n")) {
		t.Error("the request went out whole")
	}
}

// What a backend says before a request is whole is no answer to it: a second answer to the one before, or the end of
// one. Read as this one's its client would get another's.
func TestAnEarlyAnswerIsNobodys(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]balancer.Result{
		okAnswer: balancer.NotSent,
		"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n": balancer.Rejected,
		"HTTP/1.1 20": balancer.NotSent,
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n": balancer.NotSent,
	} {
		_, ended := halfway(t, func(c net.Conn, in *bufio.Reader) {
			io.WriteString(c, text)
			io.Copy(io.Discard, in)
		})
		if r := receive(t, ended, "the attempt's end"); r.result != want || r.conn != nil {
			t.Errorf("%.20q: %v, connection kept: %v", text, r.result, r.conn != nil)
		}
	}
}

// Whoever was called off by this side has not seen a connection break.
func TestACallOffTeachesNothingOfConnections(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	ctx, cancel := context.WithCancel(t.Context())
	x := &exchange{to: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), speaks: platformDialect(), msg: probeMessage(addr), until: time.Now().Add(patience)}
	ended := make(chan Reply, 1)
	go func() { ended <- x.run(ctx, patience, nil) }()
	receive(t, got, "the request")
	cancel()
	if r := receive(t, ended, "the attempt's end"); r.result != balancer.Cancelled || r.end.Broken {
		t.Errorf("%v, a break: %v", r.result, r.end.Broken)
	}
}

// A keyed request may go again within its window, and a dial may take longer than what is left of it: the permit is
// looked at where the last byte goes out.
func TestNothingGoesOutAfterTheWindow(t *testing.T) {
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
				io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n") // it may have run
			}
		})))
	}
	l := stillEngine(t, entries...)
	cfg := testutil.Module(t)
	const window = 150 * time.Millisecond
	cfg.Classes[2].IdempotencyWindow = window
	if err := l.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	r := l.ask(2, time.Minute)
	first := l.Now()
	r.ClientConnected = func() bool { // the dial is done: what follows is the write
		if len(r.Attempts()) > 1 {
			time.Sleep(time.Until(l.WallTime(first + window + time.Millisecond)))
		}
		return true
	}
	for !r.Answered() {
		l.Dispatch(receive(t, l.Events(), "the next event"))
	}
	if n := len(paths[0]) + len(paths[1]); n != 1 || len(r.Attempts()) < 2 {
		t.Errorf("%d of %d attempts went out", n, len(r.Attempts()))
	}
}

// A client that has left gets no attempt, whatever stands before its end in the connection, and however far the
// engine is behind with the word of it.
func TestNoAttemptForAClientThatLeft(t *testing.T) {
	t.Parallel()
	for _, ahead := range []string{"", "G", get("pipelined"), strings.Repeat("x", 64<<10)} {
		for name, leave := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() }, "reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}} {
			addr, got := answering(t, 6)
			l := serveFront(t, nil, ready("s-1", addr))
			before, after := newBarrier(t), newBarrier(t)
			l.Post(before.wait)
			receive(t, before.reached, "the engine")
			c := testutil.Dial(t, l.ln.Addr().String())
			io.WriteString(c, get("first"))
			eventually(t, "the request to be taken", func() bool { return len(l.Events()) > 0 })
			l.Post(after.wait)       // the engine comes to the request, and to nothing that comes later
			io.WriteString(c, ahead) // net/http looks for the client's end no further than this
			leave(c)
			far := receive(t, l.ln.all, "the connection")
			eventually(t, "the client's end to be here", func() bool { return ended(far.TCPConn) })
			before.let()
			receive(t, after.reached, "the engine behind the request")
			events := 1 // the attempt's end,
			if ahead == "" {
				events++ // and the handler's word that the client has left
			}
			eventually(t, "the attempt's end", func() bool { return len(l.Events()) >= events })
			after.let()
			receive(t, l.closed, "the end of the handler")
			select {
			case path := <-got:
				t.Errorf("%d bytes ahead, %s: %s was sent on", len(ahead), name, path)
			default:
			}
		}
	}
}

// ended tells whether the peer has ended a connection, without reading from it.
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
