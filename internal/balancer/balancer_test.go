package balancer

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer/concurrencylimit"
	"marlreel/internal/balancer/connectionfailure"
	"marlreel/internal/balancer/decay"
)

const (
	safe = iota
	keyed
	unsafe
	anywhere
)

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
	}{
		{"Classes", func(c *Config) { c.Classes = nil }},
		{"Classes[0]", func(c *Config) { c.Classes[0].LatencyTarget = 0 }},
		{"Classes[1]", func(c *Config) { c.Classes[1].IdempotencyWindow = -1 }},
		{"Obligations", func(c *Config) { c.Obligations.WarmupDuration = -1 }},
		{"Tick", func(c *Config) { c.Tick = -1 }},
		{"Instances", func(c *Config) { c.Instances = 0 }},
	} {
		cfg := testConfig()
		c.change(&cfg)
		if _, err := New(cfg, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), c.name) {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Whether a request is retried after a result depends on the effect of its class.
func TestRetriesByEffect(t *testing.T) {
	for _, c := range []struct {
		class  int
		result Result
		want   string
	}{
		{safe, Error, "send"},
		{safe, Reset, "send"},
		{safe, ConnectFailed, "send"},
		{safe, Rejected, "send"},
		{keyed, Error, "send"},
		{keyed, ConnectFailed, "send"},
		{anywhere, Error, "send"},
		{anywhere, Reset, "send"},
		{unsafe, Error, "fail"},
		{unsafe, Reset, "fail"},
		{unsafe, Cancelled, "fail"},
		{unsafe, ConnectFailed, "send"},
		{unsafe, Rejected, "send"},
	} {
		b, h := newBalancer(t, testConfig(), 6)
		b.OnRequest(second, Request{ID: 9, Class: c.class, Deadline: 4 * second})
		first := h.take("send")
		if len(first) != 1 {
			t.Fatalf("class %d: %d sends at first", c.class, len(first))
		}
		b.OnAttemptEnd(second+10*milli, Outcome{ID: 9, Backend: first[0].to, Result: c.result, Took: 10 * milli})
		next := h.take("send", "fail", "refuse")
		if len(next) != 1 || next[0].verb != c.want {
			t.Errorf("class %d after result %d: %v, want one %s", c.class, c.result, next, c.want)
			continue
		}
		if c.want == "send" && next[0].to == first[0].to {
			t.Errorf("class %d: sent again to the backend that failed", c.class)
		}
		if c.class == keyed && !c.result.NeverRan() && (next[0].to-first[0].to)%2 != 0 {
			t.Errorf("a keyed request that may have run was sent to another zone")
		}
	}
}

func TestNoBackendsMeansRejectionInTime(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 0)
	b.OnRequest(second, Request{ID: 1, Class: unsafe, Deadline: 2 * second})
	b.OnTimer(2*second-100*milli, timerDispatch<<56)
	if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != "refuse" {
		t.Errorf("got %v", got)
	}
}

func TestMembershipInTimeServesTheQueue(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 0)
	b.OnRequest(second, Request{ID: 1, Class: unsafe, Deadline: 2 * second})
	b.OnMembership(second+50*milli, Membership{Kind: MembershipDelta, Backends: list(1)})
	b.OnTimer(second+60*milli, timerDispatch<<56)
	if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != "send" {
		t.Errorf("got %v", got)
	}
}

func TestDrainingAndGoneBackendsGetNothingNew(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		b, h := newBalancer(t, testConfig(), 3)
		b.OnMembership(second, Membership{Kind: MembershipDelta, Backends: []Backend{{ID: 2, State: state}}})
		for i := range 200 {
			b.OnRequest(second, Request{ID: RequestID(i), Deadline: 4 * second})
		}
		b.OnTimer(9*second, timerSweep<<56)
		for _, a := range h.take("send", "probe") {
			if a.to == 2 {
				t.Fatalf("state %d: %s to backend 2", state, a.verb)
			}
		}
	}
}

