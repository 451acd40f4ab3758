package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

// Clients over HTTP and MessagePack-RPC retry as they are told while no node accepts requests. Every refusal says when
// to retry, the proxy logs the retry storm, and no bid runs twice. Once a node is back it logs the end of the storm.
func TestRetryStormOverBothProtocols(t *testing.T) {
	t.Parallel()
	journal := &standin.Journal{}
	n := rpcNode(t, "s-1", journal, 0)
	g := newRegistry(t)
	gone := ready("s-1", n.Addr())
	gone.Lifecycle = "Terminating"
	p := startWith(t, testConfig(t, g.Addr, gone), rpcSettings())
	w := g.next(t)
	w.Lines <- line(t, 2, true, gone)

	var served, refused, withoutRetryAfter atomic.Int64
	var over atomic.Bool
	var clients sync.WaitGroup
	// one starts a client that retries as it is told until it is served, and then sends a new request.
	one := func(ask func(id string) (ok bool, after time.Duration, hasRetryAfter bool, err error)) {
		clients.Go(func() {
			for !over.Load() {
				ok, after, hasRetryAfter, err := ask(fmt.Sprintf("%016x", lastRequestID.Add(1)))
				switch {
				case err != nil:
					t.Error(err)
					return
				case ok:
					served.Add(1)
					after = 20 * time.Millisecond
				default:
					refused.Add(1)
					if !hasRetryAfter {
						withoutRetryAfter.Add(1)
					}
				}
				time.Sleep(min(after, 100*time.Millisecond))
			}
		})
	}
	for range 8 {
		c := testutil.Dial(t, p.addr)
		in := bufio.NewReader(c)
		one(func(id string) (bool, time.Duration, bool, error) {
			fmt.Fprintf(c, "POST /bid/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\nContent-Length: 1\r\n\r\n7", id)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return false, 0, false, err
			}
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
				return false, 0, false, fmt.Errorf("answered %d", resp.StatusCode)
			}
			s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			return resp.StatusCode == http.StatusOK, time.Duration(s * float64(time.Second)), err == nil && s > 0 && s <= 2, nil
		})
		r := caller(t, p.rpc)
		one(func(id string) (bool, time.Duration, bool, error) {
			got, _ := r.Call("post.bid", 7, meta("$id", id))
			a := receive(t, got, "an answer")
			if a.Err != nil || a.Error != nil && a.Code() != "refused" {
				return false, 0, false, fmt.Errorf("answered %+v", a)
			}
			m, _ := a.Error.(map[string]any)
			s, _ := m["retry_after"].(float64)
			return a.Error == nil, time.Duration(s * float64(time.Second)), s > 0 && s <= 2, nil
		})
	}
	eventually(t, "the storm, in the log", func() bool { return strings.Contains(p.log.String(), "storm, after") })
	before := served.Load()
	w.Lines <- line(t, 3, true, ready("s-1", n.Addr()))
	eventually(t, "its end, in the log", func() bool { return strings.Contains(p.log.String(), "calm, after recovering") })
	over.Store(true)
	clients.Wait()
	ran := int64(0)
	for _, s := range journal.Records().Sends {
		if s.Effect == standin.Ran {
			ran++
		}
	}
	if before != 0 || served.Load() == 0 || ran != served.Load() || withoutRetryAfter.Load() != 0 {
		t.Errorf("%d served while all nodes drained, %d since, %d ran; %d of %d refusals don't say when to retry",
			before, served.Load(), ran, withoutRetryAfter.Load(), refused.Load())
	}
}

// cost is the cost of a request to this process, client included.
type cost struct{ bytes, allocations, calls float64 }

// costOf sends n requests on one connection, with preallocated buffers so that the client allocates little.
func costOf(tb testing.TB, c net.Conn, n int) cost {
	tb.Helper()
	ask := []byte("GET /lot-list/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0000000000000000\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n\r\n")
	id := strings.Index(string(ask), "0000000000000000")
	answer := make([]byte, 4096)
	got := 0
	one := func() {
		c.SetDeadline(time.Now().Add(waitTimeout)) // for each request, as the time for all depends on the machine
		copy(ask[id:id+16], fmt.Sprintf("%016x", lastRequestID.Add(1)))
		if _, err := c.Write(ask); err != nil {
			tb.Fatal(err)
		}
		// Answers are shorter than a segment, and arrive in one read.
		k, err := c.Read(answer)
		if err != nil {
			tb.Fatal(err)
		}
		got += k
	}
	for range 20 { // warm up buffers and connections
		one()
	}
	got = 0
	var a, b runtime.MemStats
	calls := systemCalls()
	runtime.ReadMemStats(&a)
	for range n {
		one()
	}
	runtime.ReadMemStats(&b)
	return cost{float64(got) / float64(n), float64(b.Mallocs-a.Mallocs) / float64(n), (systemCalls() - calls) / float64(n)}
}

// systemCalls returns the number of reads and writes of this process, or 0 if the system doesn't report them.
func systemCalls() float64 {
	data, _ := os.ReadFile("/proc/self/io")
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		if name, n, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "syscr" || name == "syscw" {
			k, _ := strconv.ParseFloat(n, 64)
			sum += k
		}
	}
	return sum
}

// A refused request costs less than a served one, client and backend included, and its answer is small. Covers refusals
// by the balancer without a backend, and at the limit of open calls.
func TestARefusalIsCheap(t *testing.T) {
	n := rpcNode(t, "s-1", nil, 0)
	there, gone := ready("s-1", n.Addr()), ready("s-1", n.Addr())
	gone.Lifecycle = "Terminating"
	silent, open := testutil.Silent(t)
	of := func(list platformwatch.Instance, most int) cost {
		cfg := testConfig(t, closedAddr(t), list)
		if most > 0 {
			cfg.MaxOpenRequests = most
		}
		p := start(t, cfg)
		if most > 0 {
			c := testutil.Dial(t, p.addr)
			fmt.Fprintf(c, "GET /lot-list/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 59000m\r\n\r\n", lastRequestID.Add(1))
			// Wait for the open call: otherwise a request below could take its slot first, and hang there until its
			// deadline.
			receive(t, open, "the open call")
			eventually(t, "an open call", func() bool { return refusedAt(t, p.addr) })
		}
		return costOf(t, testutil.Dial(t, p.addr), 500)
	}
	served, none, full := of(there, 0), of(gone, 0), of(ready("s-1", silent), 1)
	for name, c := range map[string]cost{"no backend": none, "at the bound": full} {
		t.Logf("%s: %.0f bytes, %.1f allocations, %.1f reads and writes; served: %.0f, %.1f, %.1f", name, c.bytes, c.allocations, c.calls, served.bytes, served.allocations, served.calls)
		if c.bytes > 256 || c.allocations > 64 || c.allocations > 0.7*served.allocations || c.calls > served.calls {
			t.Errorf("%s: %.0f bytes, %.1f allocations, %.1f reads and writes; served: %.1f and %.1f", name, c.bytes, c.allocations, c.calls, served.allocations, served.calls)
		}
	}
}

// refusedAt sends one request, and reports whether it was refused.
func refusedAt(t *testing.T, addr string) bool {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/lot-list/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header = http.Header{"X-Correlation-Id": {fmt.Sprintf("%016x", lastRequestID.Add(1))}, "X-Account": {"obala"}, "X-Time-Left": {"100m"}}
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusServiceUnavailable
}
