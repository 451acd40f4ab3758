package proxy

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

	"marlreel"
)

// A spoilt answer ends its attempt at once, as one that may have run. The connection
// behind it stays open: who waits for more waits until the time is up.
func TestSpoiltAnswersEndAtOnce(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"noise":                  "\x93\xb2\x19\xe4 no line end",
		"one byte of noise":      "\x93",
		"another protocol":       "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"a status that is none":  "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
		"words in another order": "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok",
		"no colon":               ok + "no colon here\r\nContent-Length: 2\r\n\r\nok",
		"an endless head":        ok + strings.Repeat("X-Pad: pppppppppp\r\n", 4000),
		"two lengths":            ok + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nok",
		"a negative length":      ok + "Content-Length: -2\r\n\r\nok",
		"three gigabytes":        ok + "Content-Length: 3000000000\r\n\r\nok",
		"no length":              ok + "\r\nok",
		"bad chunks":             ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
		"endless chunks":         ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 200),
		"another protocol asked": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"interim without end":    strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); ok {
					io.WriteString(c, answer)
					in.ReadByte() // stays open
				}
			})
			x := &exchange{to: &backend{addr: addr}, addr: addr, msg: probeMessage(addr), until: time.Now().Add(patience)}
			x.to.ready.Store(true)
			ends := make(chan reply, 1)
			go func() { ends <- x.run(context.Background(), patience, nil) }()
			select {
			case r := <-ends:
				if r.result != marlreel.Reset || r.conn != nil {
					t.Errorf("%v, connection kept: %v", r.result, r.conn != nil)
				}
			case <-time.After(patience / 2):
				t.Error("the attempt waits for its time to be up")
			}
		})
	}
}

// Surplus may come after the answer's connection was taken for the next request. It
// would be read as that one's answer.
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
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
			}
		}
	})
	exchangeOn := func(c *conn) reply {
		x := &exchange{to: &backend{addr: addr}, addr: addr, conn: c, msg: probeMessage(addr), until: time.Now().Add(patience)}
		x.to.ready.Store(true)
		return x.run(context.Background(), patience, nil)
	}
	first := exchangeOn(nil)
	if first.conn == nil {
		t.Fatalf("the connection is not kept: %+v", first)
	}
	close(more)
	eventually(t, "the surplus to arrive", func() bool { return !first.conn.alive() })
	second := exchangeOn(first.conn)
	if second.result != marlreel.OK || string(second.body) != "2" {
		t.Errorf("%v %q, want a new connection's answer", second.result, second.body)
	}
	if second.conn != nil {
		second.conn.Close()
	}
}

// A backend that says that the request is at fault is right about every backend: it
// is not sent again, and the backend is not to blame.
func TestARequestAtFaultIsNotSentAgain(t *testing.T) {
	t.Parallel()
	var n atomic.Int64
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, ok := readRequest(in); !ok {
				return
			}
			n.Add(1)
			io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr), ready("s-2", addr)))
	const asked = 8
	for range asked {
		status, _, _ := do(t, newRequest(t, p, "lot-list", ""))
		mustFail(t, status)
	}
	if n.Load() != asked {
		t.Errorf("%d attempts for %d requests", n.Load(), asked)
	}
	if text := p.log.String(); strings.Contains(text, "ejected") {
		t.Error(text)
	}
}

// Half a report would draw traffic to a backend as if it were idle.
func TestLoadReportsThatSayNothing(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"", "TEXT ?", "%%%", `{"`, `{}`, `{"busy_reqs":7}`, `{"busy_reqs":-1,"pending":0}`,
		`{"busy_reqs":1e30,"pending":0}`, `{"busy_reqs":1e999,"pending":0}`, `{"busy_reqs":null,"pending":0}`,
		`{"busy_reqs":"7","pending":0}`, `[7,0]`} {
		h := http.Header{}
		h.Set(headerLoad, text)
		if got := loadReport(h, []string{"busy_reqs", "pending"}); got != nil {
			t.Errorf("%q: %v", text, got)
		}
	}
}
