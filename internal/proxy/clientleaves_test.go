package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/config"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/fleettest"
	"marlreel/internal/standin"
)

// recording records what backends receive and when clients leave, for the auditor.
type recording struct{ *fleettest.Recorder }

func newRecording() recording { return recording{fleettest.NewRecorder(fleettest.Agreed(), true)} }

// arrived records a request at a backend.
func (s recording) arrived(backend, request string, began time.Duration) {
	s.See(func(saw *fleettest.Sighting) {
		saw.Arrived = append(saw.Arrived, fleettest.Arrival{Backend: backend, Request: request, Began: began, Work: 1})
	})
}

// left records that the clients of requests have left, and waits until no attempt may begin for them any more.
func (s recording) left(t *testing.T, requests ...string) {
	t.Helper()
	at := s.Now()
	s.See(func(saw *fleettest.Sighting) {
		for _, r := range requests {
			saw.Asked = append(saw.Asked, fleettest.Asked{Request: r, Left: at})
		}
	})
	eventually(t, "the time after which no attempt may begin", func() bool { return s.Now() > at+fleettest.Agreed().Left })
}

// backend starts a backend that records each request and then calls then, which returns whether to keep the connection.
func (s recording) backend(t *testing.T, name string, then func(c net.Conn, path string) bool) string {
	return rawBackend(t, s.serving(name, then))
}

func (s recording) serving(name string, then func(c net.Conn, path string) bool) func(c net.Conn, in *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := in.Peek(1); err != nil {
				return
			}
			began := s.Now()
			r, ok := readRequest(in)
			if !ok {
				return
			}
			s.arrived(name, r.Header.Get("X-Correlation-Id"), began)
			if !then(c, r.URL.Path) {
				return
			}
		}
	}
}

