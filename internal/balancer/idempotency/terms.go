// Package idempotency says whether a request of which attempts may have run may be retried: where, and until when. It
// owns what the settings' words on effects mean for one request, also while the settings change under it.
//
// It is pure: no clock, no I/O. It never decides whether a retry is worth making, nor where it goes: package
// balancer does.
package idempotency

import "time"

// Effect is what running a request twice does, the worst first.
type Effect uint8

// The effects.
const (
	Unsafe Effect = iota // harm
	Keyed                // nothing where the first ran, for a while
	Safe                 // nothing
)

// Scope is what a backend has to share with the one that ran a keyed request to deduplicate its retries. A cell may
// reach over zones, so that neither is within the other: what is allowed by both scopes shares both.
type Scope uint8

// The scopes, and All, where any backend does.
const (
	Cell Scope = 1 << iota
	Zone
	All Scope = 0
)

// Terms are what the settings allow a request.
type Terms struct {
	Effect Effect
	Scope  Scope
	Window time.Duration // for which retries are deduplicated, from the first attempt that may have run
}

// Strictest is what both allow. Settings may change between two attempts: the backends go by the new ones at some
// time nobody knows, so only what is allowed by both is harmless.
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

// Attempt is an earlier one that may have run, or may yet.
type Attempt struct {
	Location
	SentAt time.Duration // when it was sent, at the earliest
}

// Never is no bound on when an attempt may begin.
const Never time.Duration = 1<<63 - 1

// RetryDeadline tells whether a request may go to a place again after an earlier attempt, and before when it has to begin
// there.
func (t Terms) RetryDeadline(a Attempt, to Location) (deadline time.Duration, allowed bool) {
	switch {
	case t.Effect == Safe:
		return Never, true
	case t.Effect == Unsafe, t.Scope&Cell != 0 && a.Cell != to.Cell, t.Scope&Zone != 0 && a.Zone != to.Zone, t.Window > Never-max(a.SentAt, 0):
		return 0, false
	}
	return a.SentAt + t.Window, true
}

// MayReject tells whether a client may be told that coming again is harmless, after an attempt that may have run.
func (t Terms) MayReject() bool { return t.Effect == Safe || t.Effect == Keyed && t.Scope == All }
