package gateway

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/engine"
)

// fakeGate is a QuotaGate that records its calls, and gives all of them the same verdict.
type fakeGate struct {
	verdict    QuotaVerdict
	retryAfter time.Duration

	mu      sync.Mutex
	taken   []float64 // costs, in order
	refunds []float64 // costs, in order
	tenants map[string]int
}

var _ QuotaGate = (*fakeGate)(nil)

func (f *fakeGate) Acquire(subscriber *configuration.Subscriber, cost float64, _ time.Time) QuotaDecision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken = append(f.taken, cost)
	if f.tenants == nil {
		f.tenants = map[string]int{}
	}
	f.tenants[subscriber.Name]++
	return QuotaDecision{Verdict: f.verdict, RetryAfter: f.retryAfter, Cost: cost, At: time.Now()}
}

func (f *fakeGate) Refund(_ *configuration.Subscriber, decision QuotaDecision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunds = append(f.refunds, decision.Cost)
}

// refunded returns the costs of all refunds so far.
func (f *fakeGate) refunded() []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.refunds)
}

// limitedTenants lists a tenant with a quota of tokens, one with a quota of requests and one without any.
const limitedTenants = `"subscribers":[
	{"name":"harbor","access_keys":["k1"],"unit":"token_metering","raw_tokens":700,"rate_per_s":1000,"burst_size":5000},
	{"name":"quay","access_keys":["k2"],"rate_per_s":10},{"name":"pier","access_keys":["k3"]}],`

const harborCredentials = "Authorization: Bearer k1\r\n"

func TestParseTokens(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]float64{
		"1460,80": 1540, " 1460 , 80 ": 1540, "0,0": 0, "": unknownTokens, "1460": unknownTokens, "1460,": unknownTokens, "many,80": unknownTokens,
		"1460,80,1": unknownTokens, "-1460,80": unknownTokens, "1.5,80": unknownTokens, "99999999999999999999,1": unknownTokens,
	} {
		is.Equal(parseTokens(value), want)
	}
}

// Guards against exceeding a quota with a request that states its tokens twice, once too low.
func TestHighestOfSeveralTokenCountsCounts(t *testing.T) {
	gate := &fakeGate{}
	runGateway(t, documentOf(t, limitedTenants), gate, func(h *harness) {
		is := is.New(h.t)
		h.addBackend()
		for _, headers := range []string{"Token-Count: 0,1\r\nToken-Count: 1460,80\r\n", "token-count: 1460,80\r\nToken-Count: many\r\n"} {
			status, _ := h.send("/keyed/1", harborCredentials+headers)
			is.Equal(status, 200)
		}
		is.Equal(gate.taken, []float64{1540, 1540})
	})
}

// Guards against refusals that break their promise: a request that a quota refuses gets 429 or 503 with Retry-After, and
// never runs.
func TestRefusalsByQuota(t *testing.T) {
	for name, test := range map[string]struct {
		verdict QuotaVerdict
		status  int
		counter string
	}{
		"exceeded": {QuotaExceeded, 429, "over_quota"},
		"unknown":  {QuotaUnknown, 503, "quota_unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			gate := &fakeGate{verdict: test.verdict, retryAfter: 250 * time.Millisecond}
			runGateway(t, documentOf(t, limitedTenants), gate, func(h *harness) {
				is := is.New(h.t)
				h.addBackend()
				for range 3 {
					status, header := h.send("/keyed/1", harborCredentials)
					is.Equal(status, test.status)
					is.Equal(header.Get("Retry-After"), "0.250")
				}
				is.Equal(len(h.backend.Executions()), 0)
				is.Equal(len(gate.refunded()), 0) // nothing was taken
				is.Equal(h.gateway.refusals.counters[refusedUnauthenticated].Get(), uint64(0))
				var metrics strings.Builder
				h.gateway.metrics.WritePrometheus(&metrics)
				is.True(strings.Contains(metrics.String(), `marlreel_requests_refused_total{reason="`+test.counter+`"} 3`))
				lines := h.loggedLines()
				is.Equal(len(lines), 1) // however many are refused
				is.True(strings.Contains(lines[0], `"tenant"="harbor"`))
				is.True(strings.Contains(lines[0], `"cause"="`+test.counter+`"`))
				is.True(!strings.Contains(lines[0], "k1")) // no key
			})
		})
	}
}