func TestHealthSurvivesMembershipChanges(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 3)
	for now := second; now < 12*second; now += b.healthCheckInterval / sweepsPerInterval {
		b.OnTimer(now, timerSweep<<56)
		for _, p := range h.take("probe") {
			r := OK
			if p.to == 1 {
				r = Timeout
			}
			b.OnHealthCheck(now, HealthCheckResult{Backend: p.to, Result: r})
		}
	}
	b.OnMembership(12*second, Membership{Kind: MembershipFull, Version: 2, Backends: list(5)})
	for i := range 100 {
		b.OnRequest(12*second, Request{ID: RequestID(i), Deadline: 14 * second})
	}
	for _, a := range h.take("send") {
		if a.to == 1 {
			t.Fatal("an unhealthy backend got a request after a membership change")
		}
	}
}

// A late attempt that was alone at its backend is no sign of overload: the limit decreases only a little.
func TestOneOverdueAttemptKeepsALimitOfOne(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.concurrencyLimit = 20
	b.OnRequest(second, Request{ID: 1, Deadline: 4 * second})
	b.OnAttemptEnd(second+900*milli, Outcome{ID: 1, Backend: h.take("send")[0].to, Result: OK, Final: true})
	if only.concurrencyLimit >= 20 || only.concurrencyLimit < 15 {
		t.Errorf("limit %v after one late answer", only.concurrencyLimit)
	}
}

// A late attempt counts while it is in flight: its end would show the overload only after the server has collapsed.
func TestAttemptIsOverdueWhileInFlight(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.concurrencyLimit = 20
	b.OnRequest(second, Request{ID: 1, Deadline: 4 * second})
	b.OnTimer(second+600*milli, timerSweep<<56)
	once := only.concurrencyLimit
	b.OnTimer(second+650*milli, timerSweep<<56)
	if once >= 20 || only.concurrencyLimit < once*0.95 { // an unused limit decays a little
		t.Errorf("limits %v, then %v", once, only.concurrencyLimit)
	}
}

// A backend that rejects requests immediately must not look idle.
func TestFullBackendDoesNotLookIdle(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9 // a zone without backends
	b, h := newBalancer(t, cfg, 2)
	b.OnRequest(second, Request{ID: 1, Deadline: 4 * second})
	full := h.take("send")[0].to
	before := b.byID[full].concurrencyLimit
	b.OnAttemptEnd(second+milli, Outcome{ID: 1, Backend: full, Result: Rejected})
	b.OnRequest(second+2*milli, Request{ID: 2, Deadline: 4 * second})
	for _, a := range h.take("send") {
		if a.to == full {
			t.Error("sent to a backend that had just rejected a request")
		}
	}
	if now := b.byID[full].concurrencyLimit; now >= before {
		t.Errorf("the limit was %v and is %v after a rejection, want a lower one", before, now)
	}
}

// One of many proxies has just started, and its guess of a request's delay is far too high. Once it has an answer, it
// must not space attempts out by that guess and reject the requests that come meanwhile.
func TestGuessedDelayDoesNotSpaceAttempts(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 30
	b, h := newBalancer(t, cfg, 1)
	for i := range 10 {
		at := second + time.Duration(i)*20*milli
		b.OnRequest(at, Request{ID: RequestID(i + 1), Class: safe, Deadline: at + 3*second})
		sent := h.take("send")
		if len(sent) != 1 {
			t.Fatalf("request %d waits, with none in flight and answers that take 1 ms", i+1)
		}
		b.OnAttemptEnd(at+milli, Outcome{ID: sent[0].id, Attempt: 0, Backend: 1, Result: OK, Final: true})
	}
}

