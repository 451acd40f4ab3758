package transition

import (
	"slices"

	"marlreel/internal/balancer"
)

// Strictest returns settings that allow what both versions allow. Settings that forbid nothing are taken from the newer
// one. Classes that only one of them has are left out: one version forbids what the other allows.
func Strictest(older, newer balancer.Config) balancer.Config {
	both := newer
	both.Classes = nil
	for _, class := range newer.Classes {
		if previous, exists := findClass(older.Classes, class.Name); exists {
			both.Classes = append(both.Classes, strictestClass(previous, class))
		}
	}
	both.Tenants = strictestTenants(older.Tenants, newer.Tenants)
	both.Obligations = strictestObligations(older.Obligations, newer.Obligations)
	both.Caps = strictestCaps(older.Caps, newer.Caps)
	return both
}

// WithoutLease returns the settings of a proxy that can't tell which version is in force: they allow what all known
// versions allow, but no retry of a request that may have run. There is at least one version, and the newest is last.
// Its classes all stay, so that an isolated proxy goes on serving: no version forbids the first attempt of a request.
func WithoutLease(known []balancer.Config) balancer.Config {
	strictest := known[len(known)-1]
	for _, version := range known[:len(known)-1] {
		both := Strictest(version, strictest)
		for _, class := range strictest.Classes {
			if _, exists := findClass(both.Classes, class.Name); !exists {
				both.Classes = append(both.Classes, class)
			}
		}
		strictest = both
	}
	strictest.Classes = slices.Clone(strictest.Classes)
	for i := range strictest.Classes {
		strictest.Classes[i].NeverRerun = true
	}
	strictest.Caps.Hedging = false
	return strictest
}

func strictestClass(older, newer balancer.Class) balancer.Class {
	both := newer
	both.Effect, both.Group = min(older.Effect, newer.Effect), min(older.Group, newer.Group)
	both.IdempotencyWindow = min(older.IdempotencyWindow, newer.IdempotencyWindow)
	both.ClientTimeout = min(older.ClientTimeout, newer.ClientTimeout)
	both.LatencyTarget = min(newer.LatencyTarget, both.ClientTimeout)
	both.NeverRerun = older.NeverRerun || newer.NeverRerun
	return both
}

func strictestTenants(older, newer []balancer.Tenant) []balancer.Tenant {
	both := slices.Clone(newer)
	for i := range both {
		if previous, exists := findTenant(older, both[i].Name); exists {
			both[i].TrafficShare = min(both[i].TrafficShare, previous.TrafficShare)
			both[i].QuotaPerS = min(both[i].QuotaPerS, previous.QuotaPerS)
		}
	}
	return both
}

func strictestObligations(older, newer balancer.Obligations) balancer.Obligations {
	both := newer
	both.AnswerSlack = min(older.AnswerSlack, newer.AnswerSlack)
	both.MaxMembershipAge = min(older.MaxMembershipAge, newer.MaxMembershipAge)
	both.WarmupDuration = max(older.WarmupDuration, newer.WarmupDuration)
	both.DrainGrace = min(older.DrainGrace, newer.DrainGrace)
	both.OverloadWindow = max(older.OverloadWindow, newer.OverloadWindow)
	both.OverloadMultiple = min(older.OverloadMultiple, newer.OverloadMultiple)
	both.InitialCapacity = min(older.InitialCapacity, newer.InitialCapacity)
	return both
}

func strictestCaps(older, newer balancer.Caps) balancer.Caps {
	both := newer
	both.MaxAttempts = min(older.MaxAttempts, newer.MaxAttempts)
	both.MaxRetryAfter = min(older.MaxRetryAfter, newer.MaxRetryAfter)
	both.Cancel = older.Cancel && newer.Cancel
	both.Peers = older.Peers && newer.Peers
	both.HealthChecks = older.HealthChecks && newer.HealthChecks
	both.RetryAfter = older.RetryAfter && newer.RetryAfter
	both.Hedging = older.Hedging && newer.Hedging
	return both
}

func findClass(classes []balancer.Class, name string) (balancer.Class, bool) {
	i := slices.IndexFunc(classes, func(c balancer.Class) bool { return c.Name == name })
	if i < 0 {
		return balancer.Class{}, false
	}
	return classes[i], true
}

func findTenant(tenants []balancer.Tenant, name string) (balancer.Tenant, bool) {
	i := slices.IndexFunc(tenants, func(t balancer.Tenant) bool { return t.Name == name })
	if i < 0 {
		return balancer.Tenant{}, false
	}
	return tenants[i], true
}
