package httpproxy

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
	"marlreel/internal/sockets"
	"marlreel/internal/testutil"
)

// serving returns a front that serves on a listener until the test ends.
func serving(t *testing.T, entries ...engine.Entry) (*Front, net.Listener) {
	t.Helper()
	front, ln, run := servingLater(t, entries...)
	run()
	return front, ln
}

// servingLater returns a front whose engine doesn't run before run is called.
func servingLater(t *testing.T, entries ...engine.Entry) (front *Front, ln net.Listener, run func()) {
	t.Helper()
	front = newManualEngine(t, entries...).front
	front.SetMaxConnections(64)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	// The list that the engine was created with is only a cached one; this one is from discovery.
	front.engine.Post(func() {
		front.engine.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 1, Entries: entries})
	})
	t.Cleanup(func() {
		front.server.Close()
		front.conns.close()
		<-served
		stop()
		<-front.engine.Done()
	})
	return front, ln, func() { go front.engine.Run(ctx) }
}

// echo answers with the method, path, id and body hash of the request as it was received.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %s %x %d", r.Method, r.URL.Path, r.Header.Get(headerID), sha256.Sum256(body), len(body))
}

// transferTo hands connections over to another front, with duplicated descriptors as another process
// would get them.
func transferTo(t *testing.T, next *Front, taken *atomic.Int64) TransferFunc {
	return func(state []byte, client, backend net.Conn) bool {
		f, err := client.(*net.TCPConn).File()
		if err != nil {
			t.Error(err)
			return false
		}
		defer f.Close()
		nc, err := net.FileConn(f)
		if err != nil {
			t.Error(err)
			return false
		}
		if err := next.AdoptClient(bytes.Clone(state), nc); err != nil {
			nc.Close()
			t.Error(err)
			return false
		}
		taken.Add(1)
		return true
	}
}

// inChunks encodes a body in chunks of drawn sizes, with drawn zeros, extensions and trailers.
func inChunks(rt *rapid.T, body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := rapid.IntRange(1, min(len(body), 40<<10)).Draw(rt, "chunk")
		ext := rapid.SampledFrom([]string{"", ";x", `;x="y"`}).Draw(rt, "extension")
		fmt.Fprintf(&b, "%s%x%s\r\n%s\r\n", rapid.SampledFrom([]string{"", "0"}).Draw(rt, "zeros"), n, ext, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n" + rapid.SampledFrom([]string{"", "A: b\r\n", "A: b\r\nC: d\r\n"}).Draw(rt, "trailer") + "\r\n"
}

// drawnRequest is a drawn request, and the offset in it at which its connection is handed over.
type drawnRequest struct {
	text, body string
	cut        int
	settled    bool // all bytes sent so far are read before the handover
}

const drawnID = "00000000000000aa"

func drawRequest(rt *rapid.T) drawnRequest {
	var d drawnRequest
	d.body = strings.Repeat("abcdefg", rapid.IntRange(0, 110<<10).Draw(rt, "length")/7)
	head := "POST /bid/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n" + headerID + ": " + drawnID + "\r\n"
	switch rapid.SampledFrom([]string{"length", "chunks", "none"}).Draw(rt, "form") {
	case "length":
		d.text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(d.body), d.body)
	case "chunks":
		d.text = head + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(rt, d.body)
	default:
		d.body, d.text = "", head+"\r\n"
	}
	d.cut = rapid.IntRange(0, len(d.text)-1).Draw(rt, "cut")
	d.settled = rapid.Bool().Draw(rt, "what has come is read")
	return d
}

// allRead reports whether the one connection of a front has no unread bytes.
func allRead(f *Front) bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for c := range f.conns.open {
		return sockets.Idle(c.Conn)
	}
	return false
}

func openConns(f *Front) int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return len(f.conns.open)
}