// One attempt in flight from each of many proxies can overload a backend too: a limit below one spaces attempts out.
func TestLimitBelowOneSpacesAttemptsOut(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	b.knownDelay, only.concurrencyLimit = average{maxMeanWindow, 200}, 0.5
	sent := 0 * second
	for at := second; at < 3*second; at += 10 * milli {
		only.concurrencyLimit, b.knownDelay, only.delays, only.answers = 0.5, average{maxMeanWindow, 200}, decay.Sum{}, decay.Sum{}
		b.medianDelayRatio = 1
		b.OnRequest(at, Request{ID: RequestID(at), Class: safe, Deadline: at + 3*second})
		b.OnTimer(at, timerDispatch<<56)
		for _, a := range h.take("send") {
			if gap := at - sent; sent > 0 && gap < 380*milli {
				t.Fatalf("an attempt was sent %v after the previous one", gap)
			}
			sent = at
			b.OnAttemptEnd(at+milli, Outcome{ID: a.id, Attempt: a.attempt, Backend: 1, Result: OK, Final: true})
		}
	}
	if sent < 2*second {
		t.Errorf("the last attempt was sent at %v", sent)
	}
}

// A backend that fails fast has nothing in flight and looks idle, and its health checks may still pass.
func TestBackendThatAnswersErrorsGetsLittle(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	sends, broken, unsafeLost := 0, 0, 0
	inFlight := map[RequestID]action{}
	for at := second; at < 9*second; at += 10 * milli {
		id := RequestID(at / milli)
		b.OnRequest(at, Request{ID: id, Class: []int{safe, unsafe}[id/10%2], Deadline: at + 3*second})
		b.OnTimer(at, timerDispatch<<56)
		for _, a := range h.take("send") {
			sends++
			if a.to == 2 {
				broken++
				if id/10%2 == 1 && at > 3*second {
					unsafeLost++
				}
				b.OnAttemptEnd(at, Outcome{ID: a.id, Attempt: a.attempt, Backend: 2, Result: Error})
				for _, again := range h.take("send") {
					inFlight[again.id] = again
				}
				continue
			}
			inFlight[a.id] = a
		}
		for old := id - 200; old <= id-100; old += 10 {
			if a, ok := inFlight[old]; ok {
				delete(inFlight, old)
				b.OnAttemptEnd(at, Outcome{ID: old, Attempt: a.attempt, Backend: a.to, Result: OK, Final: true})
			}
		}
		b.OnTimer(at, timerSweep<<56)
		h.take()
	}
	if sends < 500 || broken > sends/50 || broken < 4 || unsafeLost > 2 {
		t.Errorf("%d of %d attempts went to the broken backend, %d unsafe ones of them after 3 s", broken, sends, unsafeLost)
	}
}

// Keys that are sent to any backend with room miss its cache, and the extra work keeps all backends at their limits.
func TestAffinityWaitsBeforeItIsGivenUp(t *testing.T) {
	cfg := testConfig()
	cfg.KeyAffinity = true
	b, h := newBalancer(t, cfg, 6)
	request := func(id RequestID) {
		b.OnRequest(second, Request{ID: id, Class: safe, Key: 77, Deadline: 4 * second})
	}
	preferred := map[BackendID]bool{}
	for id := RequestID(1); len(b.queue) == 0; id++ {
		if id > 100 {
			t.Fatal("a hundred requests of one key, and none is queued")
		}
		request(id)
		for _, a := range h.take("send") {
			preferred[a.to] = true
		}
	}
	if len(preferred) != 2 {
		t.Fatalf("one key's requests went to %v", preferred)
	}
	b.OnTimer(second+50*milli, timerDispatch<<56)
	if early := h.take("send"); len(early) != 0 {
		t.Errorf("sent after 50 ms: %v, want none", early)
	}
	b.OnTimer(second+200*milli, timerDispatch<<56)
	if late := h.take("send"); len(late) != 1 || preferred[late[0].to] {
		t.Errorf("sent after a fifth of the latency target, with room at other backends: %v", late)
	}
}

