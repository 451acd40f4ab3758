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

// serving is a front that serves at a listener until the test ends.
func serving(t *testing.T, entries ...engine.Entry) (*Front, net.Listener) {
	t.Helper()
	front, ln, run := servingLater(t, entries...)
	run()
	return front, ln
}

// servingLater is a front whose engine does nothing before run is called.
func servingLater(t *testing.T, entries ...engine.Entry) (front *Front, ln net.Listener, run func()) {
	t.Helper()
	front = stillEngine(t, entries...).front
	front.SetMost(64)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	// The engine begins with the list that it was made with, and that has none.
	front.engine.Post(func() {
		front.engine.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 1, Entries: entries})
	})
	t.Cleanup(func() {
		front.http.Close()
		front.clients.close()
		<-served
		stop()
		<-front.engine.Done()
	})
	return front, ln, func() { go front.engine.Run(ctx) }
}

// echo answers with what came, as its server read it.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %s %x %d", r.Method, r.URL.Path, r.Header.Get(headerID), sha256.Sum256(body), len(body))
}

// to gives connections to another front, as another process would have them: in descriptors of
// its own.
func to(t *testing.T, next *Front, taken *atomic.Int64) Giver {
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

// inChunks puts a body in chunks of some sizes, with all that may stand around them.
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

// Wherever in a request, before it or between two, a connection is given to the next process: what
// the client asks is what that one reads, and the client sees nothing of it.
func TestARequestGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		old, ln := serving(t)
		next, _ := serving(t)
		next.http.Handler = http.HandlerFunc(echo)
		body := strings.Repeat("abcdefg", rapid.IntRange(0, 110<<10).Draw(rt, "length")/7)
		const id = "00000000000000aa"
		head := "POST /bid/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n" + headerID + ": " + id + "\r\n"
		var text string
		switch rapid.SampledFrom([]string{"length", "chunks", "none"}).Draw(rt, "form") {
		case "length":
			text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		case "chunks":
			text = head + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(rt, body)
		default:
			body, text = "", head+"\r\n"
		}
		cut := rapid.IntRange(0, len(text)-1).Draw(rt, "cut")
		settled := rapid.Bool().Draw(rt, "what has come is read")
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		client.SetDeadline(time.Now().Add(testutil.Patience))
		io.WriteString(client, text[:cut])
		eventually(t, "the connection to be taken", func() bool {
			old.clients.mu.Lock()
			defer old.clients.mu.Unlock()
			return len(old.clients.open) == 1
		})
		if settled {
			eventually(t, "all to be read", func() bool {
				old.clients.mu.Lock()
				defer old.clients.mu.Unlock()
				for c := range old.clients.open {
					return sockets.Quiet(c.Conn)
				}
				return false
			})
		}
		var taken atomic.Int64
		old.LetGo(to(t, next, &taken))
		if settled {
			eventually(t, fmt.Sprintf("it to be taken, cut at %d of %.400q", cut, text), func() bool { return taken.Load() == 1 })
		}
		io.WriteString(client, text[cut:])
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			rt.Fatalf("cut at %d of %q: %v", cut, text[:min(len(text), 300)], err)
		}
		got, _ := io.ReadAll(resp.Body)
		if !settled && resp.StatusCode == http.StatusServiceUnavailable {
			return // it had come whole before it could be given: the old one, which has no backends, answered
		}
		if want := fmt.Sprintf("POST /bid/x %s %x %d", id, sha256.Sum256([]byte(body)), len(body)); string(got) != want {
			rt.Fatalf("cut at %d of %.300q: %d %q, want %q", cut, text, resp.StatusCode, got, want)
		}
		eventually(t, "the old one to have nothing left", func() bool {
			old.clients.mu.Lock()
			defer old.clients.mu.Unlock()
			return len(old.clients.open) == 0 && old.room.Used() == 0
		})
		client.Close()
		eventually(t, "the room to be given back", func() bool { return next.room.Used() == 0 })
	})
}

// isNudged tells whether the one connection of a front has a nudge that no read has taken, and whether it has one.
func isNudged(f *Front) (nudged, open bool) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for c := range f.clients.open {
		c.reads.Lock()
		defer c.reads.Unlock()
		return c.nudged, true
	}
	return false, false
}

// A request that has been read whole is this process's, also while its handler has not begun and net/http reads on
// behind it: the connection goes to the next process with its answer, or after it.
func TestARequestThatWasReadIsNotGivenAway(t *testing.T) {
	t.Parallel()
	old, ln := serving(t)
	next, _ := serving(t)
	gate := newBarrier(t)
	old.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gate.wait()
		old.ServeHTTP(w, r)
	})
	client := testutil.Dial(t, ln.Addr().String())
	io.WriteString(client, get("whole"))
	receive(t, gate.reached, "the handler")
	var taken atomic.Int64
	old.LetGo(to(t, next, &taken))
	eventually(t, "the read behind the request to have seen that", func() bool {
		nudged, open := isNudged(old)
		return !nudged || !open // else it has been given away
	})
	gate.let()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable { // it has no backends
		t.Error(resp.Status)
	}
}