// Wherever in a request a connection is handed over, the next process must read the request
// unchanged and answer it, unnoticed by the client.
func TestRequestIsHandedOver(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		old, ln := serving(t)
		next, _ := serving(t)
		next.server.Handler = http.HandlerFunc(echo)
		d := drawRequest(rt)
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if err := client.SetDeadline(time.Now().Add(testutil.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		send(t, client, d.text[:d.cut])
		eventually(t, "the connection to be accepted", func() bool { return openConns(old) == 1 })
		if d.settled {
			eventually(t, "all to be read", func() bool { return allRead(old) })
		}
		var taken atomic.Int64
		old.HandOver(transferTo(t, next, &taken))
		if d.settled {
			eventually(t, fmt.Sprintf("the connection to be handed over, cut at %d of %.400q", d.cut, d.text), func() bool { return taken.Load() == 1 })
		}
		send(t, client, d.text[d.cut:])
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			rt.Fatalf("cut at %d of %q: %v", d.cut, d.text[:min(len(d.text), 300)], err)
		}
		defer resp.Body.Close()
		got, _ := io.ReadAll(resp.Body)
		if !d.settled && resp.StatusCode == http.StatusServiceUnavailable {
			return // the request was complete before the handover: the old front, which has no backends, answered
		}
		if want := fmt.Sprintf("POST /bid/x %s %x %d", drawnID, sha256.Sum256([]byte(d.body)), len(d.body)); string(got) != want {
			rt.Fatalf("cut at %d of %.300q: %d %q, want %q", d.cut, d.text, resp.StatusCode, got, want)
		}
		eventually(t, "the old front to have no connection and no memory left", func() bool { return openConns(old) == 0 && old.memory.Used() == 0 })
		client.Close()
		eventually(t, "the memory to be released", func() bool { return next.memory.Used() == 0 })
	})
}

// interruptPending reports whether the one connection of a front has an interrupt that no read has consumed yet, and
// whether that connection is open.
func interruptPending(f *Front) (pending, open bool) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for c := range f.conns.open {
		c.readDeadlineMu.Lock()
		defer c.readDeadlineMu.Unlock()
		return c.interrupted, true
	}
	return false, false
}

// A request that has been read completely must be answered by this process, even if its handler has not started and
// net/http already reads beyond it: the connection may be handed over only after the answer.
func TestRequestThatWasReadIsNotHandedOver(t *testing.T) {
	t.Parallel()
	old, ln := serving(t)
	next, _ := serving(t)
	gate := newBarrier(t)
	old.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gate.wait()
		old.ServeHTTP(w, r)
	})
	client := testutil.Dial(t, ln.Addr().String())
	send(t, client, get("whole"))
	receive(t, gate.reached, "the handler")
	var taken atomic.Int64
	old.HandOver(transferTo(t, next, &taken))
	eventually(t, "the read beyond the request to consume the interrupt", func() bool {
		pending, open := interruptPending(old)
		return !pending || !open // not open: the connection was wrongly handed over
	})
	gate.let()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable { // the old front has no backends
		t.Error(resp.Status)
	}
}

// A body that is already being forwarded, as there was no memory to buffer it, can still be handed
// over while all its received bytes are buffered. The failed read also cancels the request's context,
// possibly before the reader of the body gets the error: the handover must succeed in either order
// (so it is tried 20 times).
func TestRequestWithPartialBodyIsHandedOver(t *testing.T) {
	t.Parallel()
	reading := rawBackend(t, func(_ net.Conn, in *bufio.Reader) { _, _ = io.Copy(io.Discard, in) })
	for range 20 {
		old, ln, run := servingLater(t, ready("s-1", reading))
		next, _ := serving(t)
		next.server.Handler = http.HandlerFunc(echo)
		body := strings.Repeat("abcdefgh", 96<<10/8)
		client := testutil.Dial(t, ln.Addr().String())
		const others = 680 << 10
		if !old.memory.TryAcquire(others, budget.Large) {
			t.Fatal("cannot reserve the memory")
		}
		fmt.Fprintf(client, "POST /bid/x HTTP/1.1\r\nHost: a\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n%s: 00000000000000aa\r\nContent-Length: %d\r\n\r\n",
			headerID, len(body))
		send(t, client, body[:40<<10])
		receiving := func() bool {
			old.conns.mu.Lock()
			defer old.conns.mu.Unlock()
			for c := range old.conns.open {
				return c.receivingBody
			}
			return false
		}
		eventually(t, "the body to be received while the request is served", receiving)
		old.memory.Release(others, budget.Large)
		run()
		send(t, client, body[40<<10:80<<10])
		eventually(t, "all to be read", func() bool {
			old.conns.mu.Lock()
			defer old.conns.mu.Unlock()
			for c := range old.conns.open {
				return sockets.Idle(c.Conn)
			}
			return false
		})
		var taken atomic.Int64
		old.HandOver(transferTo(t, next, &taken))
		eventually(t, "the request to be handed over", func() bool { return taken.Load() == 1 })
		send(t, client, body[80<<10:])
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if got, _ := io.ReadAll(resp.Body); !strings.HasSuffix(string(got), fmt.Sprintf("%x %d", sha256.Sum256([]byte(body)), len(body))) {
			t.Fatalf("%d %q", resp.StatusCode, got)
		}
	}
}

