package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/testutil"
)

// Shutdown with a request at each stage. Each case brings a request to its stage, the test stops the proxy and waits
// until the shutdown has begun, and then the case continues. A request that was read is answered once, or was never
// forwarded.

// scriptedBackend is a backend that reports each request to the test, which writes the answer piece by piece.
type scriptedBackend struct {
	addr  string
	came  chan string
	write chan string // the next piece of an answer; "" ends it
	runs  atomic.Int64
}

func newScriptedBackend(t *testing.T) *scriptedBackend {
	h := &scriptedBackend{came: make(chan string, 8), write: make(chan string)}
	h.addr = rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			if strings.HasSuffix(r.URL.Path, "/probe") {
				io.WriteString(c, okAnswer)
				continue
			}
			h.runs.Add(1)
			h.came <- r.URL.Path
			for text := range h.write {
				if text == "" {
					break
				}
				io.WriteString(c, text)
			}
		}
	})
	t.Cleanup(func() { close(h.write) })
	return h
}

func (h *scriptedBackend) answer(t *testing.T, pieces ...string) {
	t.Helper()
	for _, p := range append(pieces, "") {
		select {
		case h.write <- p:
		case <-time.After(waitTimeout):
			t.Fatal("the backend does not accept the next piece of the answer")
		}
	}
}

// raw is a client's connection.
type raw struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func connected(t *testing.T, p *running) *raw {
	c := testutil.Dial(t, p.addr)
	return &raw{c, bufio.NewReader(c), t}
}

// bid is a request that must not run twice.
func bid(about string, n int) string {
	return fmt.Sprintf("POST /bid/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 12000m\r\nContent-Length: %d\r\n\r\n%s",
		about, lastRequestID.Add(1), n, strings.Repeat("b", n))
}

func (c *raw) send(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Errorf("the request can't be written: %v", err)
	}
}

// answered reads an answer; last reports whether it closes the connection.
func (c *raw) answered() (status int, body string, last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Errorf("no answer: %v", err)
		return 0, "", false
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Errorf("half an answer: %v", err)
	}
	return resp.StatusCode, string(text), resp.Close
}

// silentEnd reads until the connection is closed, and fails if an answer arrives.
func (c *raw) silentEnd(what string) {
	c.t.Helper()
	if text, err := io.ReadAll(c.in); len(text) > 0 || testutil.IsTimeout(err) {
		c.t.Errorf("%s: %q, %v", what, text, err)
	}
}

func TestShutdownAtEachRequestStage(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
	served := func(t *testing.T, c *raw) {
		t.Helper()
		if status, body, last := c.answered(); status != 200 || body != "served" || !last {
			t.Errorf("%d %q, closes its connection: %v", status, body, last)
		}
		c.silentEnd("after the answer")
	}
	for name, stage := range map[string]func(t *testing.T, p *running, h *scriptedBackend, c *raw) (then func(), runs int){
		"half a head": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			text := bid("half", 3)
			c.send(text[:40])
			return func() {
				c.send(text[40:])
				receive(t, h.came, "the request")
				h.answer(t, ok+"served")
				served(t, c)
			}, 1
		},
		"half a body": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			text := bid("half", 3000)
			c.send(text[:len(text)-1000])
			return func() {
				c.send(text[len(text)-1000:])
				receive(t, h.came, "the request")
				h.answer(t, ok+"served")
				served(t, c)
			}, 1
		},
		"sent whole": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			c.send(bid("whole", 3))
			receive(t, h.came, "the request")
			return func() {
				h.answer(t, ok+"served")
				served(t, c)
			}, 1
		},
		"answered in part": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			c.send(bid("part", 3))
			receive(t, h.came, "the request")
			h.write <- ok + "ser"
			return func() {
				h.answer(t, "ved")
				served(t, c)
			}, 1
		},
		"answered, with bytes on their way": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			const size = 60 << 10
			c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			c.send(bid("bytes", 3) + bid("pipelined", 3)) // and with a request that is never read
			receive(t, h.came, "the request")
			return func() {
				h.answer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
				if status, body, last := c.answered(); status != 200 || len(body) != size || !last {
					t.Errorf("%d, %d bytes, closes its connection: %v", status, len(body), last)
				}
				c.silentEnd("what was pipelined")
			}, 1
		},
		"an idle connection, with a request after it is closed": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			c.send(bid("first", 3))
			receive(t, h.came, "the request")
			h.answer(t, ok+"served")
			c.answered()
			return func() {
				c.silentEnd("the idle connection") // in time, and without a reset
				io.WriteString(c, bid("late", 3))  // may fail
			}, 1
		},
		"an idle connection, with a request before it is closed": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			c.send(bid("first", 3))
			receive(t, h.came, "the request")
			h.answer(t, ok+"served")
			c.answered()
			return func() {
				c.send(bid("second", 3))
				receive(t, h.came, "the request")
				h.answer(t, ok+"served")
				served(t, c)
			}, 2
		},
		"a connection without a request": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			return func() { c.silentEnd("the silent connection") }, 0
		},
		"a reload": func(t *testing.T, p *running, h *scriptedBackend, c *raw) (func(), int) {
			c.send(bid("whole", 3))
			receive(t, h.came, "the request")
			go func() {
				select {
				case p.reloads <- Reload{Config: testConfig(t, closedAddr(t), ready("s-1", h.addr))}:
				case <-t.Context().Done():
				}
			}()
			return func() {
				h.answer(t, ok+"served")
				served(t, c)
			}, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newScriptedBackend(t)
			cfg := testConfig(t, closedAddr(t), ready("s-1", h.addr))
			p := start(t, cfg)
			c := connected(t, p)
			then, runs := stage(t, p, h, c)
			p.stop()
			p.stop() // a second signal has no effect
			eventually(t, "the shutdown to begin", func() bool { return p.stopping(t) })
			then()
			if err := receive(t, p.ended, "the end"); err != nil {
				t.Error(err)
			}
			if n := h.runs.Load(); n != int64(runs) {
				t.Errorf("%d requests ran, want %d", n, runs)
			}
		})
	}
}