// A backend may crash and restart before the membership shows it: until it is warm, it counts as just started.
func TestSuspectedRestartCountsAsStart(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(b *Balancer, h *recorder, now time.Duration)
	}{
		{"health checks fail", func(b *Balancer, h *recorder, now time.Duration) {
			for range checkThreshold {
				b.targets[0].checkInFlight = true
				b.OnHealthCheck(now, HealthCheckResult{Backend: 1, Result: ConnectFailed})
			}
		}},
		{"connections fail", func(b *Balancer, h *recorder, now time.Duration) {
			for id := range RequestID(2) {
				b.OnRequest(now, Request{ID: id + 1, Class: unsafe, Deadline: now + second})
				if got := h.take("send"); len(got) == 0 {
					t.Fatal("nothing was sent")
				}
				b.OnAttemptEnd(now, Outcome{ID: id + 1, Backend: 1, Result: ConnectFailed})
				h.take()
			}
		}},
	} {
		b, h := newBalancer(t, testConfig(), 1)
		now := 30 * second
		if _, warming := b.warmupCapacity(b.targets[0]); warming {
			t.Fatalf("%s: the backend is warming before it fails", c.name)
		}
		c.fail(b, h, now)
		b.now = now + second
		if share, warming := b.warmupCapacity(b.targets[0]); !warming || share > 0.3 {
			t.Errorf("%s: a second later warming is %v and the capacity %v", c.name, warming, share)
		}
		b.now = now + 21*second
		if _, warming := b.warmupCapacity(b.targets[0]); warming {
			t.Errorf("%s: still warming after the warm-up", c.name)
		}
	}
}

// A hedged attempt beside a slow one adds to the overload that made it slow.
func TestOverdueAttemptIsNotCancelled(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	b.OnRequest(second, Request{ID: 1, Class: safe, Deadline: 4 * second})
	for _, a := range h.take("after") {
		b.OnTimer(second+a.at, a.token)
	}
	b.OnTimer(second+800*milli, timerSweep<<56)
	if got := h.take("send", "cancel"); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}

// In an overload all attempts time out: a backend that still answers others is only slow and is not ejected. However
// many backends fail, no more than half of them are ejected.
func TestEjectionSparesSlowBackendsAndHalfOfAll(t *testing.T) {
	fail := func(b *Balancer, to *target, sent, now time.Duration) {
		b.now = now
		b.recordPassiveCheck(&attempt{request: &request{}, target: to, sent: sent}, Timeout)
	}
	b, _ := newBalancer(t, testConfig(), 4)
	slow := b.targets[0]
	for i := range 5 {
		now := second + time.Duration(i)*100*milli
		b.now = now
		b.recordPassiveCheck(&attempt{request: &request{}, target: slow, sent: now - 50*milli}, OK)
		for range connectionfailure.MinFailureRun {
			fail(b, slow, now-50*milli, now+50*milli)
		}
	}
	if !b.isHealthy(slow) {
		t.Error("a backend was ejected that had answered other attempts since the failed ones were sent")
	}
	now := 10 * second
	out := 0
	for _, to := range b.targets {
		for range connectionfailure.MinFailureRun {
			fail(b, to, now-milli, now)
		}
		if !b.isHealthy(to) {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d of 4 ejected", out)
	}
}

// A heavy request overloads a warming backend even if it is the only one.
func TestHeavyRequestDoesNotGoToWarmingBackend(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.warmupStarted, b.meanWork, only.warmupTokens = second, 100, 10
	if !b.warmupAllows(only, 150) {
		t.Error("a request of usual work was not allowed alone")
	}
	if b.warmupAllows(only, 250) {
		t.Error("a heavy request was allowed")
	}
}

// A limit far above the load in use would let a burst overload the server before any answer shows it.
func TestUnusedLimitDecays(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.concurrencyLimit = 100
	for at := second; at < 11*second; at += 50 * milli {
		b.OnTimer(at, timerSweep<<56)
	}
	if only.concurrencyLimit > 2*concurrencylimit.Initial(1)/b.sharers() || only.concurrencyLimit < concurrencylimit.Initial(1)/b.sharers() {
		t.Errorf("limit %v after ten idle seconds", only.concurrencyLimit)
	}
}

// While all backends fail, the failures must not raise the median by which they are measured.
func TestFailuresEverywhereDoNotRaiseTheMedian(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	now := second
	for id := range RequestID(400) {
		b.OnRequest(now, Request{ID: id + 1, Class: unsafe, Deadline: now + 3*second})
		now += 50 * milli
		b.OnTimer(now, timerSweep<<56)
		for _, a := range h.take("send") {
			b.OnAttemptEnd(now, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: Error})
		}
	}
	if limit := 2 * 1000 / b.expectedDelay(unsafe, 0); b.medianDelayRatio < 1 || b.medianDelayRatio > limit {
		t.Errorf("the median delay ratio is %v, want 1 to %v", b.medianDelayRatio, limit)
	}
}