// Guards against wrong costs: a request counts by its tokens, by raw_tokens or as one, and only if its tenant has a
// quota.
func TestRequestsCountTowardsQuotas(t *testing.T) {
	gate := &fakeGate{}
	runGateway(t, documentOf(t, limitedTenants), gate, func(h *harness) {
		is := is.New(h.t)
		h.addBackend()
		for _, headers := range []string{
			harborCredentials + "Token-Count: 1460,80\r\n", harborCredentials, harborCredentials + "Token-Count: many\r\n",
			"Authorization: Bearer k2\r\nToken-Count: 1460,80\r\n", "Authorization: Bearer k3\r\n",
		} {
			status, _ := h.send("/keyed/1", headers)
			is.Equal(status, 200)
		}
		status, _ := h.send("/keyed/1", "Authorization: Bearer unknown\r\n")
		is.Equal(status, 401)
		status, _ = h.send("/open/1", "")
		is.Equal(status, 200)
		status, _ = h.send("/open/1", harborCredentials) // it runs under the tenant's name, so it counts
		is.Equal(status, 200)
		is.Equal(gate.taken, []float64{1540, 700, 700, 1, 700})
		is.Equal(gate.tenants, map[string]int{"harbor": 4, "quay": 1})
		is.Equal(len(gate.refunded()), 0)
		is.Equal(h.gateway.refusals.counters[refusedUnauthenticated].Get(), uint64(1))
	})
}

// Guards against quotas that are used up by requests that never ran: here the proxy rejects one that waits.
func TestRejectedRequestIsRefunded(t *testing.T) {
	gate := &fakeGate{}
	runGateway(t, documentOf(t, limitedTenants), gate, func(h *harness) {
		is := is.New(h.t)
		conn := h.dial()
		defer conn.Close()
		h.write(conn, "/keyed/1", harborCredentials+"Token-Count: 1460,80\r\n")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(gate.refunded()), 0)
		h.gateway.failPending()
		status, _ := h.read(conn)
		is.Equal(status, 503)
		is.Equal(gate.refunded(), []float64{1540})
	})
}

// Guards against quotas that are used up by requests that backends received and rejected without running them.
func TestRequestThatBackendsRejectedIsRefunded(t *testing.T) {
	gate := &fakeGate{}
	runGateway(t, documentOf(t, limitedTenants), gate, func(h *harness) {
		is := is.New(h.t)
		h.addBackend()
		status, header := h.send("/keyed/1", harborCredentials+"Model: not-loaded\r\n")
		is.Equal(status, 503)
		is.True(header.Get("Retry-After") != "")
		is.Equal(len(h.backend.Executions()), 0)
		is.Equal(gate.refunded(), []float64{700})
	})
}

// abandon sends a tenant's request whose client disconnects after a time, and returns the answer. Connections of the
// simulated network can't be watched, so the disconnect is simulated in the watcher.
func (h *harness) abandon(after time.Duration) engine.Answer {
	h.t.Helper()
	table := h.gateway.table.Load()
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetHost("a.example")
	ctx.Request.SetRequestURI("/keyed/1")
	ctx.Request.Header.Set(headerRequestID, "9c41")
	watcher := &disconnectWatcher{disconnected: make(chan struct{}), done: make(chan struct{})}
	close(watcher.done)
	r := &clientRequest{
		gateway: h.gateway, service: h.service, route: &table.document.Routes[0], deadline: time.Now().Add(2 * time.Second), disconnect: watcher,
		tenant: tenancy{listed: true, subscriber: table.document.Subscriber("harbor")},
	}
	r.message = newMessage(ctx, r.route, r.tenant)
	if !r.acquireQuota(ctx) {
		h.t.Fatal("the quota refused the request")
	}
	time.AfterFunc(after, func() { close(watcher.disconnected) })
	answer := r.execute(newCall(r.service, r.route, r.message, nil, 0))
	r.refundQuota()
	return answer
}

// Guards against quotas that are used up by requests whose client disconnected while they waited.
func TestAbandonedRequestIsRefundedIfUnsent(t *testing.T) {
	gate := &fakeGate{}
	runGateway(t, documentOf(t, limitedTenants), gate, func(h *harness) {
		is := is.New(h.t)
		is.Equal(h.abandon(50*time.Millisecond).Verdict, engine.ClientGone)
		is.Equal(gate.refunded(), []float64{700})

		h.addBackend()
		is.Equal(h.abandon(10*time.Millisecond).Verdict, engine.ClientGone)
		is.Equal(len(h.backend.Executions()), 1)
		is.Equal(len(gate.refunded()), 1) // a request that may have run counts
	})
}

// Guards against a log that grows with the number of refused requests.
func TestRefusalLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := logRateLimit{interval: 10 * time.Second}
		count, due := limit.add(time.Now())
		is.True(due)
		is.Equal(count, 1)
		for range 5 {
			_, due = limit.add(time.Now())
			is.True(!due)
		}
		time.Sleep(10 * time.Second)
		count, due = limit.add(time.Now())
		is.True(due)
		is.Equal(count, 6)
	})
}
