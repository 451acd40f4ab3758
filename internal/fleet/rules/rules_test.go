package rules

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/balancer"
)

// allowed is what settings let a request of a class do, in the plainest words.
type allowed struct {
	there                 bool
	attempts              int
	giveUp                time.Duration
	again, everywhere     bool // what may have run goes again; anywhere
	window                time.Duration
	copies                bool
	grace                 time.Duration
	multiple, share, cold float64
}

func may(c balancer.Config, class string) allowed {
	for _, k := range c.Classes {
		if k.Name == class {
			return allowed{
				true, c.Caps.MaxAttempts, k.ClientTimeout, k.Effect != balancer.Unsafe && !k.NeverRerun, k.Effect == balancer.Safe && !k.NeverRerun, k.IdempotencyWindow, c.Caps.Hedging,
				c.Obligations.DrainGrace, c.Obligations.OverloadMultiple, c.Tenants[0].TrafficShare, -c.Obligations.WarmupDuration.Seconds(),
			}
		}
	}
	return allowed{}
}

// within tells whether a allows nothing that b forbids.
func (a allowed) within(b allowed) bool {
	if !a.there {
		return true
	}
	return b.there && a.attempts <= b.attempts && a.giveUp <= b.giveUp && (!a.again || b.again) && (!a.everywhere || b.everywhere) && (!a.again || a.window <= b.window || a.everywhere) &&
		(!a.copies || b.copies) && a.grace <= b.grace && a.multiple <= b.multiple && a.share <= b.share && a.cold <= b.cold
}

var names = []string{"lot-list", "bid", "pickup", "notice"}

func settings(t *rapid.T, name string) balancer.Config {
	c := balancer.Config{Instances: 3, Tenants: []balancer.Tenant{{Name: "obala", TrafficShare: rapid.Float64Range(0.1, 1).Draw(t, name+" share"), QuotaPerS: 10}}}
	c.Caps.MaxAttempts = rapid.IntRange(1, 5).Draw(t, name+" attempts")
	c.Caps.Hedging = rapid.Bool().Draw(t, name+" copies")
	c.Obligations.DrainGrace = time.Duration(rapid.IntRange(1, 3).Draw(t, name+" grace")) * time.Second
	c.Obligations.WarmupDuration = time.Duration(rapid.IntRange(1, 3).Draw(t, name+" cold")) * time.Second
	c.Obligations.OverloadMultiple = rapid.Float64Range(1, 3).Draw(t, name+" multiple")
	for i, n := range names {
		if i > 0 && rapid.Bool().Draw(t, name+" without "+n) {
			continue
		}
		giveUp := time.Duration(rapid.IntRange(1, 4).Draw(t, name+" give up")) * time.Second
		c.Classes = append(c.Classes, balancer.Class{
			Name: n, LatencyTarget: giveUp, ClientTimeout: giveUp, Effect: balancer.Effect(rapid.IntRange(0, 2).Draw(t, name+" effect")),
			Group: balancer.Group(rapid.IntRange(0, 2).Draw(t, name+" group")), IdempotencyWindow: time.Duration(rapid.IntRange(0, 3).Draw(t, name+" window")) * time.Second,
		})
	}
	return c
}

// What two versions allow together neither forbids; what is left without a lease no known version forbids, but that a
// class which only one of them has is served once; and versions contradict each other if and only if one of them
// allows what the other forbids.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := settings(t, "a"), settings(t, "b"), settings(t, "c")
		if err := Follows(a, b); err != nil {
			t.Fatal(err) // they have lot-list in common
		}
		m := Meet(a, b)
		if err := m.Validate(); err != nil {
			t.Fatal(err)
		}
		l := Lapsed([]balancer.Config{a, b, c})
		if err := l.Validate(); err != nil {
			t.Fatal(err)
		}
		differ := false
		for _, n := range names {
			for _, v := range []balancer.Config{a, b} {
				if !may(m, n).within(may(v, n)) {
					t.Fatalf("%s: both allow %+v, and one %+v", n, may(m, n), may(v, n))
				}
			}
			for _, v := range []balancer.Config{a, b, c} {
				if have := may(v, n); have.there && !may(l, n).within(have) {
					t.Fatalf("%s: without a lease %+v, and one allows %+v", n, may(l, n), have)
				}
			}
			if x := may(l, n); x.there && (x.again || x.copies) {
				t.Fatalf("%s goes again without a lease", n)
			}
			if may(c, n).there && !may(l, n).there {
				t.Fatalf("%s, which the newest has, is not served without a lease", n)
			}
			x, y := may(a, n), may(b, n)
			differ = differ || !x.within(y) || !y.within(x)
		}
		said := Contradiction(a, b)
		if (said == "") != (Contradiction(b, a) == "") {
			t.Fatal("only one way round:", said)
		}
		if said == "" && differ {
			for _, n := range names {
				x, y := may(a, n), may(b, n)
				if x.there != y.there || x.attempts != y.attempts || x.giveUp != y.giveUp || x.again != y.again || x.grace != y.grace {
					t.Fatalf("no contradiction is seen: %+v and %+v", x, y)
				}
			}
		}
		if Contradiction(a, a) != "" || Contradiction(m, Meet(b, a)) != "" && len(m.Classes) > 0 && Contradiction(m, m) != "" {
			t.Fatal("a version contradicts itself")
		}
	})
}

// A version that leaves nothing to do while it is being taken is refused.
func TestNothingInCommonIsRefused(t *testing.T) {
	a := balancer.Config{Instances: 1, Classes: []balancer.Class{{Name: "a", LatencyTarget: 1, ClientTimeout: 1}}}
	b := balancer.Config{Instances: 1, Classes: []balancer.Class{{Name: "b", LatencyTarget: 1, ClientTimeout: 1}}}
	if Follows(a, b) == nil || Follows(a, a) != nil {
		t.Error(Follows(a, b), Follows(a, a))
	}
}
