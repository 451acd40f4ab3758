package balancer

import (
	"slices"
	"testing"
	"time"

	"marlreel/internal/balancer/concurrencylimit"
)

// drive runs a proxy for d in steps of 10 ms: a request every gap, each answered after took, every health check passed,
// and the sweep timer. It returns the sends and the health checks by backend.
func drive(b *Balancer, h *recorder, from, d, gap, took time.Duration) (sends, checks map[BackendID]int) {
	sends, checks = map[BackendID]int{}, map[BackendID]int{}
	id, next := RequestID(from/milli), from
	type due struct {
		at time.Duration
		o  Outcome
	}
	var out []due
	for now := from; now < from+d; now += 10 * milli {
		if now >= next {
			b.OnRequest(now, Request{ID: id, Class: int(id) % 3, Deadline: now + 3*second})
			id, next = id+1, next+gap
		}
		for len(out) > 0 && out[0].at <= now {
			b.OnAttemptEnd(now, out[0].o)
			out = out[1:]
		}
		b.OnTimer(now, timerSweep<<56)
		for _, a := range h.take("send", "probe") {
			if a.verb == "send" {
				sends[a.to]++
				out = append(out, due{now + took, Outcome{ID: a.id, Backend: a.to, Result: OK, Took: took, Final: true}})
			} else {
				checks[a.to]++
				b.OnHealthCheck(now, HealthCheckResult{Backend: a.to, Result: OK, Took: milli})
			}
		}
	}
	return sends, checks
}

func total(counts map[BackendID]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// Hundreds of proxies that each check every backend at a fixed interval would overload the backends.
func TestHealthChecksAreAShareOfRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		gap      time.Duration
		backends int
	}{
		{"little traffic over many backends", 200 * milli, 30},
		{"much traffic over few", 10 * milli, 10},
	} {
		cfg := testConfig()
		cfg.Instances = 300
		b, h := newBalancer(t, cfg, c.backends)
		drive(b, h, second, 60*second, c.gap, 5*milli) // learns the gap between requests
		sends, checks := drive(b, h, 61*second, 120*second, c.gap, 5*milli)
		if n := total(sends); float64(total(checks)) > 1.2*maxCheckRatio*float64(n) {
			t.Errorf("%s: %d health checks for %d requests", c.name, total(checks), n)
		}
		if total(checks) == 0 {
			t.Errorf("%s: no health check at all", c.name)
		}
	}
}

// Many proxies with little traffic each can't measure every backend. So each uses a small subset, which membership
// changes hardly affect.
func TestSubsetIsSmallEvenAndStable(t *testing.T) {
	const proxies, backends = 400, 60
	proxiesUsing := map[BackendID]int{}
	moved := 0
	for rank := range proxies {
		cfg := testConfig()
		cfg.Instances, cfg.Rank, cfg.Zone = proxies, rank, 0
		b, _ := newBalancer(t, cfg, 0)
		all := list(backends + 1)
		for i := range all {
			all[i].Zone = 0
		}
		b.OnMembership(second, Membership{Kind: MembershipFull, Version: 1, Backends: all[:backends]})
		before := map[BackendID]bool{}
		for _, x := range b.subset {
			proxiesUsing[x.ID]++
			before[x.ID] = true
		}
		if n := len(b.subset); n < minSubsetSize || n > backends/4 {
			t.Fatalf("proxy %d uses %d of %d backends", rank, n, backends)
		}
		b.OnMembership(second, Membership{Kind: MembershipDelta, Version: 2, Backends: all[backends:]})
		for _, x := range b.subset {
			if !before[x.ID] {
				moved++
			}
		}
	}
	for id, n := range proxiesUsing {
		if mean := float64(total(proxiesUsing)) / backends; float64(n) < mean/2.5 || float64(n) > 2.5*mean {
			t.Errorf("backend %d is used by %d proxies, the mean is %.1f", id, n, mean)
		}
	}
	if len(proxiesUsing) != backends || moved > 2*total(proxiesUsing)/backends {
		t.Errorf("%d backends are used; one more backend changed %d of %d subset entries", len(proxiesUsing), moved, total(proxiesUsing))
	}
}

