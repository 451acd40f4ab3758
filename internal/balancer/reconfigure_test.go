package balancer

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func noneRemoved(int) bool { return false }

// withClass returns the settings with one more class at the end.
func withClass(c Config, more Class) Config {
	c.Classes = append(append([]Class(nil), c.Classes...), more)
	return c
}

// What was learned about a class survives a reconfiguration that keeps it, and a new class starts without it.
func TestReconfigureKeepsLearnedState(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	for range 30 {
		b.delayModels[0].add(0, 80)
	}
	before := b.expectedDelay(0, 0)
	next := withClass(b.cfg, Class{Name: "new", LatencyTarget: second, ClientTimeout: 2 * second, Effect: Unsafe, Value: 1})
	if err := b.Reconfigure(second, next, nil, noneRemoved); err != nil {
		t.Fatal(err)
	}
	last := len(next.Classes) - 1
	if got := b.expectedDelay(0, 0); got != before {
		t.Errorf("the expected delay of class 0 is %v ms, it was %v ms", got, before)
	}
	if got := b.expectedDelay(last, 0); got != 250 {
		t.Errorf("the expected delay of the new class is %v ms, want a quarter of its latency target", got)
	}
	// Another class takes over its index: nothing learned is kept.
	b.delayModels[last].add(0, 9)
	other := b.cfg
	other.Classes = append([]Class(nil), other.Classes...)
	other.Classes[last] = Class{Name: "other", LatencyTarget: 4 * second, ClientTimeout: 4 * second, Value: 1}
	if err := b.Reconfigure(2*second, other, []int{last}, noneRemoved); err != nil {
		t.Fatal(err)
	}
	if got := b.expectedDelay(last, 0); got != 1000 {
		t.Errorf("the expected delay of the other class is %v ms, want a quarter of its latency target", got)
	}
}

// Invalid settings change nothing.
func TestReconfigureRejectsAsAWhole(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	for name, change := range map[string]func(*Config){
		"fewer classes":  func(c *Config) { c.Classes = c.Classes[:len(c.Classes)-1] },
		"no deadline":    func(c *Config) { c.Classes[0].ClientTimeout = 0 },
		"polling":        func(c *Config) { c.PollMembership = !c.PollMembership },
		"negative share": func(c *Config) { c.Tenants = []Tenant{{Name: "x", TrafficShare: -1}} },
	} {
		next := b.cfg
		next.Classes = append([]Class(nil), next.Classes...)
		change(&next)
		old := &b.cfg.Classes[0]
		err := b.Reconfigure(second, next, nil, noneRemoved)
		var invalid *ConfigError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: the error is %v", name, err)
		}
		if &b.cfg.Classes[0] != old {
			t.Errorf("%s: the settings were changed", name)
		}
	}
}

// A class that was removed while it was served badly does not stay the worst-served class forever.
func TestRemovedClassNoLongerCounts(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	b.cfg.Goal = Goal{Total: 1, WorstClass: 1}
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
		t.Errorf("serving the remaining class gains %v, not more than before the other one was removed (%v)", after, before)
	}
}

// reconfigured is a Balancer whose settings change while requests are under way.
type reconfigured struct {
	b        *Balancer
	h        *recorder
	now      time.Duration
	requests map[RequestID]*reconfiguredRequest
	lastID   RequestID
}

// reconfiguredRequest is a request with the settings that were in force when it came.
type reconfiguredRequest struct {
	effect      Effect
	maxAttempts int
	attempts    int
}

// checkSends asserts that each attempt sent since the last call was allowed.
func (q *reconfigured) checkSends(t *rapid.T) {
	for _, a := range q.h.take("send") {
		r := q.requests[a.id]
		r.attempts++
		if r.attempts > 1 && r.effect == Unsafe {
			t.Fatalf("request %d was sent again: it was unsafe when it came", a.id)
		}
		if maxAttempts := min(r.maxAttempts, q.b.cfg.Caps.MaxAttempts); r.attempts > maxAttempts {
			t.Fatalf("request %d: attempt %d of %d", a.id, r.attempts, maxAttempts)
		}
	}
}

func (q *reconfigured) arrive() {
	q.lastID++
	q.requests[q.lastID] = &reconfiguredRequest{effect: q.b.cfg.Classes[0].Effect, maxAttempts: q.b.cfg.Caps.MaxAttempts}
	q.b.OnRequest(q.now, Request{ID: q.lastID, Deadline: q.now + 60*second})
}

// failOne ends the last attempt of the first request that has one in flight.
func (q *reconfigured) failOne() {
	for id := RequestID(1); id <= q.lastID; id++ {
		r := q.b.requests[id]
		if r == nil || r.inFlight == 0 {
			continue
		}
		n := len(r.attempts) - 1
		q.b.OnAttemptEnd(q.now, Outcome{ID: id, Attempt: n, Backend: r.attempts[n].target.ID, Result: Error, Took: milli})
		return
	}
}

func (q *reconfigured) reconfigure(t *rapid.T) {
	next := q.b.cfg
	next.Classes = append([]Class(nil), next.Classes...)
	next.Classes[0].Effect = rapid.SampledFrom([]Effect{Safe, Unsafe}).Draw(t, "effect")
	next.Caps.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "maxAttempts")
	if err := q.b.Reconfigure(q.now, next, nil, noneRemoved); err != nil {
		t.Fatal(err)
	}
}

// Over any sequence of settings, sends and ends, a request keeps the effect that it came with and gets no more attempts
// than the old and the new settings allow.
func TestRequestsKeepTheirClassOverReconfigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Classes = []Class{{Name: "a", LatencyTarget: 50 * second, ClientTimeout: 60 * second, Value: 1, Effect: Safe}}
		cfg.Caps.MaxAttempts = 4
		q := &reconfigured{h: &recorder{}, now: second, requests: map[RequestID]*reconfiguredRequest{}}
		var err error
		q.b, err = New(cfg, 7, q.h)
		if err != nil {
			t.Fatal(err)
		}
		q.b.OnMembership(q.now, Membership{Kind: MembershipFull, Backends: list(3)})
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			q.now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * milli
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				q.arrive()
			case 1:
				q.failOne()
			case 2:
				q.reconfigure(t)
			}
			q.checkSends(t)
		}
	})
}
