// Package rules says what two versions of the settings allow together, and what a proxy may do that can't tell
// which version is in force. It is pure. It owns the order "stricter" over settings; it never decides when which
// rules hold (package agree), nor anything on a request (package balancer).
//
// Two versions contradict where one allows what the other forbids: a class's repeats (effect, group, window), how
// often and how long a request is tried (attempts, deadline), a class that is gone, a tenant's share, what may go
// to a backend that is cold or drains. Aims, worths and prices forbid nothing: the newer version's count.
package rules

import (
	"fmt"
	"slices"

	"marlreel/internal/balancer"
)

// Meet is what both versions allow, with all that forbids nothing taken from the newer one. Classes that only one
// of them has are left out: the one forbids what the other allows.
func Meet(older, newer balancer.Config) balancer.Config {
	m := newer
	m.Classes = nil
	for _, n := range newer.Classes {
		i := slices.IndexFunc(older.Classes, func(o balancer.Class) bool { return o.Name == n.Name })
		if i >= 0 {
			m.Classes = append(m.Classes, meetClass(older.Classes[i], n))
		}
	}
	m.Tenants = slices.Clone(newer.Tenants)
	for i, n := range m.Tenants {
		if k := slices.IndexFunc(older.Tenants, func(o balancer.Tenant) bool { return o.Name == n.Name }); k >= 0 {
			m.Tenants[i].TrafficShare, m.Tenants[i].QuotaPerS = min(n.TrafficShare, older.Tenants[k].TrafficShare), min(n.QuotaPerS, older.Tenants[k].QuotaPerS)
		}
	}
	o, c := &m.Obligations, &m.Caps
	o.DrainGrace = min(o.DrainGrace, older.Obligations.DrainGrace)
	o.AnswerSlack = min(o.AnswerSlack, older.Obligations.AnswerSlack)
	o.MaxMembershipAge = min(o.MaxMembershipAge, older.Obligations.MaxMembershipAge)
	o.OverloadMultiple = min(o.OverloadMultiple, older.Obligations.OverloadMultiple)
	o.InitialCapacity = min(o.InitialCapacity, older.Obligations.InitialCapacity)
	o.WarmupDuration, o.OverloadWindow = max(o.WarmupDuration, older.Obligations.WarmupDuration), max(o.OverloadWindow, older.Obligations.OverloadWindow)
	c.MaxAttempts = min(c.MaxAttempts, older.Caps.MaxAttempts)
	c.MaxRetryAfter = min(c.MaxRetryAfter, older.Caps.MaxRetryAfter)
	c.Cancel, c.Peers, c.HealthChecks = c.Cancel && older.Caps.Cancel, c.Peers && older.Caps.Peers, c.HealthChecks && older.Caps.HealthChecks
	c.RetryAfter, c.Hedging = c.RetryAfter && older.Caps.RetryAfter, c.Hedging && older.Caps.Hedging
	return m
}

func meetClass(older, newer balancer.Class) balancer.Class {
	m := newer
	m.Effect, m.Group = min(older.Effect, newer.Effect), min(older.Group, newer.Group)
	m.IdempotencyWindow = min(older.IdempotencyWindow, newer.IdempotencyWindow)
	m.ClientTimeout = min(older.ClientTimeout, newer.ClientTimeout)
	m.LatencyTarget = min(newer.LatencyTarget, m.ClientTimeout)
	m.NeverRerun = older.NeverRerun || newer.NeverRerun
	return m
}

// Lapsed is what a proxy may do that can't tell which version is in force: what all versions that it knows allow,
// the newest last, and nothing a second time that may have run. Classes stay: a proxy that can reach nobody does
// not stop, and what a class's first attempt does no version takes back.
func Lapsed(known []balancer.Config) balancer.Config {
	newest := known[len(known)-1]
	m := newest
	for _, k := range known[:len(known)-1] {
		met := Meet(k, m)
		// A class that an older version lacks is one that has come: the newest has it.
		for _, c := range m.Classes {
			if !slices.ContainsFunc(met.Classes, func(x balancer.Class) bool { return x.Name == c.Name }) {
				met.Classes = append(met.Classes, c)
			}
		}
		m = met
	}
	m.Classes = slices.Clone(m.Classes)
	for i := range m.Classes {
		m.Classes[i].NeverRerun = true
	}
	m.Caps.Hedging = false
	return m
}

// Contradiction names the first thing that one of two versions allows and the other forbids; "" is none.
func Contradiction(a, b balancer.Config) string {
	for _, x := range a.Classes {
		i := slices.IndexFunc(b.Classes, func(y balancer.Class) bool { return y.Name == x.Name })
		if i < 0 {
			return fmt.Sprintf("class %s is in one only", x.Name)
		}
		y := b.Classes[i]
		switch {
		case x.Effect != y.Effect:
			return fmt.Sprintf("class %s: effect", x.Name)
		case x.Effect == balancer.Keyed && (x.Group != y.Group || x.IdempotencyWindow != y.IdempotencyWindow):
			return fmt.Sprintf("class %s: group or window", x.Name)
		case x.ClientTimeout != y.ClientTimeout:
			return fmt.Sprintf("class %s: deadline %v and %v", x.Name, x.ClientTimeout, y.ClientTimeout)
		}
	}
	for _, y := range b.Classes {
		if !slices.ContainsFunc(a.Classes, func(x balancer.Class) bool { return x.Name == y.Name }) {
			return fmt.Sprintf("class %s is in one only", y.Name)
		}
	}
	if a.Caps.MaxAttempts != b.Caps.MaxAttempts {
		return fmt.Sprintf("attempts %d and %d", a.Caps.MaxAttempts, b.Caps.MaxAttempts)
	}
	if a.Caps.Hedging != b.Caps.Hedging {
		return "second copies"
	}
	if a.Obligations.DrainGrace != b.Obligations.DrainGrace {
		return "the grace of drains"
	}
	for i := range a.Tenants {
		if i >= len(b.Tenants) || a.Tenants[i] != b.Tenants[i] {
			return "tenants' shares"
		}
	}
	return ""
}

// Follows tells why a version can't come after another, or nil: while the second is being taken, only what both
// allow is done, so they need a class in common.
func Follows(older, newer balancer.Config) error {
	m := Meet(older, newer)
	if len(m.Classes) == 0 {
		return fmt.Errorf("settings.Services: no class is in the version in force as well: change them in two steps")
	}
	if len(older.Tenants) != len(newer.Tenants) && len(older.Tenants) > 0 && len(newer.Tenants) > 0 {
		for _, n := range older.Tenants {
			if !slices.ContainsFunc(newer.Tenants, func(x balancer.Tenant) bool { return x.Name == n.Name }) {
				return fmt.Errorf("settings.Tenants: %s is missing, which the version in force has", n.Name)
			}
		}
	}
	return m.Validate()
}