// What a backend served before a restart says nothing about its capacity while it warms up.
func TestRestartForgetsServedWork(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	b.targets[0].servedWork.Add(5000, second, second)
	b.OnMembership(2*second, Membership{Kind: MembershipDelta, Backends: []Backend{
		{ID: b.targets[0].ID, State: Ready, Started: 2 * second},
	}})
	b.updateWarmupRates()
	if got := b.targets[0].warmupRate; got > 100 {
		t.Errorf("the warm-up rate right after the start is %v ms of work a second", got)
	}
}

// Any number of light requests would fit into a budget of work, but each costs a handshake.
func TestLightRequestsCountAsMeanInWarmupBudget(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	b.meanWork, only.warmupStarted, only.warmupTokens = 50, second, 100
	sent := 0
	for i := range 50 {
		r := &request{
			Request: Request{ID: RequestID(i), Cost: milli, Deadline: 4 * second}, class: &b.cfg.Classes[0],
			maxAttempts: b.cfg.Caps.MaxAttempts, arrived: second, targetAt: 2 * second,
		}
		b.requests[r.ID] = r
		if b.send(r, only) {
			sent++
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d light requests were sent on a budget of two mean ones", sent)
	}
}

// Without a bound, each outcome during a burst would go through a queue of thousands.
func TestQueueIsBounded(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 3)
	for i := range 2000 {
		b.OnRequest(second, Request{ID: RequestID(i), Deadline: 4 * second})
	}
	if n := len(b.queue); n > maxQueuedPerBackend*4 {
		t.Errorf("%d requests are queued", n)
	}
}

// If requests are queued, the one that adds more to the goal is sent first.
func TestMoreUtilityGoesFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[anywhere].Value = 10
	b, h := newBalancer(t, cfg, 1)
	for i := range 12 {
		b.OnRequest(second, Request{ID: RequestID(i), Class: []int{safe, anywhere}[i%2], Deadline: 4 * second})
	}
	first := h.take("send")
	if len(b.queue) < 3 {
		t.Fatalf("%d are queued after %d sends", len(b.queue), len(first))
	}
	b.OnAttemptEnd(second+50*milli, Outcome{ID: first[0].id, Backend: 1, Result: OK, Final: true})
	next := h.take("send")
	if len(next) == 0 || next[0].id%2 != 1 {
		t.Errorf("sent next: %v", next)
	}
}

func TestFetchIsRetriedAfterFailure(t *testing.T) {
	cfg := testConfig()
	cfg.PollMembership = true
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(second)
	for i := range 10 {
		var timer action
		for _, a := range h.take("after") {
			if a.token == timerDiscover<<56 {
				timer = a
			}
		}
		if timer.verb == "" || timer.at > cfg.Obligations.MaxMembershipAge {
			t.Fatalf("round %d: the next fetch is after %v", i, timer.at)
		}
		b.OnTimer(second, timer.token)
		if len(h.take("watch")) != 1 {
			t.Fatalf("round %d: the membership was not requested", i)
		}
		b.OnMembership(second, Membership{Kind: MembershipFailed})
	}
}

func TestInvalidEventsAreIgnored(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	twice := append(list(2), list(2)...)
	b.OnMembership(second, Membership{Kind: MembershipFull, Backends: twice})
	if len(b.ready) != 2 {
		t.Errorf("%d backends are ready after a membership that lists each of 2 twice", len(b.ready))
	}
	b.OnRequest(second, Request{ID: 1, Class: 99, Tenant: 99, Deadline: 0})
	b.OnRequest(second, Request{ID: 1})
	b.OnAttemptEnd(second, Outcome{ID: 1, Attempt: 7})
	b.OnAttemptEnd(second, Outcome{ID: 5})
	b.OnHealthCheck(second, HealthCheckResult{Backend: 99})
	b.OnFirstByte(second, FirstByte{ID: 99})
	b.OnTimer(second, ^uint64(0))
	b.OnMembership(second, Membership{Kind: MembershipFull})
	if len(b.ready) != 0 {
		t.Error("an empty membership leaves ready backends")
	}
	if got := h.take("send"); len(got) > 0 {
		t.Errorf("a request past its deadline was sent: %v", got)
	}
}

