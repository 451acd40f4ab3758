package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/testutil"
)

// noise returns a pseudo-random body, so that swapped or repeated pieces are detected.
func noise(n int) []byte {
	b := make([]byte, n)
	x := uint32(2463534242)
	for i := range b {
		x ^= x << 13
		x ^= x >> 17
		x ^= x << 5
		b[i] = byte(x)
	}
	return b
}

func sum(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Answers of any length and framing arrive unchanged, also if they come in pieces with
// pauses, and backend connections are reused where the framing allows it.
func TestLargeAnswersArriveWhole(t *testing.T) {
	t.Parallel()
	for _, n := range []int{0, 1, 4 << 10, maxBody - 1, maxBody, maxBody + 1, 300 << 10, 5 << 20} {
		body := noise(n)
		for form, write := range map[string]func(c net.Conn, pieces func(func(p []byte) error)){
			"length": func(c net.Conn, pieces func(func(p []byte) error)) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
				pieces(func(p []byte) error { _, err := c.Write(p); return err })
			},
			"chunks": func(c net.Conn, pieces func(func(p []byte) error)) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
				pieces(func(p []byte) error {
					fmt.Fprintf(c, "%x;ext=1\r\n", len(p))
					c.Write(p)
					_, err := io.WriteString(c, "\r\n")
					return err
				})
				io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
			},
			"end": func(c net.Conn, pieces func(func(p []byte) error)) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				pieces(func(p []byte) error { _, err := c.Write(p); return err })
				c.Close()
			},
			"HTTP/1.0": func(c net.Conn, pieces func(func(p []byte) error)) {
				io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n")
				pieces(func(p []byte) error { _, err := c.Write(p); return err })
				c.Close()
			},
		} {
			t.Run(fmt.Sprint(form, " ", n), func(t *testing.T) {
				t.Parallel()
				addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
					for {
						if _, ok := readRequest(in); !ok {
							return
						}
						write(c, func(put func(p []byte) error) {
							for at, size := 0, 1; at < n; size = size*3 + 1 {
								end := min(at+size, n)
								if put(body[at:end]) != nil {
									return
								}
								if at < 1000 { // so that the first pieces arrive separately
									time.Sleep(time.Millisecond)
								}
								at = end
							}
						})
					}
				})
				p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
				for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
					c := testutil.Dial(t, p.addr)
					fmt.Fprintf(c, "GET /lot-list/x %s\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 20000m\r\nX-Correlation-Id: %016x\r\n\r\n",
						proto, lastRequestID.Add(1))
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil || resp.StatusCode != 200 {
						t.Fatalf("%s: %+v %v", proto, resp, err)
					}
					got, err := io.ReadAll(resp.Body)
					if err != nil || !bytes.Equal(got, body) {
						t.Errorf("%s: %d bytes of %d: %v", proto, len(got), n, err)
					}
				}
			})
		}
	}
}

// If an answer breaks off after its beginning was passed on, the client can see that it is incomplete.
func TestABrokenAnswerIsSeenAsBroken(t *testing.T) {
	t.Parallel()
	for form, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n",
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(form+" to "+proto, func(t *testing.T) {
				t.Parallel()
				addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
					if _, ok := readRequest(in); ok {
						io.WriteString(c, head)
						c.Write(noise(200000))
					}
				})
				cfg := testConfig(t, closedAddr(t), ready("s-1", addr))
				cfg.ControlAddress = "127.0.0.1:0"
				p := start(t, cfg)
				c := testutil.Dial(t, p.addr)
				fmt.Fprintf(c, "GET /lot-list/x %s\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 20000m\r\nX-Correlation-Id: %016x\r\n\r\n",
					proto, lastRequestID.Add(1))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return // without a head it is not taken for a complete answer either
				}
				if got, err := io.ReadAll(resp.Body); err == nil {
					t.Errorf("%d bytes are taken for a complete answer", len(got))
				}
				expect(t, p, "aborted.lot-list", "1|c")
				expect(t, p, "outstanding", "0|g")
			})
		}
	}
}

// hashingBackend is a backend that counts requests and answers each with the hash of its body. spoils may answer instead.
type hashingBackend struct {
	addr   string
	begun  atomic.Int64
	spoils func(n int64, w http.ResponseWriter, r *http.Request) bool
}

func newHashingBackend(t *testing.T, spoils func(n int64, w http.ResponseWriter, r *http.Request) bool) *hashingBackend {
	t.Helper()
	k := &hashingBackend{spoils: spoils}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		n := k.begun.Add(1)
		if k.spoils != nil && k.spoils(n, w, r) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%x", sum(body))
	}))
	t.Cleanup(s.Close)
	k.addr = s.Listener.Addr().String()
	return k
}

// Bodies of any length and framing arrive unchanged, even those larger than the memory budget.
func TestLargeBodiesArriveWhole(t *testing.T) {
	t.Parallel()
	k := newHashingBackend(t, nil)
	cfg := testConfig(t, closedAddr(t), ready("s-1", k.addr))
	cfg.MemoryMB = 8 // 2 MB for bodies, 256 KiB for one
	p := start(t, cfg)
	for _, n := range []int{1, maxBody, maxBody + 1, 200 << 10, 3 << 20, 20 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(n, chunked), func(t *testing.T) {
				t.Parallel()
				body := noise(n)
				r := newRequest(t, p, "pickup", "")
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(n)
				if chunked {
					r.ContentLength = -1
				}
				if status, text, _ := do(t, r); status != 200 || text != fmt.Sprintf("%x", sum(body)) {
					t.Errorf("%d %.50q", status, text)
				}
			})
		}
	}
	t.Cleanup(func() {
		if used := cfg.MaxBodyBytes(); used != 2<<20 {
			t.Errorf("the test's budget is %d", used)
		}
	})
}

