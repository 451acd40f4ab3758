// Package idempotency decides whether a request may be retried after attempts that may have run: at which locations,
// and until when. It defines what the settings on effects mean for one request, also while the settings change.
//
// The package is pure: no clock, no I/O. Package balancer decides whether a retry is worthwhile and where it goes.
package idempotency

import "time"

// Effect says what running a request twice does. The values are ordered from the worst.
type Effect uint8

// The values of Effect.
const (
	Unsafe Effect = iota // does harm
	Keyed                // is deduplicated where the first ran, for a while
	Safe                 // does no harm
)

// Scope is what a backend must share with the one that ran a keyed request to deduplicate its retries. A cell may span
// zones, so neither scope is within the other: what is allowed by both scopes shares both.
type Scope uint8

// The values of Scope. With All, any backend deduplicates.
const (
	Cell Scope = 1 << iota
	Zone
	All Scope = 0
)

// Terms are the retries that the settings allow for a request.
type Terms struct {
	Effect Effect
	Scope  Scope
	Window time.Duration // how long retries are deduplicated, from the first attempt that may have run
}

// Strictest returns what both terms allow. Settings may change between two attempts, and when each backend applies the
// new ones is unknown, so only what is allowed by both is harmless.
func Strictest(a, b Terms) Terms {
	if a.Effect != Keyed && b.Effect != Keyed {
		return Terms{Effect: min(a.Effect, b.Effect)}
	}
	t := Terms{Effect: min(a.Effect, b.Effect), Scope: All, Window: 1<<63 - 1}
	for _, k := range [...]Terms{a, b} {
		if k.Effect == Keyed {
			t.Scope, t.Window = t.Scope|k.Scope, min(t.Window, k.Window)
		}
	}
	return t
}

// Location is where an attempt was sent, or may be sent: a zone and a cell by their numbers.
type Location struct{ Zone, Cell int }

// Attempt is an earlier attempt that may have run, or may still run.
type Attempt struct {
	Location
	SentAt time.Duration // when it was sent, at the earliest
}

// NoDeadline is the deadline of a retry that may begin at any time.
const NoDeadline time.Duration = 1<<63 - 1

// RetryDeadline reports whether a request may be retried at a location after an earlier attempt, and the time before
// which the retry has to begin there.
func (t Terms) RetryDeadline(a Attempt, to Location) (deadline time.Duration, allowed bool) {
	switch {
	case t.Effect == Safe:
		return NoDeadline, true
	case t.Effect == Unsafe, t.Scope&Cell != 0 && a.Cell != to.Cell, t.Scope&Zone != 0 && a.Zone != to.Zone, t.Window > NoDeadline-max(a.SentAt, 0):
		return 0, false
	}
	return a.SentAt + t.Window, true
}

// MayReject reports whether a client may be told that a retry is harmless, after an attempt that may have run.
func (t Terms) MayReject() bool { return t.Effect == Safe || t.Effect == Keyed && t.Scope == All }