// stopping reports whether the proxy closes connections after their answers, as it does once the shutdown has begun.
func (p *running) stopping(t *testing.T) bool {
	c := connected(t, p)
	defer c.Close()
	c.send(fmt.Sprintf("GET /lot-list/probe HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 12000m\r\n\r\n", lastRequestID.Add(1)))
	_, _, last := c.answered()
	return last
}

// A proxy that is stopped before it is ready exits at once.
func TestAStopBeforeReady(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t)) // no list, and no discovery
	p := launch(t, cfg, config.DefaultOperator())
	if status, _, _ := do(t, newRequest(t, p, "lot-list", "")); status != http.StatusServiceUnavailable {
		t.Errorf("without a backend: %d", status)
	}
	p.stop()
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
}

// Requests that are queued for a backend at shutdown are answered once: served when the backend has capacity, or
// refused without having been sent.
func TestShutdownWithQueuedRequests(t *testing.T) {
	t.Parallel()
	came, gate := make(chan string, 24), make(chan struct{})
	var runs atomic.Int64
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			if !strings.HasSuffix(r.URL.Path, "/probe") {
				runs.Add(1)
				came <- r.URL.Path
				<-gate
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved")
		}
	})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
	const clients = 24
	var all []*raw
	for i := range clients {
		c := connected(t, p)
		c.send(bid(fmt.Sprint("w", i), 3))
		all = append(all, c)
	}
	receive(t, came, "the first request")
	p.stop()
	close(gate) // the backend continues
	served, refused := 0, 0
	for _, c := range all {
		switch status, _, _ := c.answered(); status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Errorf("answered %d", status)
		}
	}
	if err := receive(t, p.ended, "the end"); err != nil {
		t.Error(err)
	}
	if n := runs.Load(); n != int64(served) || served == 0 || served+refused != clients {
		t.Errorf("%d ran, %d served, %d refused", n, served, refused)
	}
}

// An HTTP/1.1 answer without a length ends with its connection, but a reset is not a valid end: what came before it is
// never a complete answer. A small answer is retried or failed; for a large one the client sees its connection break.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]int{"nothing": 0, "little": 20, "much": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); !ok {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+strings.Repeat("x", size))
				if size > 64<<10 {
					<-gate // until the client has read its beginning
				}
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			})
			p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
			c := connected(t, p)
			c.send(bid("reset", 3))
			if size <= 64<<10 {
				if status, body, _ := c.answered(); status == http.StatusOK {
					t.Errorf("%d %q is taken for an answer", status, body)
				}
				return
			}
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			close(gate)
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("%d bytes are taken for a complete answer", n)
			}
		})
	}
}
