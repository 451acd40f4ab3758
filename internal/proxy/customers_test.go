package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"marlreel/internal/testutil"
)

// payroll are the settings of another customer in the same zones. Classes, tenants, machine kinds, effects, limits and
// load report fields all differ. One class has the same name as in the auction's settings, but another effect.
const payroll = `{"Balancers":1,"Rank":0,"Zone":0,"Tick":5.0,"Discovery":"pushed",
 "FailureDomains":["koper","maribor"],"Kinds":["std-1c"],"Feedback":{"How":"inline","Names":["busy_reqs","pending"]},
 "Caps":{"Cancel":true,"ConnIdle":5000.0,"ConnectTimeout":1000.0,"MaxAttempts":1,"MaxOpen":2,"MaxRetryAfter":700.0,
  "Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1},
 "Obligations":{"AnswerSlack":20.0,"Cold":21000.0,"DrainGrace":1000.0,"Fall":2000.0,"FallMultiple":3.0,"StartCapacity":0.12},
 "Services":[
  {"Name":"payslip-view","Aim":60000.0,"GiveUp":30000.0,"Effect":"retryable","Value":1.0},
  {"Name":"transfer-order","Aim":60000.0,"GiveUp":30000.0,"Effect":"fragile","Value":1.0},
  {"Name":"lot-list","Aim":60000.0,"GiveUp":30000.0,"Effect":"fragile","Value":1.0}],
 "Tenants":[{"Name":"ishikari","Share":0.5,"QuotaPerS":1000.0},{"Name":"obihiro","Share":0.5,"QuotaPerS":1000.0}]}`

// sendAs sends a request of a class and an account, with further headers, and returns the answer.
func sendAs(t *testing.T, p *running, method, class, account string, more ...string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, p.url+"/"+class+"/7f3a", strings.NewReader(map[bool]string{true: "x"}[method == "POST"]))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", lastRequestID.Add(1)))
	r.Header.Set("X-Account", account)
	r.Header.Set("X-Time-Left", "12000m")
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	return do(t, r)
}

// Replaces one customer's settings by another's, by a restart and by SIGHUP, and back. No name, limit or effect of one
// may still apply under the other.
func TestOneCustomersSettingsAfterAnothers(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	held, failing, tries := chan struct{}(nil), false, 0
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			mu.Lock()
			wait, fails := held, failing
			tries++
			mu.Unlock()
			if wait != nil && strings.Contains(r.URL.Path, "payslip") {
				<-wait
			}
			if fails {
				io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
			} else {
				io.WriteString(c, okAnswer)
			}
		}
	})
	one, two := ready("s-1", addr), ready("s-1", addr)
	two.MachineType = "std-1c"
	attempts := func(p *running, method, class, account string) int {
		mu.Lock()
		failing, tries = true, 0
		mu.Unlock()
		sendAs(t, p, method, class, account)
		mu.Lock()
		defer mu.Unlock()
		failing = false
		return tries
	}
	asAuction := func(t *testing.T, p *running) {
		t.Helper()
		for _, c := range []struct {
			method, class, account string
			key                    []string
			want                   int
		}{
			{"GET", "lot-list", "obala", nil, 200},
			{"POST", "bid", "obala", nil, 200},
			{"POST", "pickup", "obala", []string{"Idempotency-Key", "k1"}, 200},
			{"POST", "lot-list", "obala", nil, 405},
			{"GET", "payslip-view", "obala", nil, 404},
			{"GET", "lot-list", "ishikari", nil, 400},
			{"GET", "lot-list", "obihiro", nil, 400},
		} {
			if status, text, _ := sendAs(t, p, c.method, c.class, c.account, c.key...); status != c.want {
				t.Errorf("the auction's: %s %s of %s: %d %q, want %d", c.method, c.class, c.account, status, text, c.want)
			}
		}
		if n := attempts(p, "GET", "lot-list", "obala"); n < 2 {
			t.Errorf("the auction's: %d attempts at a listing, which may be retried", n)
		}
	}
	asPayroll := func(t *testing.T, p *running) {
		t.Helper()
		for _, c := range []struct {
			method, class, account string
			key                    []string
			want                   int
		}{
			{"GET", "payslip-view", "ishikari", nil, 200},
			{"POST", "transfer-order", "obihiro", nil, 200},
			{"POST", "lot-list", "obihiro", nil, 200},
			{"GET", "lot-list", "obihiro", nil, 405},
			{"POST", "bid", "ishikari", nil, 404},
			{"POST", "pickup", "ishikari", []string{"Idempotency-Key", "k1"}, 404},
			{"GET", "payslip-view", "obala", nil, 400},
		} {
			if status, text, _ := sendAs(t, p, c.method, c.class, c.account, c.key...); status != c.want {
				t.Errorf("the payroll's: %s %s of %s: %d %q, want %d", c.method, c.class, c.account, status, text, c.want)
			}
		}
		if n := attempts(p, "GET", "payslip-view", "ishikari"); n != 1 {
			t.Errorf("the payroll's: %d attempts, want 1", n)
		}
		// Two requests may be open here. The third is refused, with this customer's maximum as Retry-After.
		wait := make(chan struct{})
		mu.Lock()
		held, tries = wait, 0
		mu.Unlock()
		var open sync.WaitGroup
		for range 2 {
			open.Go(func() { sendAs(t, p, "GET", "payslip-view", "ishikari") })
		}
		eventually(t, "two to be open", func() bool { mu.Lock(); defer mu.Unlock(); return tries == 2 })
		status, text, h := sendAs(t, p, "GET", "payslip-view", "ishikari")
		if after := h.Get("Retry-After"); status != 503 || after != "0.700" || text != "too many requests\n" {
			t.Errorf("the payroll's: the third open request: %d %q, Retry-After %q", status, text, after)
		}
		mu.Lock()
		held = nil
		mu.Unlock()
		close(wait)
		open.Wait()
	}
	t.Run("one after the other", func(t *testing.T) {
		asAuction(t, start(t, configWith(t, testSettings, closedAddr(t), one)))
		asPayroll(t, start(t, configWith(t, payroll, closedAddr(t), two)))
	})
	t.Run("by SIGHUP", func(t *testing.T) {
		d := newRegistry(t)
		auction, other := configWith(t, testSettings, d.Addr, one), configWith(t, payroll, d.Addr, two)
		p := start(t, auction)
		asAuction(t, p)
		for range 2 {
			p.reloads <- Reload{Config: other}
			eventually(t, "the payroll's settings", func() bool { return strings.Contains(lastReload(p.log), "3 classes, 1 attempts") })
			asPayroll(t, p)
			p.reloads <- Reload{Config: auction}
			eventually(t, "the auction's settings", func() bool { return strings.Contains(lastReload(p.log), "3 classes, 4 attempts") })
			asAuction(t, p)
		}
	})
}

// lastReload returns the last log line about a reload.
func lastReload(log *testutil.LockedLog) (line string) {
	for l := range strings.Lines(log.String()) {
		if strings.Contains(l, "reloaded:") {
			line = l
		}
	}
	return line
}