// A large body that is fully buffered can be retried like a small one.
func TestALargeBodyIsSentAgain(t *testing.T) {
	t.Parallel()
	k := newHashingBackend(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
		if n > 1 {
			return false
		}
		io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", k.addr)))
	body := noise(1 << 20)
	if status, text, _ := do(t, newRequest(t, p, "bid", string(body))); status != 200 || text != fmt.Sprintf("%x", sum(body)) {
		t.Errorf("%d %.50q", status, text)
	}
	if n := k.begun.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// If an attempt ends before the last byte of a body whose beginning is no longer buffered, the request has not run but
// can't be retried. It is refused (503) and not failed, whatever its class.
func TestALargeBodyThatWasCutIsRefused(t *testing.T) {
	t.Parallel()
	k := newHashingBackend(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
		io.CopyN(io.Discard, r.Body, 4<<20)
		panic(http.ErrAbortHandler)
	})
	cfg := testConfig(t, closedAddr(t), ready("s-1", k.addr))
	cfg.MemoryMB = 8
	p := start(t, cfg)
	c := testutil.Dial(t, p.addr)
	go func() {
		fmt.Fprintf(c, "POST /bid/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 20000m\r\nX-Correlation-Id: %016x\r\nContent-Length: %d\r\n\r\n",
			lastRequestID.Add(1), 20<<20)
		c.Write(noise(20 << 20))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if n := k.begun.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A client that writes slowly occupies no backend connection until its body is complete, as long as the body
// fits in the budget.
func TestASlowClientBindsNoBackend(t *testing.T) {
	t.Parallel()
	k := newHashingBackend(t, nil)
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", k.addr)))
	body := noise(200 << 10)
	c := testutil.Dial(t, p.addr)
	fmt.Fprintf(c, "POST /bid/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 20000m\r\nX-Correlation-Id: %016x\r\nContent-Length: %d\r\n\r\n",
		lastRequestID.Add(1), len(body))
	c.Write(body[:len(body)-1])
	// Other requests are served meanwhile; the slow one has not reached a backend.
	for range 3 {
		if status, _, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 {
			t.Fatalf("another: %d", status)
		}
	}
	if n := k.begun.Load(); n != 3 {
		t.Errorf("%d have begun", n)
	}
	c.Write(body[len(body)-1:])
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%+v %v", resp, err)
	}
}

// A client that stops within a large body gets an error or a close, and its memory and counts are released.
func TestHalfALargeBody(t *testing.T) {
	t.Parallel()
	k := newHashingBackend(t, nil)
	cfg := testConfig(t, closedAddr(t), ready("s-1", k.addr))
	cfg.MemoryMB, cfg.ControlAddress = 8, "127.0.0.1:0"
	p := start(t, cfg)
	for _, n := range []int{100 << 10, 2 << 20} {
		c := testutil.Dial(t, p.addr)
		fmt.Fprintf(c, "POST /bid/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: obala\r\nX-Time-Left: 20000m\r\nX-Correlation-Id: %016x\r\nContent-Length: %d\r\n\r\n",
			lastRequestID.Add(1), 4<<20)
		c.Write(noise(n))
		c.(*net.TCPConn).CloseWrite()
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 200 {
			t.Errorf("after %d bytes: %d", n, resp.StatusCode)
		}
	}
	expect(t, p, "outstanding", "0|g")
	expect(t, p, "succeeded.bid", "0|c")
	if status, _, _ := do(t, newRequest(t, p, "bid", strings.Repeat("x", 300<<10))); status != 200 {
		t.Errorf("the memory budget was not released: %d", status)
	}
}

// Buffered bodies count against the budget while their requests are in flight. A request that doesn't fit is
// refused early, and served once there is room again.
func TestBodiesInFlightCountAgainstTheBudget(t *testing.T) {
	t.Parallel()
	came, finish := make(chan struct{}, 8), make(chan struct{})
	k := newHashingBackend(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		came <- struct{}{}
		<-finish
		return true
	})
	cfg := testConfig(t, closedAddr(t), ready("s-1", k.addr))
	cfg.MemoryMB = 1 // 256 KiB for bodies: four of these
	p := start(t, cfg)
	body := string(noise(maxBody))
	answers := make(chan int, 4)
	for range 4 {
		r := newRequest(t, p, "bid", body)
		go func() {
			status, _, _ := do(t, r)
			answers <- status
		}()
		receive(t, came, "a request in flight")
	}
	if status, text, _ := do(t, newRequest(t, p, "bid", body)); status != http.StatusServiceUnavailable || !strings.Contains(text, "no room") {
		t.Errorf("one more: %d %q", status, text)
	}
	close(finish)
	for range 4 {
		if status := receive(t, answers, "an answer"); status != 200 {
			t.Errorf("answered %d", status)
		}
	}
	if status, _, _ := do(t, newRequest(t, p, "bid", body)); status != 200 {
		t.Errorf("with room again: %d", status)
	}
}