// An idle connection between two requests is handed over too; if the next process doesn't accept
// it, this process goes on serving it.
func TestIdleConnectionsAreHandedOver(t *testing.T) {
	t.Parallel()
	for _, takes := range []bool{true, false} {
		old, ln := serving(t)
		old.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			clientOf(r).beginRequest()
			echo(w, r)
		})
		next, _ := serving(t)
		next.server.Handler = http.HandlerFunc(echo)
		client := testutil.Dial(t, ln.Addr().String())
		in := bufio.NewReader(client)
		startCall := func() {
			t.Helper()
			send(t, client, "POST /bid/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if body, _ := io.ReadAll(resp.Body); !strings.HasSuffix(string(body), " 3") {
				t.Errorf("%d %q", resp.StatusCode, body)
			}
		}
		startCall()
		var taken, offered atomic.Int64
		transfer := transferTo(t, next, &taken)
		old.HandOver(func(state []byte, c, b net.Conn) bool {
			offered.Add(1)
			return takes && transfer(state, c, b)
		})
		eventually(t, "the connection to be offered", func() bool { return offered.Load() == 1 })
		startCall()
		startCall()
		if got := taken.Load() == 1; got != takes {
			t.Errorf("handed over: %v", got)
		}
	}
}

// A completely received request that is being served must be answered by this process; the interrupt
// for the handover must not cancel it.
func TestServedRequestIsNotHandedOver(t *testing.T) {
	t.Parallel()
	old, ln := serving(t)
	inHand, finish := make(chan *clientConn, 1), make(chan struct{})
	old.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := clientOf(r)
		c.beginRequest()
		_, _ = io.Copy(io.Discard, r.Body)
		inHand <- c
		select {
		case <-finish:
			echo(w, r)
		case <-r.Context().Done():
			t.Error("the request is cancelled")
		}
	})
	near := testutil.Dial(t, ln.Addr().String())
	send(t, near, "POST /bid/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	c := receive(t, inHand, "the request")
	old.HandOver(func([]byte, net.Conn, net.Conn) bool { return false })
	c.interruptRead() // as if the handover had started while the request was still being read
	eventually(t, "the interrupt to be consumed", func() bool {
		c.readDeadlineMu.Lock()
		defer c.readDeadlineMu.Unlock()
		return !c.interrupted
	})
	close(finish)
	if status, _ := answered(t, bufio.NewReader(near)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// A connection with too many received bytes, or beyond the connection limit, is not accepted, and no memory stays reserved.
func TestAdoptRejects(t *testing.T) {
	t.Parallel()
	next, ln := serving(t)
	far := testutil.Dial(t, ln.Addr().String())
	if err := next.AdoptClient(make([]byte, 2<<20), far); !errors.Is(err, errNoRoom) {
		t.Errorf("2 MB with a budget of 1 MB: %v", err)
	}
	next.SetMaxConnections(0)
	if err := next.AdoptClient(make([]byte, 100<<10), far); err == nil || next.memory.Used() != 0 {
		t.Errorf("at the connection limit: %v, %d bytes reserved", err, next.memory.Used())
	}
}

// A body whose beginning has been forwarded and discarded can't be handed over: the interrupt must
// not end its reading in this process, which receives the rest.
func TestHandoverThatIsRejected(t *testing.T) {
	t.Parallel()
	served := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	old, ln := serving(t, ready("s-1", served))
	body := strings.Repeat("abcdefgh", 300<<10/8) // more than an eighth of the memory
	client := testutil.Dial(t, ln.Addr().String())
	fmt.Fprintf(client, "POST /bid/x HTTP/1.1\r\nHost: a\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n%s: 00000000000000aa\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		headerID, len(body))
	send(t, client, body[:280<<10])
	eventually(t, "the beginning of the body to be discarded", func() bool {
		old.conns.mu.Lock()
		defer old.conns.mu.Unlock()
		for c := range old.conns.open {
			if !c.receivingBody {
				return false
			}
			_, all := c.body.received()
			return !all && sockets.Idle(c.Conn)
		}
		return false
	})
	old.HandOver(func(partial []byte, _, _ net.Conn) bool {
		if len(partial) > 0 { // without bytes it is the idle connection after the answer
			t.Error("the request is handed over")
		}
		return false
	})
	eventually(t, "the interrupt to be consumed", func() bool {
		pending, open := interruptPending(old)
		return open && !pending
	})
	send(t, client, body[280<<10:]+"\r\n0\r\n\r\n")
	if status, _ := answered(t, bufio.NewReader(client)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