// A request that a backend can't process is at fault itself: no other backend can process it either, and it must not
// count against any backend.
func TestUnprocessableRequestDoesNotCountAgainstBackend(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	for i := range 40 {
		id, now := RequestID(i), second+time.Duration(i)*10*milli
		b.OnRequest(now, Request{ID: id, Class: safe, Deadline: now + 4*second})
		first := h.take("send")
		if len(first) != 1 {
			t.Fatalf("request %d: %d sends", i, len(first))
		}
		b.OnAttemptEnd(now+milli, Outcome{ID: id, Backend: first[0].to, Result: Unprocessable, Took: milli})
		if got := h.take("send", "fail", "refuse"); len(got) != 1 || got[0].verb != "fail" {
			t.Fatalf("request %d, which is unprocessable: %v, want one fail", i, got)
		}
	}
	for _, p := range b.targets {
		if !b.isHealthy(p) || p.consecutiveFailures != 0 || p.delays.Value(b.now, 0) != 0 {
			t.Errorf("backend %d has %d failures and delays of %v", p.ID, p.consecutiveFailures, p.delays.Value(b.now, 0))
		}
	}
}

// A gone backend with a request in flight is removed when the request has ended, without a further membership update.
// Otherwise gone backends would accumulate where backends are replaced often.
func TestGoneBackendIsRemovedWithItsLastRequest(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	b.OnRequest(second, Request{ID: 1, Class: unsafe, Deadline: 4 * second})
	a := h.take("send")[0]
	b.OnMembership(second+milli, Membership{Kind: MembershipDelta, Backends: []Backend{{ID: a.to, State: Gone}}})
	b.OnTimer(second+2*milli, timerSweep<<56)
	if len(b.targets) != 1 {
		t.Fatal("the backend was removed with a request in flight")
	}
	b.OnAttemptEnd(second+3*milli, Outcome{ID: 1, Backend: a.to, Result: OK, Final: true})
	b.OnTimer(second+4*milli, timerSweep<<56)
	if len(b.targets) != 0 || len(b.byID) != 0 || len(b.requests) != 0 {
		t.Errorf("%d targets, %d requests are left", len(b.targets), len(b.requests))
	}
}

// Where connections break often, two failures in a row are normal. A backend that has just answered must then not
// count as crashed and restarted.
func TestFrequentConnectionBreaksAreNoRestart(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 4)
	only := b.targets[0]
	record := func(now time.Duration, result Result) {
		b.now = now
		b.recordPassiveCheck(&attempt{request: &request{}, target: only, sent: now}, result)
	}
	now := 30 * second
	for range 20 { // breaks that answers follow
		record(now, Reset)
		record(now+milli, OK)
		now += 10 * milli
	}
	record(now, Reset)
	record(now+milli, ConnectFailed)
	for range checkThreshold {
		only.checkInFlight = true
		b.OnHealthCheck(now+2*milli, HealthCheckResult{Backend: only.ID, Result: Reset})
	}
	if _, warming := b.warmupCapacity(only); warming {
		t.Error("a backend that answers between its failures counts as warming")
	}
	if only.ejectedUntil <= now {
		t.Error("the backend is not ejected, but if it did crash, further attempts are lost on it")
	}
	record(now+b.healthCheckInterval, ConnectFailed)
	if _, warming := b.warmupCapacity(only); !warming {
		t.Error("a backend that has answered nothing for an interval does not count as warming")
	}
}