// listening opens a listener that is closed at the end of the test.
func listening(t *testing.T, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func serves(c net.Conn, _ string) bool {
	_, err := io.WriteString(c, okAnswer)
	return err == nil
}

// listing returns a request that may be retried on any backend, and its id.
func listing() (text, id string) {
	id = fmt.Sprintf("%016x", lastRequestID.Add(1))
	return fmt.Sprintf("GET /lot-list/x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Account: obala\r\nX-Time-Left: 12000m\r\n\r\n", id), id
}

// pickup returns a request that may be retried within its zone because of its idempotency key, and its id.
func pickup(size int) (text, id string) {
	id = fmt.Sprintf("%016x", lastRequestID.Add(1))
	return fmt.Sprintf("POST /pickup/x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Account: obala\r\nIdempotency-Key: k%s\r\nX-Time-Left: 12000m\r\nContent-Length: %d\r\n\r\n%s",
		id, id, size, strings.Repeat("b", size)), id
}

// leaves are the ways in which a client leaves, some with unread bytes before the end.
var leaves = map[string]func(c *raw){
	"closes": func(c *raw) { c.Close() },
	"resets": func(c *raw) {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"ends its sending":     func(c *raw) { c.Conn.(*net.TCPConn).CloseWrite() },
	"behind a request":     func(c *raw) { c.send(bid("pipelined", 0)); c.Close() },
	"behind half a head":   func(c *raw) { c.send("POST /bi"); c.Close() },
	"behind a full buffer": func(c *raw) { c.send(strings.Repeat("x", 64<<10)); c.Close() },
}

// configWithMetrics is testConfig with a control address, for metrics.
func configWithMetrics(t *testing.T, entries ...platformwatch.Instance) *config.Platform {
	t.Helper()
	cfg := testConfig(t, closedAddr(t), entries...)
	cfg.ControlAddress = "127.0.0.1:0"
	return cfg
}

// stages bring requests to the point where their clients leave. They return the clients, the ids of the requests, and
// what the backends do afterwards.
var stages = map[string]func(t *testing.T, s recording) (p *running, clients []*raw, requests []string, then func()){
	// More requests than a backend has capacity for: those that were not sent are queued.
	"waiting for room": func(t *testing.T, s recording) (*running, []*raw, []string, func()) {
		came, gate := make(chan struct{}, 64), make(chan struct{})
		addr := s.backend(t, "s-1", func(c net.Conn, path string) bool {
			came <- struct{}{}
			<-gate
			return serves(c, path)
		})
		p := start(t, configWithMetrics(t, ready("s-1", addr)))
		var clients []*raw
		var requests []string
		for range 32 {
			c := connected(t, p)
			text, id := listing()
			c.send(text)
			clients, requests = append(clients, c), append(requests, id)
		}
		// All were accepted, and those sent have arrived; the others are queued or were refused.
		eventually(t, "all to be sent, queued or refused", func() bool {
			var out, turned int
			fmt.Sscan(strings.TrimSuffix(metric(t, p, "outstanding"), "|g"), &out)
			fmt.Sscan(strings.TrimSuffix(metric(t, p, "declined.lot-list"), "|c"), &turned)
			return out+turned == len(requests) && len(came) > 0 && metric(t, p, "forwards") == fmt.Sprintf("%d|c", len(came))
		})
		return p, clients, requests, func() { close(gate) }
	},
	// The attempt of a retryable request breaks after its client has left.
	"between two attempts": func(t *testing.T, s recording) (*running, []*raw, []string, func()) {
		came, gate := make(chan struct{}, 4), make(chan struct{})
		breaks := func(c net.Conn, _ string) bool {
			came <- struct{}{}
			<-gate
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		p := start(t, configWithMetrics(t, ready("s-1", s.backend(t, "s-1", breaks)), ready("s-2", s.backend(t, "s-2", breaks))))
		c := connected(t, p)
		text, id := listing()
		c.send(text)
		receive(t, came, "the first attempt")
		return p, []*raw{c}, []string{id}, func() { close(gate) }
	},
	"its body is coming": func(t *testing.T, s recording) (*running, []*raw, []string, func()) {
		p := start(t, configWithMetrics(t, ready("s-1", s.backend(t, "s-1", serves))))
		c := connected(t, p)
		text, id := pickup(3000)
		c.send(text[:len(text)-1000])
		return p, []*raw{c}, []string{id}, func() {}
	},
	// Connections to its backend are established late, because the accept queue of its listener is full.
	"a connection is being made": func(t *testing.T, s recording) (*running, []*raw, []string, func()) {
		ln := listening(t, "127.0.0.1:0")
		p := start(t, configWithMetrics(t, ready("s-1", ln.Addr().String())))
		for _, filler := range standin.Block(ln) {
			t.Cleanup(func() { filler.Close() })
		}
		c := connected(t, p)
		text, id := listing()
		c.send(text)
		eventually(t, "a connection to be asked for", func() bool { return connecting(t, ln.Addr()) })
		return p, []*raw{c}, []string{id}, func() { // the kernel's next SYN succeeds, a second after the first
			if err := standin.Unblock(ln); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(standin.ServeRaw(ln, s.serving("s-1", serves)).Stop)
		}
	},
	// No backend can be reached for a while, and the request waits for its next attempt.
	"backing off": func(t *testing.T, s recording) (*running, []*raw, []string, func()) {
		addr := closedAddr(t)
		p := start(t, configWithMetrics(t, ready("s-1", addr)))
		c := connected(t, p)
		text, id := listing()
		c.send(text)
		return p, []*raw{c}, []string{id}, func() {
			t.Cleanup(standin.ServeRaw(listening(t, addr), s.serving("s-1", serves)).Stop)
		}
	},
}

// No first or further attempt begins for a client that has left, whatever the stage of its request and whatever bytes it
// had sent behind it. Other clients are still served, and the resources of the request are released.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	t.Parallel()
	for stage, bring := range stages {
		for way, leave := range leaves {
			t.Run(stage+", "+way, func(t *testing.T) {
				t.Parallel()
				s := newRecording()
				p, clients, requests, then := bring(t, s)
				for _, c := range clients {
					leave(c)
				}
				s.left(t, requests...)
				then()
				if stage != "between two attempts" { // the resources are free for others
					eventually(t, "another client to be served", func() bool {
						status, _, _ := do(t, newRequest(t, p, "lot-list", ""))
						return status == http.StatusOK
					})
				}
				eventually(t, "all resources to be released", func() bool { return metric(t, p, "outstanding") == "0|g" })
				if strings.Contains("waiting for room, its body is coming", stage) {
					expect(t, p, "ejected", "0|g") // a backend must not be blamed for a client's silence
				}
				p.stop()
				if err := receive(t, p.ended, "the end"); err != nil {
					t.Error(err)
				}
				if f := s.Audit(); len(f.Breaks) > 0 || f.Figures[fleettest.TermLeft].Max > 0 { // stricter than the agreed limit: none at all
					t.Errorf("attempts began after their clients had left: %v, %v", f, f.Breaks)
				}
			})
		}
	}
}

// The same over RPC: all calls that are open on a connection end with it.
func TestNoAttemptAfterRPCCallerLeft(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(net.Conn){
		"closes": func(c net.Conn) { c.Close() },
		"resets": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"behind half a call": func(c net.Conn) {
			io.WriteString(c, "\x94\x00\x01\xa8post")
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRecording()
			came, gate := make(chan struct{}, 64), make(chan struct{})
			var list []platformwatch.Instance
			for _, name := range []string{"s-1", "s-2"} {
				list = append(list, ready(name, rpcScript(t, func(c net.Conn, d *msgpack.Decoder) {
					q, ok := readCall(d)
					if !ok {
						return
					}
					began, id := s.Now(), ""
					if len(q.params) > 0 {
						if m, ok := q.params[len(q.params)-1].(map[string]any); ok {
							id, _ = m["$id"].(string)
						}
					}
					s.arrived(name, id, began)
					came <- struct{}{}
					<-gate
					c.(*net.TCPConn).SetLinger(0) // it may have run, and is retried on another backend if its caller still waits
				})))
			}
			p := startWith(t, testConfig(t, closedAddr(t), list...), rpcSettings())
			c, err := net.DialTimeout("tcp", p.rpc, waitTimeout)
			if err != nil {
				t.Fatal(err)
			}
			var requests []string
			for n := range 32 {
				m := meta()
				data, err := msgpack.Marshal([]any{0, n, "post.lot-list", []any{1, m}})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := c.Write(data); err != nil {
					t.Fatal(err)
				}
				requests = append(requests, m["$id"].(string))
			}
			receive(t, came, "the first call")
			leave(c)
			s.left(t, requests...)
			close(gate)
			p.stop()
			if err := receive(t, p.ended, "the end"); err != nil {
				t.Error(err)
			}
			if f := s.Audit(); len(f.Breaks) > 0 {
				t.Error(f.Breaks)
			}
		})
	}
}

// connecting reports whether a connection to an address is still being established.
func connecting(t *testing.T, addr net.Addr) bool {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Skipf("the connections of this system can't be listed: %v", err)
	}
	const synSent = "02"
	to := fmt.Sprintf(":%04X", addr.(*net.TCPAddr).Port)
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[2], to) && f[3] == synSent {
			return true
		}
	}
	return false
}
