package balancer

// Membership: which backends exist.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxBackoffShift is how many failed membership fetches in a row double the backoff.
const maxBackoffShift = 4

// OnMembership updates the known backends; those that stay keep their state.
func (b *Balancer) OnMembership(now time.Duration, m Membership) {
	b.now = now
	if m.Kind == MembershipFailed {
		b.retryFetch()
		return
	}
	b.failedFetches = 0
	if m.Kind != MembershipDelta {
		b.setMissingGone(m.Backends)
	}
	for _, e := range m.Backends {
		b.updateTarget(e)
	}
	b.sortTargets()
}

// retryFetch schedules another request for the membership, after a backoff.
func (b *Balancer) retryFetch() {
	b.failedFetches++
	longest := max(b.cfg.Obligations.MaxMembershipAge/2, b.healthCheckInterval)
	backoff := min(b.healthCheckInterval<<min(b.failedFetches, maxBackoffShift), longest)
	b.startTimer(backoff/2+jitter(b.rng, backoff/2), timerDiscover)
}

// setMissingGone marks the backends that are missing from a complete membership as gone.
func (b *Balancer) setMissingGone(listed []Backend) {
	for _, t := range b.targets {
		if !slices.ContainsFunc(listed, func(e Backend) bool { return e.ID == t.ID }) {
			t.State = Gone
		}
	}
}

// updateTarget applies an entry of the membership.
func (b *Balancer) updateTarget(e Backend) {
	t := b.byID[e.ID]
	if t == nil && e.State == Gone {
		return
	}
	if t == nil {
		t = b.addTarget(e.ID)
	}
	t.Backend = e
	b.recordStart(t, e.Started)
}

func (b *Balancer) addTarget(id BackendID) *target {
	t := &target{
		healthy:        true,
		warmupTokensAt: b.now,
		classHealth:    make([]classHealth, len(b.cfg.Classes)),
		order:          mix(uint64(b.cfg.Rank)+1, id),
		lastSent:       math.MinInt64 / 2, // long ago
	}
	t.nextCheck = b.now + jitter(b.rng, healthyCheckFactor*b.suspectCheckInterval())
	b.byID[id] = t
	b.targets = append(b.targets, t)
	return t
}

// sortTargets sorts the backends in this proxy's rendezvous order, and updates the ready ones and the subset.
func (b *Balancer) sortTargets() {
	slices.SortFunc(b.targets, func(x, y *target) int { return cmp.Compare(x.order, y.order) })
	b.removeGone()
	b.ready = slices.DeleteFunc(slices.Clone(b.targets), func(t *target) bool { return t.State != Ready })
	b.selectSubset()
}

// removeGone drops the backends that are gone and have nothing in flight.
func (b *Balancer) removeGone() {
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool {
		removed := t.State == Gone && len(t.inFlight) == 0 && !t.checkInFlight
		if !removed {
			return false
		}
		for i := range t.classHealth {
			b.grayFailure.ForgetTrials(&t.classHealth[i].Cell, i)
		}
		delete(b.byID, t.ID)
		return true
	})
}

// EjectedCount is how many listed backends are ejected or unhealthy.
func (b *Balancer) EjectedCount() int {
	ejected := 0
	for _, t := range b.targets {
		if t.State != Gone && !b.isHealthy(t) {
			ejected++
		}
	}
	return ejected
}