// A backend may fail most requests of one class only. It passes its health checks and answers the other classes, so
// only class ejection keeps that class away from it.
func TestGrayFailureEjectsTheClass(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 6)
	const broken = 3
	now := second
	for range 2 * connectionfailure.MinFailureRun {
		b.now = now
		for i, result := range []Result{OK, Error} {
			class := []int{safe, unsafe}[i]
			b.recordGrayFailure(&attempt{
				request: &request{Request: Request{Class: class}}, target: b.byID[broken],
				sent: now - milli, expected: 1,
			}, result)
		}
		now += 10 * milli
	}
	b.OnTimer(now, timerSweep<<56)
	sent := map[int]int{}
	for id := range RequestID(200) {
		class := []int{safe, unsafe}[id%2]
		b.OnRequest(now, Request{ID: id, Class: class, Deadline: now + 4*second})
		for _, a := range h.take("send") {
			if a.to == broken {
				sent[class]++
			}
			b.OnAttemptEnd(now, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: OK, Final: true})
		}
		now += milli
	}
	if sent[unsafe] != 0 || sent[safe] == 0 {
		t.Errorf("sent to the backend by class: %v", sent)
	}
}

// All backends are up, but one request in three fails with a broken connection: none is ejected for it. A backend that
// then crashes is ejected after as few failures as this rate of breaks allows; where breaks are rare, after three.
func TestFrequentConnectionBreaksEjectOnlyCrashedBackends(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 6)
	now := 30 * second
	record := func(to *target, result Result) {
		b.now = now
		b.recordPassiveCheck(&attempt{request: &request{}, target: to, sent: now - milli}, result)
		now += milli
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		to := b.targets[rng.IntN(6)]
		result := OK
		if rng.IntN(3) == 0 {
			result = Reset
		}
		record(to, result)
		if !b.isHealthy(to) {
			t.Fatalf("a backend that is up was ejected after %d failures in a row", to.consecutiveFailures)
		}
		if _, warming := b.warmupCapacity(to); warming {
			t.Fatal("a backend that is up counts as newly started")
		}
	}
	crashed, n := b.targets[3], 0
	for b.isHealthy(crashed) && n < 2*connectionfailure.MaxFailureRun {
		record(crashed, Reset)
		n++
	}
	if n < connectionfailure.MinFailureRun || n > connectionfailure.MaxFailureRun {
		t.Errorf("the crashed backend is ejected after %d failures", n)
	}
	b, _ = newBalancer(t, testConfig(), 6)
	for i := range 600 {
		record(b.targets[i%6], OK)
	}
	crashed, n = b.targets[2], 0
	for b.isHealthy(crashed) && n < connectionfailure.MaxFailureRun {
		record(crashed, Reset)
		n++
	}
	if n != connectionfailure.MinFailureRun {
		t.Errorf("where breaks are rare, the crashed backend is ejected after %d failures", n)
	}
}

// A broken connection ends all the requests that share it at once. That counts as one break, not as a run of failures
// that a backend which is up hardly ever has.
func TestOneConnectionBreakCountsOnce(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 3)
	now := 30 * second
	var sharing []RequestID
	for id := RequestID(1); id <= 12; id++ {
		b.OnRequest(now, Request{ID: id, Class: unsafe, Deadline: now + 3*second})
		for _, a := range h.take("send") {
			if a.to == 2 {
				sharing = append(sharing, id)
			}
		}
		now += milli
	}
	if len(sharing) < connectionfailure.MinFailureRun {
		t.Fatalf("only %d requests are in flight at the backend", len(sharing))
	}
	for i, id := range sharing {
		b.OnAttemptEnd(now+time.Duration(i)*100*time.Microsecond, Outcome{ID: id, Backend: 2, Result: Reset})
	}
	if to := b.byID[2]; !b.isHealthy(to) || to.consecutiveBreaks != 1 {
		t.Errorf("%d requests on one connection count as %d breaks; healthy: %v", len(sharing), to.consecutiveBreaks, b.isHealthy(to))
	}
	for range 3 { // the backend did crash
		now += 50 * milli
		b.now = now
		b.recordPassiveCheck(&attempt{request: &request{}, target: b.byID[2], sent: now - milli}, ConnectFailed)
		if !b.isHealthy(b.byID[2]) {
			return
		}
	}
	t.Error("a crashed backend is not ejected after three refused connections")
}
