package transition

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/balancer"
)

// permissions are what settings allow a request of a class.
type permissions struct {
	defined                         bool
	attempts                        int
	clientTimeout                   time.Duration
	rerun, rerunAnywhere            bool // a request that may have run is retried; in any group
	window                          time.Duration
	hedging                         bool
	grace                           time.Duration
	overloadMultiple, share, warmup float64
}

func permissionsOf(c balancer.Config, class string) permissions {
	for _, k := range c.Classes {
		if k.Name == class {
			return permissions{
				true, c.Caps.MaxAttempts, k.ClientTimeout, k.Effect != balancer.Unsafe && !k.NeverRerun, k.Effect == balancer.Safe && !k.NeverRerun, k.IdempotencyWindow, c.Caps.Hedging,
				c.Obligations.DrainGrace, c.Obligations.OverloadMultiple, c.Tenants[0].TrafficShare, -c.Obligations.WarmupDuration.Seconds(),
			}
		}
	}
	return permissions{}
}

// within reports whether a allows nothing that b forbids.
func (a permissions) within(b permissions) bool {
	if !a.defined {
		return true
	}
	return b.defined && a.attempts <= b.attempts && a.clientTimeout <= b.clientTimeout && (!a.rerun || b.rerun) && (!a.rerunAnywhere || b.rerunAnywhere) && (!a.rerun || a.window <= b.window || a.rerunAnywhere) &&
		(!a.hedging || b.hedging) && a.grace <= b.grace && a.overloadMultiple <= b.overloadMultiple && a.share <= b.share && a.warmup <= b.warmup
}

var names = []string{"lot-list", "bid", "pickup", "notice"}

func drawSettings(t *rapid.T, name string) balancer.Config {
	c := balancer.Config{Instances: 3, Tenants: []balancer.Tenant{{Name: "obala", TrafficShare: rapid.Float64Range(0.1, 1).Draw(t, name+" share"), QuotaPerS: 10}}}
	c.Caps.MaxAttempts = rapid.IntRange(1, 5).Draw(t, name+" attempts")
	c.Caps.Hedging = rapid.Bool().Draw(t, name+" hedging")
	c.Obligations.DrainGrace = time.Duration(rapid.IntRange(1, 3).Draw(t, name+" grace")) * time.Second
	c.Obligations.WarmupDuration = time.Duration(rapid.IntRange(1, 3).Draw(t, name+" warmup")) * time.Second
	c.Obligations.OverloadMultiple = rapid.Float64Range(1, 3).Draw(t, name+" multiple")
	for i, n := range names {
		if i > 0 && rapid.Bool().Draw(t, name+" without "+n) {
			continue
		}
		clientTimeout := time.Duration(rapid.IntRange(1, 4).Draw(t, name+" client timeout")) * time.Second
		c.Classes = append(c.Classes, balancer.Class{
			Name: n, LatencyTarget: clientTimeout, ClientTimeout: clientTimeout, Effect: balancer.Effect(rapid.IntRange(0, 2).Draw(t, name+" effect")),
			Group: balancer.Group(rapid.IntRange(0, 2).Draw(t, name+" group")), IdempotencyWindow: time.Duration(rapid.IntRange(0, 3).Draw(t, name+" window")) * time.Second,
		})
	}
	return c
}

// Strictest allows nothing that either version forbids. WithoutLease allows nothing that a known version forbids, except
// the first attempt of a class that only the newest version has. Conflict reports two versions exactly if one of them
// allows what the other forbids.
func TestStrictestConflictAndWithoutLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSettings(t, "a"), drawSettings(t, "b"), drawSettings(t, "c")
		if err := ValidateSuccessor(a, b); err != nil {
			t.Fatal(err) // they have the class lot-list in common
		}
		m := Strictest(a, b)
		if err := m.Validate(); err != nil {
			t.Fatal(err)
		}
		l := WithoutLease([]balancer.Config{a, b, c})
		if err := l.Validate(); err != nil {
			t.Fatal(err)
		}
		differ := false
		for _, n := range names {
			for _, v := range []balancer.Config{a, b} {
				if !permissionsOf(m, n).within(permissionsOf(v, n)) {
					t.Fatalf("%s: Strictest allows %+v, but one of its versions only %+v", n, permissionsOf(m, n), permissionsOf(v, n))
				}
			}
			for _, v := range []balancer.Config{a, b, c} {
				if granted := permissionsOf(v, n); granted.defined && !permissionsOf(l, n).within(granted) {
					t.Fatalf("%s: WithoutLease allows %+v, but a known version only %+v", n, permissionsOf(l, n), granted)
				}
			}
			if x := permissionsOf(l, n); x.defined && (x.rerun || x.hedging) {
				t.Fatalf("%s is retried or hedged without a lease", n)
			}
			if permissionsOf(c, n).defined && !permissionsOf(l, n).defined {
				t.Fatalf("%s is in the newest version, but is not served without a lease", n)
			}
			x, y := permissionsOf(a, n), permissionsOf(b, n)
			differ = differ || !x.within(y) || !y.within(x)
		}
		conflict := Conflict(a, b)
		if (conflict == "") != (Conflict(b, a) == "") {
			t.Fatal("Conflict depends on the order of its arguments:", conflict)
		}
		if conflict == "" && differ {
			for _, n := range names {
				x, y := permissionsOf(a, n), permissionsOf(b, n)
				if x.defined != y.defined || x.attempts != y.attempts || x.clientTimeout != y.clientTimeout || x.rerun != y.rerun || x.grace != y.grace {
					t.Fatalf("Conflict reports nothing between %+v and %+v", x, y)
				}
			}
		}
		if Conflict(a, a) != "" || Conflict(m, Strictest(b, a)) != "" && len(m.Classes) > 0 && Conflict(m, m) != "" {
			t.Fatal("a version conflicts with itself")
		}
	})
}

// A version that has no class in common with the one in force is refused.
func TestSuccessorNeedsACommonClass(t *testing.T) {
	a := balancer.Config{Instances: 1, Classes: []balancer.Class{{Name: "a", LatencyTarget: 1, ClientTimeout: 1}}}
	b := balancer.Config{Instances: 1, Classes: []balancer.Class{{Name: "b", LatencyTarget: 1, ClientTimeout: 1}}}
	if ValidateSuccessor(a, b) == nil || ValidateSuccessor(a, a) != nil {
		t.Error(ValidateSuccessor(a, b), ValidateSuccessor(a, a))
	}
}
