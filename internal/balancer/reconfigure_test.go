package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func noneRemoved(int) bool { return false }

// withClass is the settings with one more class at the end.
func withClass(c Config, more Class) Config {
	c.Classes = append(append([]Class(nil), c.Classes...), more)
	return c
}

// What was learnt of a class survives a reload that keeps it, and one that is new knows
// nothing of it.
func TestReconfigureKeepsLearnedState(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	for range 30 {
		b.delayModels[0].add(0, 80, classRetention)
	}
	before := b.expectedDelay(0, 0)
	next := withClass(b.cfg, Class{Name: "new", LatencyTarget: second, ClientTimeout: 2 * second, Effect: Unsafe, Value: 1})
	if err := b.Reconfigure(second, next, nil, noneRemoved); err != nil {
		t.Fatal(err)
	}
	last := len(next.Classes) - 1
	if got := b.expectedDelay(0, 0); got != before {
		t.Errorf("class 0 is expected to take %v, it was %v", got, before)
	}
	if got := b.expectedDelay(last, 0); got != 250 {
		t.Errorf("the new class is expected to take %v ms, want a quarter of its aim", got)
	}
	// Its place goes to another class: nothing stays.
	b.delayModels[last].add(0, 9, classRetention)
	other := b.cfg
	other.Classes = append([]Class(nil), other.Classes...)
	other.Classes[last] = Class{Name: "other", LatencyTarget: 4 * second, ClientTimeout: 4 * second, Value: 1}
	if err := b.Reconfigure(2*second, other, []int{last}, noneRemoved); err != nil {
		t.Fatal(err)
	}
	if got := b.expectedDelay(last, 0); got != 1000 {
		t.Errorf("the other class is expected to take %v ms, as the one before it", got)
	}
}

// Settings that can't be used change nothing.
func TestReconfigureRejectsAsAWhole(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	for name, change := range map[string]func(*Config){
		"fewer places":   func(c *Config) { c.Classes = c.Classes[:len(c.Classes)-1] },
		"no deadline":    func(c *Config) { c.Classes[0].ClientTimeout = 0 },
		"asked for":      func(c *Config) { c.PollMembership = !c.PollMembership },
		"negative share": func(c *Config) { c.Tenants = []Tenant{{Name: "x", Share: -1}} },
	} {
		next := b.cfg
		next.Classes = append([]Class(nil), next.Classes...)
		change(&next)
		old := &b.cfg.Classes[0]
		if b.Reconfigure(second, next, nil, noneRemoved) == nil {
			t.Errorf("%s: taken", name)
		}
		if &b.cfg.Classes[0] != old {
			t.Errorf("%s: half of it was taken", name)
		}
	}
}

// A class that went while it was served badly does not stay the worst of all for good.
func TestRemovedClassNoLongerCounts(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	b.cfg.Goal = Goal{Whole: 1, WorstClass: 1}
	next := withClass(b.cfg, Class{Name: "late", LatencyTarget: second, ClientTimeout: 2 * second, Value: 1})
	if err := b.Reconfigure(second, next, nil, noneRemoved); err != nil {
		t.Fatal(err)
	}
	gone := len(next.Classes) - 1
	b.goodput.Record(gone, 0, 100, 0)
	b.goodput.Record(0, 0, 100, 90)
	before := b.goodput.MarginalUtility(0, 0, 1)
	if err := b.Reconfigure(2*second, next, nil, func(i int) bool { return i == gone }); err != nil {
		t.Fatal(err)
	}
	if after := b.goodput.MarginalUtility(0, 0, 1); after <= before {
		t.Errorf("serving what is left gains %v, as little as beside the one that has gone (%v)", after, before)
	}
}

// Over any sequence of settings, sends and ends, a request keeps the effect it came with
// and gets no more attempts than either settings allow.
func TestRequestsKeepTheirClassOverReconfigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Classes = []Class{{Name: "a", LatencyTarget: 50 * second, ClientTimeout: 60 * second, Value: 1, Effect: Safe}}
		cfg.Caps.MaxAttempts = 4
		h := &recorder{}
		b, err := New(cfg, 7, h)
		if err != nil {
			t.Fatal(err)
		}
		now := second
		b.OnMembership(now, Membership{Kind: ListFull, Backends: list(3)})
		type open struct {
			effect    Effect
			most, ran int
		}
		live, last := map[RequestID]*open{}, RequestID(0)
		count := func() {
			for _, a := range h.take("send") {
				id, o := a.id, live[a.id]
				if o.ran++; o.ran > 1 && o.effect == Unsafe {
					t.Fatalf("request %d went out again: it was unsafe when it came", id)
				}
				if most := min(o.most, b.cfg.Caps.MaxAttempts); o.ran > most {
					t.Fatalf("request %d: attempt %d of %d", id, o.ran, most)
				}
			}
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * milli
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				last++
				live[last] = &open{effect: b.cfg.Classes[0].Effect, most: b.cfg.Caps.MaxAttempts}
				b.OnRequest(now, Request{ID: last, Deadline: now + 60*second})
			case 1:
				for id := RequestID(1); id <= last; id++ {
					if r := b.requests[id]; r != nil && r.inFlight > 0 {
						n := len(r.attempts) - 1
						b.OnAttemptEnd(now, Outcome{ID: id, Attempt: n, Backend: r.attempts[n].target.ID, Result: Error, Took: milli})
						break
					}
				}
			case 2:
				next := b.cfg
				next.Classes = append([]Class(nil), next.Classes...)
				next.Classes[0].Effect = rapid.SampledFrom([]Effect{Safe, Unsafe}).Draw(t, "effect")
				next.Caps.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "most")
				if err := b.Reconfigure(now, next, nil, noneRemoved); err != nil {
					t.Fatal(err)
				}
			}
			count()
		}
	})
}
