package proxy

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"marlreel/internal/config"
	"marlreel/internal/process/logs"
)

// The metrics match counts taken at clients and at backends, and nothing is outstanding when no request
// is open.
func TestMetricsMatchAnAuditor(t *testing.T) {
	t.Parallel()
	var begun atomic.Int64
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		io.Copy(io.Discard, r.Body)
		n := begun.Add(1)
		switch n % 10 {
		case 0:
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3, 4:
			w.WriteHeader(http.StatusInternalServerError)
		case 5:
			w.Write(noise(200 << 10))
		case 6:
			w.Header().Set("Content-Length", "300000")
			w.Write(noise(150 << 10))
			panic(http.ErrAbortHandler)
		default:
			io.WriteString(w, "served")
		}
	}))
	b.Config.ErrorLog = log.New(io.Discard, "", 0)
	t.Cleanup(b.Close)
	cfg := testConfig(t, closedAddr(t), ready("s-1", b.Listener.Addr().String()))
	cfg.ControlAddress = "127.0.0.1:0"
	p := start(t, cfg)
	var mu sync.Mutex
	seen := map[string]int{}
	var all sync.WaitGroup
	for w := range 6 {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range 40 {
				class := []string{"lot-list", "bid", "pickup"}[(w+i)%3]
				body := ""
				if class != "lot-list" && i%7 == 0 {
					body = strings.Repeat("x", 100<<10)
				}
				r := newRequest(t, p, class, body)
				outcome := "aborted"
				if resp, err := client.Do(r); err != nil {
					t.Errorf("%s: %v", class, err)
				} else {
					_, err := io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					switch {
					case resp.StatusCode == 200 && err == nil:
						outcome = "succeeded"
					case resp.StatusCode == 503 || resp.StatusCode == 429:
						outcome = "declined"
					}
				}
				mu.Lock()
				seen[outcome+"."+class]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for _, outcome := range []string{"succeeded", "declined", "aborted"} {
		for _, class := range []string{"lot-list", "bid", "pickup"} {
			name := outcome + "." + class
			expect(t, p, name, fmt.Sprintf("%d|c", seen[name]))
		}
	}
	expect(t, p, "outstanding", "0|g")
	expect(t, p, "forwards", fmt.Sprintf("%d|c", begun.Load()))
	expect(t, p, "discovered", "1|g")
	expect(t, p, "sighup_applied", "0|c")
	if metric(t, p, "ejected") == "" {
		t.Error("no metric for ejected backends")
	}
}

// The admin server answers while the engine doesn't, from values that were published before.
func TestAdminServerDoesNotWaitForTheEngine(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, closedAddr(t), ready("s-1", closedAddr(t)))
	cfg.ControlAddress = "127.0.0.1:0"
	p, err := assemble(cfg, config.DefaultOperator(), nil, logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.carrier.Close)
	ln, err := net.Listen("tcp", cfg.ControlAddress)
	if err != nil {
		t.Fatal(err)
	}
	go p.adminServer.Serve(ln) // without a running engine
	t.Cleanup(p.adminServer.Close)
	r := &running{control: ln.Addr().String()}
	if got := metric(t, r, "outstanding"); got != "0|g" {
		t.Errorf("outstanding: %q", got)
	}
	if got := metric(t, r, "succeeded.bid"); got != "0|c" {
		t.Errorf("a class is not listed from the start: %q", got)
	}
}
