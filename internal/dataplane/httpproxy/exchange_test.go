package httpproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// While an attempt dials, its backend may start to drain, or its request may be answered.
// The request must not be written then.
func TestLateDialSendsNothing(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(x *exchange){
		"draining": func(x *exchange) { x.backend = engine.NewBackend("s-1", x.backend.Addr, false) },
		"answered": func(x *exchange) { x.permit.Revoke() },
	} {
		got := make(chan int64, 1)
		addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
			n, _ := io.Copy(io.Discard, in)
			got <- n
		})
		x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(waitTimeout)}
		spoil(x)
		r := x.run(context.Background(), waitTimeout, nil)
		if r.result != balancer.NotSent || r.conn == nil {
			t.Fatalf("%s: %+v", name, r)
		}
		r.conn.Close()
		if n := receive(t, got, "the end of the connection"); n != 0 {
			t.Errorf("%s: %d bytes were sent", name, n)
		}
	}
}

// A vanished machine sends nothing, not even a reset. An attempt there must end at its deadline.
func TestSilenceIsATimeout(t *testing.T) {
	t.Parallel()
	addr, got := silent(t)
	x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(time.Second)}
	if r := x.run(context.Background(), waitTimeout, nil); r.result != balancer.Timeout || r.conn != nil {
		t.Errorf("%+v", r)
	}
	receive(t, got, "the request")
}

// An idle connection must stay usable after the deadline of its last exchange. When it
// didn't, most were closed within a second, and each cost a new handshake.
func TestIdleConnectionOutlivesItsExchange(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(2 * time.Second)}
	r := x.run(context.Background(), waitTimeout, nil)
	if r.conn == nil {
		t.Fatalf("the connection was not kept: %+v", r)
	}
	defer r.conn.Close()
	time.Sleep(time.Until(x.deadline) + 10*time.Millisecond)
	if !r.conn.reusable() {
		t.Error("an idle connection is not reusable after the deadline of its last exchange")
	}
}

// 1xx answers before the final answer are skipped; bytes after the answer prevent the reuse of the connection.
func TestInterimAndSurplusAnswers(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+okAnswer+strings.Repeat("x", 10))
			readRequest(in)
		}
	})
	x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(waitTimeout)}
	r := x.run(context.Background(), waitTimeout, nil)
	if r.result != balancer.OK || string(r.body) != "served" || r.conn != nil {
		t.Errorf("%v %q, connection kept: %v", r.result, r.body, r.conn != nil)
	}
}

func TestLoadReport(t *testing.T) {
	t.Parallel()
	h := http.Header{}
	h.Set(headerLoad, `{"pending":2,"busy_reqs":7}`)
	if got := parseLoadReport(h, []string{"busy_reqs", "pending"}); len(got) != 2 || got[0] != 7 || got[1] != 2 {
		t.Error(got)
	}
	h.Set(headerLoad, `{"pending":`)
	if got := parseLoadReport(h, []string{"busy_reqs"}); got != nil {
		t.Error(got)
	}
}

// A malformed answer must end its attempt at once, as one that may have run. The backend keeps
// the connection open, so that waiting for more bytes would last until the deadline.
func TestMalformedAnswersEndAtOnce(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"noise":                  "\x93\xb2\x19\xe4 no line end",
		"one byte of noise":      "\x93",
		"another protocol":       "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"an invalid status code": "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
		"words in another order": "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok",
		"no colon":               ok + "no colon here\r\nContent-Length: 2\r\n\r\nok",
		"an endless head":        ok + strings.Repeat("X-Pad: pppppppppp\r\n", 4000),
		"two lengths":            ok + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nok",
		"a negative length":      ok + "Content-Length: -2\r\n\r\nok",
		"three gigabytes":        ok + "Content-Length: 3000000000\r\n\r\nok",
		"bad chunks":             ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
		"a chunk without CR":     ok + "Transfer-Encoding: chunked\r\n\r\n5\nabcde\r\n0\r\n\r\n",
		"a chunk too long":       ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdef\r\n0\r\n\r\n",
		"an endless extension":   ok + "Transfer-Encoding: chunked\r\n\r\n5;" + strings.Repeat("x", 9000),
		"an endless trailer":     ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X-Pad: pppppppppp\r\n", 4000),
		"another protocol asked": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"interim without end":    strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); ok {
					_, _ = io.WriteString(c, answer)
					_, _ = in.ReadByte() // stays open
				}
			})
			x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(waitTimeout)}
			ends := make(chan Reply, 1)
			go func() { ends <- x.run(context.Background(), waitTimeout, nil) }()
			select {
			case r := <-ends:
				if r.result != balancer.Reset || r.conn != nil {
					t.Errorf("%v, connection kept: %v", r.result, r.conn != nil)
				}
			case <-time.After(waitTimeout / 2):
				t.Error("the attempt has not ended before its deadline")
			}
		})
	}
}

// A surplus answer may arrive after the connection was taken for the next request. It must
// not be read as the answer to that request.
func TestSurplusIsNeverTheNextAnswer(t *testing.T) {
	t.Parallel()
	var conns atomic.Int64
	more := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		n := conns.Add(1)
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			if n == 1 {
				<-more
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
			}
		}
	})
	exchangeOn := func(c *backendConn) Reply {
		x := &exchange{backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), conn: c, dialect: platformDialect(), message: probeMessage(addr), deadline: time.Now().Add(waitTimeout)}
		return x.run(context.Background(), waitTimeout, nil)
	}
	first := exchangeOn(nil)
	if first.conn == nil {
		t.Fatalf("the connection is not kept: %+v", first)
	}
	close(more)
	eventually(t, "the surplus to arrive", func() bool { return !first.conn.reusable() })
	second := exchangeOn(first.conn)
	if second.result != balancer.OK || string(second.body) != "2" {
		t.Errorf("%v %q, want a new connection's answer", second.result, second.body)
	}
	if second.conn != nil {
		second.conn.Close()
	}
}

// An incomplete report would attract traffic to a backend as if it were idle.
func TestMalformedLoadReports(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"", "TEXT ?", "%%%", `{"`, `{}`, `{"busy_reqs":7}`, `{"busy_reqs":-1,"pending":0}`,
		`{"busy_reqs":1e30,"pending":0}`, `{"busy_reqs":1e999,"pending":0}`, `{"busy_reqs":null,"pending":0}`,
		`{"busy_reqs":"7","pending":0}`, `[7,0]`,
	} {
		h := http.Header{}
		h.Set(headerLoad, text)
		if got := parseLoadReport(h, []string{"busy_reqs", "pending"}); got != nil {
			t.Errorf("%q: %v", text, got)
		}
	}
}