// A body that is already on its way to a backend, as there was no room to collect it, goes on
// elsewhere too while all that has come of it is here. A read that fails ends the request's context
// before its reader hears of it: whichever is met first, it goes on (20 times over).
func TestABodyOnItsWayGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	reading := rawBackend(t, func(_ net.Conn, in *bufio.Reader) { io.Copy(io.Discard, in) })
	for range 20 {
		old, ln, run := servingLater(t, ready("s-1", reading))
		next, _ := serving(t)
		next.http.Handler = http.HandlerFunc(echo)
		body := strings.Repeat("abcdefgh", 96<<10/8)
		client := testutil.Dial(t, ln.Addr().String())
		const others = 680 << 10
		if !old.room.TryAcquire(others, budget.Large) {
			t.Fatal("no room to take")
		}
		fmt.Fprintf(client, "POST /bid/x HTTP/1.1\r\nHost: a\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n%s: 00000000000000aa\r\nContent-Length: %d\r\n\r\n",
			headerID, len(body))
		io.WriteString(client, body[:40<<10])
		partly := func() bool {
			old.clients.mu.Lock()
			defer old.clients.mu.Unlock()
			for c := range old.clients.open {
				return c.partly
			}
			return false
		}
		eventually(t, "it to be on its way", partly)
		old.room.Release(others, budget.Large)
		run()
		io.WriteString(client, body[40<<10:80<<10])
		eventually(t, "all to be read", func() bool {
			old.clients.mu.Lock()
			defer old.clients.mu.Unlock()
			for c := range old.clients.open {
				return sockets.Quiet(c.Conn)
			}
			return false
		})
		var taken atomic.Int64
		old.LetGo(to(t, next, &taken))
		eventually(t, "it to be taken", func() bool { return taken.Load() == 1 })
		io.WriteString(client, body[80<<10:])
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(resp.Body); !strings.HasSuffix(string(got), fmt.Sprintf("%x %d", sha256.Sum256([]byte(body)), len(body))) {
			t.Fatalf("%d %q", resp.StatusCode, got)
		}
	}
}

// A connection that rests between two requests goes on too; and where nobody takes what is given,
// all goes on here.
func TestKeptConnectionsGoOnElsewhere(t *testing.T) {
	t.Parallel()
	for _, takes := range []bool{true, false} {
		old, ln := serving(t)
		old.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			clientOf(r).begins()
			echo(w, r)
		})
		next, _ := serving(t)
		next.http.Handler = http.HandlerFunc(echo)
		client := testutil.Dial(t, ln.Addr().String())
		in := bufio.NewReader(client)
		ask := func() {
			t.Helper()
			io.WriteString(client, "POST /bid/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, _ := io.ReadAll(resp.Body); !strings.HasSuffix(string(body), " 3") {
				t.Errorf("%d %q", resp.StatusCode, body)
			}
		}
		ask()
		var taken, offered atomic.Int64
		give := to(t, next, &taken)
		old.LetGo(func(state []byte, c, b net.Conn) bool {
			offered.Add(1)
			return takes && give(state, c, b)
		})
		eventually(t, "it to be offered", func() bool { return offered.Load() == 1 })
		ask()
		ask()
		if got := taken.Load() == 1; got != takes {
			t.Errorf("taken: %v", got)
		}
	}
}

// A request in hand, whose last byte has come, is answered where it is; the nudge to give its
// connection away does not end it.
func TestARequestInHandStays(t *testing.T) {
	t.Parallel()
	old, ln := serving(t)
	inHand, finish := make(chan *client, 1), make(chan struct{})
	old.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := clientOf(r)
		c.begins()
		io.Copy(io.Discard, r.Body)
		inHand <- c
		select {
		case <-finish:
			echo(w, r)
		case <-r.Context().Done():
			t.Error("the request is cancelled")
		}
	})
	near := testutil.Dial(t, ln.Addr().String())
	io.WriteString(near, "POST /bid/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	c := receive(t, inHand, "the request")
	old.LetGo(func([]byte, net.Conn, net.Conn) bool { return false })
	c.nudge() // as where it was still being read when the nudge was on its way
	eventually(t, "the nudge to be taken", func() bool {
		c.reads.Lock()
		defer c.reads.Unlock()
		return !c.nudged
	})
	close(finish)
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%+v %v", resp, err)
	}
}

// What is too much, or finds no room, is not taken, and its giver keeps it.
func TestAdoptTurnsDown(t *testing.T) {
	t.Parallel()
	next, ln := serving(t)
	far := testutil.Dial(t, ln.Addr().String())
	if err := next.AdoptClient(make([]byte, 2<<20), far); !errors.Is(err, errNoRoom) {
		t.Errorf("2 MB in a room of 1: %v", err)
	}
	next.SetMost(0)
	if err := next.AdoptClient(make([]byte, 100<<10), far); err == nil || next.room.Used() != 0 {
		t.Errorf("with no place: %v, %d bytes held", err, next.room.Used())
	}
}

// A body on its way whose beginning has made room for more can't go on elsewhere: the nudge must not
// end its reading here, where it comes whole.
func TestWhatCannotGoOnStays(t *testing.T) {
	t.Parallel()
	served := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	old, ln := serving(t, ready("s-1", served))
	body := strings.Repeat("abcdefgh", 300<<10/8) // more than an eighth of the room
	client := testutil.Dial(t, ln.Addr().String())
	fmt.Fprintf(client, "POST /bid/x HTTP/1.1\r\nHost: a\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n%s: 00000000000000aa\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		headerID, len(body))
	io.WriteString(client, body[:280<<10])
	eventually(t, "its beginning to have gone", func() bool {
		old.clients.mu.Lock()
		defer old.clients.mu.Unlock()
		for c := range old.clients.open {
			if !c.partly {
				return false
			}
			_, all := c.body.all()
			return !all && sockets.Quiet(c.Conn)
		}
		return false
	})
	old.LetGo(func(come []byte, _, _ net.Conn) bool {
		if len(come) > 0 { // else it is the connection, when all is answered
			t.Error("it is given away")
		}
		return false
	})
	eventually(t, "the nudge to be taken", func() bool {
		nudged, open := isNudged(old)
		return open && !nudged
	})
	io.WriteString(client, body[280<<10:]+"\r\n0\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("%+v %v", resp, err)
	}
}
