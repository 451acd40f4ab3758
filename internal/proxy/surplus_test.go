package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/discovery/platformwatch"
)

// drawnCount returns how many exchanges a randomized test runs: the value of an environment variable, or the default
// for CI.
func drawnCount(t *testing.T, variable string, inCI int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return inCI
	}
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		t.Fatalf("%s=%s must be a number above 0", variable, text)
	}
	return n
}

// drawnSeed returns the seed of the randomized tests: RAPID_SEED, or a fixed one.
func drawnSeed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("RAPID_SEED")
	if text == "" {
		return 20261202
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// surplusBackend answers with the request's id, and sometimes sends the answer again up to 5 ms later.
type surplusBackend struct {
	mu      sync.Mutex
	rng     *rand.Rand
	surplus atomic.Int64
}

// draw returns how long the work takes, whether a second answer follows, and how much later.
func (b *surplusBackend) draw() (work time.Duration, again bool, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work = time.Duration(10+b.rng.IntN(15)) * time.Millisecond
	return work, b.rng.IntN(60) == 0, time.Duration(b.rng.IntN(5000)) * time.Microsecond
}

func (b *surplusBackend) serve(c net.Conn, in *bufio.Reader) {
	for {
		r, ok := readRequest(in)
		if !ok {
			return
		}
		work, again, after := b.draw()
		time.Sleep(work)
		id := r.Header.Get("X-Correlation-Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if again {
			b.surplus.Add(1)
			time.AfterFunc(after, func() { _, _ = io.WriteString(c, answer) })
		}
	}
}

// As answers carry no id, a surplus answer that arrives after the next request was written can't be told from the
// answer to that request. Connections to backends that have sent surplus answers therefore carry one request each: of
// some 167 surplus answers in 10,000 exchanges, at most two reach a client. SURPLUS_EXCHANGES sets the number of
// exchanges, to run more than CI does.
func TestLateSurplusAnswers(t *testing.T) {
	t.Parallel()
	const callers, backends = 16, 4
	exchanges := drawnCount(t, "SURPLUS_EXCHANGES", 3000)
	var all []*surplusBackend
	var list []platformwatch.Instance
	for i := range backends {
		b := &surplusBackend{rng: rand.New(rand.NewPCG(drawnSeed(t), uint64(i)))}
		all = append(all, b)
		list = append(list, ready(fmt.Sprint("s-", i), rawBackend(t, b.serve)))
	}
	cfg := testConfig(t, closedAddr(t), list...)
	cfg.ControlAddress = "127.0.0.1:0"
	p := start(t, cfg)
	var foreign, failed atomic.Int64
	var ended sync.WaitGroup
	for i := range callers {
		ended.Go(func() {
			pauses := rand.New(rand.NewPCG(drawnSeed(t), uint64(1000+i)))
			client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range exchanges / callers {
				time.Sleep(time.Duration(pauses.IntN(10000)) * time.Microsecond)
				r := newRequest(t, p, "bid", "x")
				resp, err := client.Do(r)
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
				} else if string(text) != r.Header.Get("X-Correlation-Id") {
					foreign.Add(1)
				}
			}
		})
	}
	ended.Wait()
	sent := int64(0)
	for _, b := range all {
		sent += b.surplus.Load()
	}
	t.Logf("%d exchanges, %d surplus answers, %d callers got one, %d had no good answer", exchanges, sent, foreign.Load(), failed.Load())
	if sent == 0 {
		t.Error("no surplus answer was sent: the test proves nothing")
	}
	if foreign.Load() > 2 {
		t.Errorf("%d callers got the answer to another request", foreign.Load())
	}
	if !strings.Contains(p.log.String(), "event=surplus-answer") {
		t.Errorf("the log doesn't mention it: %s", p.log.String())
	}
	if count := metric(t, p, "surplus_answers"); count == "" || count == "0|c" {
		t.Errorf("the metric is %q", count)
	}
}