// When the backends of its subset become unhealthy, a proxy adds the next ones in its rendezvous order.
func TestSubsetWidensWhenBackendsAreUnhealthy(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 400
	b, h := newBalancer(t, cfg, 60)
	first := slices.Clone(b.subset)
	for _, x := range first {
		x.healthy = false
	}
	b.OnTimer(second+milli, timerSweep<<56)
	h.take()
	b.OnRequest(second+2*milli, Request{ID: 1, Deadline: 3 * second})
	got := h.take("send")
	if len(got) != 1 || slices.ContainsFunc(first, func(x *target) bool { return x.ID == got[0].to }) {
		t.Errorf("sent %v, with the whole first subset unhealthy", got)
	}
	if len(b.subset) <= len(first) {
		t.Errorf("the subset had %d backends and now has %d, want more", len(first), len(b.subset))
	}
}

// With a few one-core backends behind hundreds of proxies, the proxies have to share the initial limit of a backend.
// Otherwise the first second alone would overload all backends.
func TestInitialLimitIsSharedByAllProxies(t *testing.T) {
	for _, proxies := range []int{1, 3, 40, 400} {
		cfg := testConfig()
		cfg.Instances = proxies
		b, _ := newBalancer(t, cfg, 60)
		sum := b.ready[0].concurrencyLimit * float64(proxies*len(b.subset)) / float64(len(b.ready))
		if sum < concurrencylimit.Initial(1)*0.9 || sum > concurrencylimit.Initial(1)*1.1 {
			t.Errorf("%d proxies: the limits of a backend add up to %.1f", proxies, sum)
		}
	}
}

// A proxy that sees few answers would learn the usual delay only after the first overload. Until it knows the tail, an
// attempt is overdue after a fraction of its latency target.
func TestOverdueWithoutAKnownTail(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 400
	b, h := newBalancer(t, cfg, 60)
	b.OnRequest(10*second, Request{ID: 1, Deadline: 13 * second})
	to := b.byID[h.take("send")[0].to]
	before := to.concurrencyLimit
	b.OnTimer(10*second+400*milli, timerSweep<<56)
	if to.concurrencyLimit >= before {
		t.Errorf("with an attempt in flight for 0.4 of its latency target, the limit went from %.3f to %.3f", before, to.concurrencyLimit)
	}
}

// Each of many proxies that share a backend sees few answers, so a late one must count for more.
func TestLimitAdaptsFasterWithManyProxies(t *testing.T) {
	limitRatio := func(proxies int) float64 {
		cfg := testConfig()
		cfg.Instances = proxies
		b, h := newBalancer(t, cfg, 60)
		b.OnRequest(10*second, Request{ID: 1, Deadline: 13 * second})
		to := b.byID[h.take("send")[0].to]
		before := to.concurrencyLimit
		b.OnTimer(10*second+900*milli, timerSweep<<56)
		return to.concurrencyLimit / before
	}
	if few, many := limitRatio(2), limitRatio(400); many > few*0.9 {
		t.Errorf("a late attempt reduces the limit to %.2f of it with 2 proxies and to %.2f with 400", few, many)
	}
}

// Idle connections to backends that a proxy no longer uses would fill the backends' connection tables and keep other
// proxies from connecting.
func TestLeavingTheSubsetReleasesConnections(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 400
	b, h := newBalancer(t, cfg, 60)
	out := b.subset[0]
	out.ejectedUntil = 5 * second
	b.OnTimer(2*second, timerSweep<<56)
	if got := h.take("release"); len(got) != 1 || got[0].to != out.ID {
		t.Errorf("backend %d was ejected, and released were %v", out.ID, got)
	}
	b.OnTimer(6*second, timerSweep<<56) // it returns, and its replacement leaves the subset
	if got := h.take("release"); len(got) != 1 || got[0].to == out.ID {
		t.Errorf("backend %d returned, and released were %v", out.ID, got)
	}
	b.OnTimer(7*second, timerSweep<<56)
	if got := h.take("release"); len(got) != 0 {
		t.Errorf("nothing changed, and released were %v", got)
	}
}

