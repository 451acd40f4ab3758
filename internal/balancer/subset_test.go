package balancer

import (
	"slices"
	"testing"
	"time"

	"marlreel/internal/balancer/concurrencylimit"
)

// drive plays d of a proxy's life in steps of 10 ms: a request every gap, each answered after took, every
// health check passed, and the sweep timer. It returns the sends and the health checks by backend.
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

// Hundreds of proxies that each check every backend by the clock wear the backends out.
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
		drive(b, h, second, 60*second, c.gap, 5*milli) // the gap is learned
		sends, checks := drive(b, h, 61*second, 120*second, c.gap, 5*milli)
		if n := total(sends); float64(total(checks)) > 1.2*maxCheckRatio*float64(n) {
			t.Errorf("%s: %d health checks for %d requests", c.name, total(checks), n)
		}
		if total(checks) == 0 {
			t.Errorf("%s: no health check at all", c.name)
		}
	}
}

// Where many proxies have little traffic each, none can measure every backend: each keeps to a few of its
// own, which list changes hardly touch.
func TestSubsetIsSmallEvenAndStable(t *testing.T) {
	const proxies, backends = 400, 60
	users := map[BackendID]int{}
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
			users[x.ID]++
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
	for id, n := range users {
		if mean := float64(total(users)) / backends; float64(n) < mean/2.5 || float64(n) > 2.5*mean {
			t.Errorf("backend %d is used by %d proxies, %.1f in the mean", id, n, mean)
		}
	}
	if len(users) != backends || moved > 2*total(users)/backends {
		t.Errorf("%d backends used at all; one more moved %d of %d places", len(users), moved, total(users))
	}
}

// When those of its subset die, a proxy goes on to the next in its own order.
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
		t.Errorf("sent %v, with all of the first subset unfit", got)
	}
	if len(b.subset) <= len(first) {
		t.Errorf("the subset went from %d to %d", len(first), len(b.subset))
	}
}

// A few one-core backends behind hundreds of proxies: what each may send at first is its part of one
// limit, or the first second alone crowds them all.
func TestInitialLimitIsSharedByAllProxies(t *testing.T) {
	for _, proxies := range []int{1, 3, 40, 400} {
		cfg := testConfig()
		cfg.Instances = proxies
		b, _ := newBalancer(t, cfg, 60)
		sum := b.ready[0].concurrencyLimit * float64(proxies*len(b.subset)) / float64(len(b.ready))
		if sum < concurrencylimit.Initial(1)*0.9 || sum > concurrencylimit.Initial(1)*1.1 {
			t.Errorf("%d proxies: limits add up to %.1f a backend", proxies, sum)
		}
	}
}

// Where a proxy sees few answers, the first crowd would be over before it had learned what is usual: until
// then a share of the latency target tells.
func TestOverdueWithoutAKnownTail(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 400
	b, h := newBalancer(t, cfg, 60)
	b.OnRequest(10*second, Request{ID: 1, Deadline: 13 * second})
	to := b.byID[h.take("send")[0].to]
	before := to.concurrencyLimit
	b.OnTimer(10*second+400*milli, timerSweep<<56)
	if to.concurrencyLimit >= before {
		t.Errorf("out for 0.4 of its latency target, the limit went from %.3f to %.3f", before, to.concurrencyLimit)
	}
}

// Each of many sharers sees few answers, so one that is late must count for more there.
func TestManySharersLearnFaster(t *testing.T) {
	cut := func(proxies int) float64 {
		cfg := testConfig()
		cfg.Instances = proxies
		b, h := newBalancer(t, cfg, 60)
		b.OnRequest(10*second, Request{ID: 1, Deadline: 13 * second})
		to := b.byID[h.take("send")[0].to]
		before := to.concurrencyLimit
		b.OnTimer(10*second+900*milli, timerSweep<<56)
		return to.concurrencyLimit / before
	}
	if few, many := cut(2), cut(400); many > few*0.9 {
		t.Errorf("a late attempt cuts to %.2f with 2 proxies and to %.2f with 400", few, many)
	}
}

// Connections that stay open to backends out of use fill their tables, and no proxy gets in.
func TestLeavingTheSubsetReleasesConnections(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 400
	b, h := newBalancer(t, cfg, 60)
	out := b.subset[0]
	out.ejectedUntil = 5 * second
	b.OnTimer(2*second, timerSweep<<56)
	if got := h.take("release"); len(got) != 1 || got[0].to != out.ID {
		t.Errorf("ejected %d: %v", out.ID, got)
	}
	b.OnTimer(6*second, timerSweep<<56) // it is back, and the one that stood in for it leaves
	if got := h.take("release"); len(got) != 1 || got[0].to == out.ID {
		t.Errorf("%d is back: %v", out.ID, got)
	}
	b.OnTimer(7*second, timerSweep<<56)
	if got := h.take("release"); len(got) != 0 {
		t.Errorf("nothing changed: %v", got)
	}
}

// Proxies that restart while backends warm up know no request's work yet: without debt each proxy
// would send each of them one request at once.
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
		t.Errorf("%d of %d restarted proxies sent to 4 warming backends at once", sent, proxies)
	}
}

// With hundreds of proxies hardly anything waits, so what has more utility must get room sooner.
func TestMoreUtilityIsSpacedLess(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.concurrencyLimit, b.meanExpectedDelay, b.meanUtilityPerWork, only.lastSent = 0.5, 200, 1, second // 400 ms between two sends
	b.now = second + 150*milli
	if b.underLimit(&request{utilityPerWork: 1}, only) || b.underLimit(&request{utilityPerWork: 0.1}, only) {
		t.Error("a usual request got room too soon")
	}
	if !b.underLimit(&request{utilityPerWork: 3}, only) {
		t.Error("a request of three times the gain got no room")
	}
	b.now = second + 410*milli
	if !b.underLimit(&request{utilityPerWork: 0.1}, only) {
		t.Error("a request of little gain waits longer than the spacing")
	}
}

// A time-out says more of a crowd than an answer that was late.
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

// Outcomes and health checks that come twice, late or for nothing change nothing, and utility may be 0.
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
		t.Error("room for one more at once where nothing has any utility")
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
		t.Errorf("%v; %d bad, load %v, %d health checks failed", got, to.consecutiveFailures, to.load, to.failedChecks)
	}
}
