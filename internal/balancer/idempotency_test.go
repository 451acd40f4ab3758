package balancer

import (
	"testing"
	"time"
)

// If the settings change between two attempts, a request that may have run is retried only if the old and the new
// settings both allow it.
func TestStricterSettingsHoldBetweenAttempts(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		change func(c *Class)
		after  time.Duration // the second attempt's time
		again  bool
	}{
		{"as it was", safe, func(*Class) {}, milli, true},
		{"no longer safe", safe, func(c *Class) { c.Effect = Unsafe }, milli, false},
		{"keyed now, in its window", safe, func(c *Class) { c.Effect, c.Group, c.IdempotencyWindow = Keyed, GroupAll, second }, milli, true},
		{"keyed now, after it", safe, func(c *Class) { c.Effect, c.Group, c.IdempotencyWindow = Keyed, GroupAll, second }, 2 * second, false},
		{"a shorter window", anywhere, func(c *Class) { c.IdempotencyWindow = 300 * milli }, 400 * milli, false},
		{"a longer window", anywhere, func(c *Class) { c.IdempotencyWindow = time.Minute }, 2 * second, false},
		{"safe from now on", unsafe, func(c *Class) { c.Effect = Safe }, milli, false},
	} {
		b, h := newBalancer(t, testConfig(), 2)
		b.OnRequest(second, Request{ID: 1, Class: c.class, Deadline: 5 * second})
		first := h.take("send")[0]
		next := testConfig()
		c.change(&next.Classes[c.class])
		if err := b.Reconfigure(second, next, nil, func(int) bool { return false }); err != nil {
			t.Fatal(err)
		}
		h.take()
		b.OnAttemptEnd(second+c.after, Outcome{ID: 1, Backend: first.to, Result: Reset})
		if again := len(h.take("send")) > 0; again != c.again {
			t.Errorf("%s: sent again: %v", c.name, again)
		}
	}
}

// A retry must be sent before the end of the idempotency window of the first attempt that may have run.
func TestRetryIsSentWithinTheWindow(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	b.OnRequest(second, Request{ID: 1, Class: anywhere, Deadline: 5 * second})
	first := h.take("send")[0]
	b.OnAttemptEnd(second+100*milli, Outcome{ID: 1, Backend: first.to, Result: Reset})
	again := h.take("send")
	window := b.cfg.Classes[anywhere].IdempotencyWindow
	if len(again) != 1 || h.before[0] != 0 || h.before[1] > second+window || h.before[1] < second+window/2 {
		t.Errorf("%d retries, to be sent before %v; window %v", len(again), h.before, window)
	}
}

// Tenants are matched by name: the usage of one tenant must not count for the tenant that gets its index.
func TestTenantsKeepTheirQuotasByName(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", TrafficShare: 0.5, QuotaPerS: 1}, {Name: "b", TrafficShare: 0.5, QuotaPerS: 1}}
	b, h := newBalancer(t, cfg, 2)
	for i := range 40 {
		b.OnRequest(second, Request{ID: RequestID(i + 1), Tenant: 0, Deadline: 5 * second})
	}
	h.take()
	over := func(tenant int) float64 { return b.quota.RecordRequest(tenant, second) }
	if over(0) < 0.5 || over(1) > 0 {
		t.Fatal("the quota is not counted")
	}
	changed := cfg
	changed.Tenants = []Tenant{cfg.Tenants[1], {Name: "c", TrafficShare: 0.5, QuotaPerS: 1}, cfg.Tenants[0]}
	if err := b.Reconfigure(second, changed, nil, func(int) bool { return false }); err != nil {
		t.Fatal(err)
	}
	if a, c := over(2), over(1); a < 0.5 || c > 0 {
		t.Errorf("after the change, a is %.2f over its quota, and c, which is new, is %.2f over", a, c)
	}
	if offered := b.goodput.Tenant(1).Offered; offered > 2 {
		t.Errorf("a new tenant already has %.0f offered utility", offered)
	}
}

// If no class stays, the settings are another customer's: what was learned about work is dropped, and the state that
// the obligations depend on is kept.
func TestOtherClassesDiscardLearnedState(t *testing.T) {
	cfg := testConfig()
	b, h := newBalancer(t, cfg, 3)
	drive(b, h, second, 20*second, 20*milli, 400*milli)
	old := b.targets[0]
	old.warmupStarted, old.warmupTokens, old.healthy = b.now, -3, false
	next := testConfig()
	gone := len(next.Classes)
	for _, c := range cfg.Classes {
		c.Name, c.Value, c.LatencyTarget = "other-"+c.Name, 3*c.Value, c.LatencyTarget/4
		next.Classes = append(next.Classes, c)
	}
	if err := b.Reconfigure(b.now, next, nil, func(i int) bool { return i < gone }); err != nil {
		t.Fatal(err)
	}
	for _, x := range b.targets {
		if n := x.answers.Value(b.now, b.decayTime); n != 0 || x.tail.n != 0 || x.servedWork.Value(b.now, second) != 0 {
			t.Errorf("backend %d: %.1f answers to another customer still count", x.ID, n)
		}
	}
	if old.warmupStarted != b.now || old.warmupTokens != -3 || old.healthy {
		t.Error("the start, the warm-up budget or the health of a backend was lost")
	}
	b.OnRequest(b.now, Request{ID: 1 << 20, Class: gone, Deadline: b.now + 5*second})
	if want := b.expectedDelay(gone, 0); b.meanExpectedDelay != want {
		t.Errorf("the first request takes %.1f, and the mean is %.1f, want the same", want, b.meanExpectedDelay)
	}
}