// Proxies that restart while backends warm up do not know the work of requests yet: without the initial debt, each
// proxy would immediately send one request to each of these backends.
func TestRestartedProxiesTakeTurnsAtWarmingBackends(t *testing.T) {
	const proxies = 300
	sent := 0
	for rank := range proxies {
		cfg := testConfig()
		cfg.Instances, cfg.Rank = proxies, rank
		h := &recorder{}
		b, err := New(cfg, uint64(rank), h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(100 * second)
		warming := list(4)
		for i := range warming {
			warming[i].Started = 99 * second
		}
		b.OnMembership(100*second, Membership{Kind: MembershipCached, Version: 1, Backends: warming})
		b.OnRequest(100*second, Request{ID: 1, Deadline: 103 * second})
		sent += len(h.take("send"))
	}
	if sent > proxies/20 {
		t.Errorf("%d requests of %d restarted proxies were sent to 4 warming backends at once", sent, proxies)
	}
}

// With hundreds of proxies hardly any request is queued, so a request of higher utility must be sent sooner.
func TestMoreUtilityIsSpacedLess(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.concurrencyLimit, b.meanExpectedDelay, b.meanUtilityPerWork, only.lastSent = 0.5, 200, 1, second // 400 ms between two sends
	b.now = second + 150*milli
	if b.underLimit(&request{utilityPerWork: 1}, only) || b.underLimit(&request{utilityPerWork: 0.1}, only) {
		t.Error("a request of usual or low utility was allowed too soon")
	}
	if !b.underLimit(&request{utilityPerWork: 3}, only) {
		t.Error("a request of three times the usual utility was not allowed")
	}
	b.now = second + 410*milli
	if !b.underLimit(&request{utilityPerWork: 0.1}, only) {
		t.Error("a request of low utility was not allowed after the spacing")
	}
}

// A timeout is stronger evidence of overload than a late answer.
func TestTimeoutDecreasesTheLimitOnceMore(t *testing.T) {
	after := func(result Result) float64 {
		cfg := testConfig()
		cfg.Instances = 400
		b, h := newBalancer(t, cfg, 60)
		b.OnRequest(10*second, Request{ID: 1, Deadline: 13 * second})
		to := b.byID[h.take("send")[0].to]
		b.OnTimer(10*second+800*milli, timerSweep<<56)
		b.OnAttemptEnd(10*second+900*milli, Outcome{ID: 1, Backend: to.ID, Result: result, Final: result == OK})
		return to.concurrencyLimit
	}
	if late := after(OK); after(Timeout) >= late {
		t.Errorf("late: %.3f, timed out: %.3f", late, after(Timeout))
	}
}

// Duplicate, late and unexpected outcomes and health checks change nothing, and utility may be 0.
func TestLateAndDuplicateEventsChangeNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 400
	for i := range cfg.Classes {
		cfg.Classes[i].Value = 0
	}
	b, h := newBalancer(t, cfg, 60)
	b.OnRequest(10*second, Request{ID: 1, Class: unsafe, Deadline: 13 * second})
	got := h.take("send")
	if len(got) != 1 {
		t.Fatalf("a request of no utility: %v", got)
	}
	to := b.byID[got[0].to]
	if to.concurrencyLimit < 1 && b.underLimit(&request{}, to) {
		t.Error("one more request was allowed immediately where no request has any utility")
	}
	once := Outcome{ID: 1, Backend: to.ID, Result: Error, Took: milli}
	b.OnAttemptEnd(10*second+milli, once)
	if got := h.take("fail", "refuse", "send"); len(got) != 1 || got[0].verb != "fail" {
		t.Fatalf("an unsafe request that may have run: %v", got)
	}
	bad, load := to.consecutiveFailures, to.load
	b.OnAttemptEnd(10*second+2*milli, once)
	b.OnHealthCheck(10*second+2*milli, HealthCheckResult{Backend: to.ID, Result: Timeout})
	b.OnClientGone(10*second+3*milli, 1)
	if got := h.take("fail", "refuse", "send"); len(got) != 0 || to.consecutiveFailures != bad || to.load != load || to.failedChecks != 0 {
		t.Errorf("%v; %d failures, load %v, %d failed health checks", got, to.consecutiveFailures, to.load, to.failedChecks)
	}
}
