package engine

import (
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Lease bounds for how long the settings in force may be gone by. It is looked at where they are used: before a
// call is taken, an attempt decided on, and its first byte written. Any goroutine may call it.
type Lease struct {
	// Clock is a clock that goes on while the process is stopped or its machine sleeps.
	Clock     func() time.Duration
	expiresAt atomic.Int64
}

// Extend lets the lease run until then.
func (l *Lease) Extend(until time.Duration) { l.expiresAt.Store(int64(until)) }

// ExpiresAt is when it runs out.
func (l *Lease) ExpiresAt() time.Duration { return time.Duration(l.expiresAt.Load()) }

// Expired tells whether it has run out. It is one comparison and allocates nothing.
func (l *Lease) Expired() bool { return int64(l.Clock()) >= l.expiresAt.Load() }

// leasedSettings are the settings that hold while the lease runs, and those that hold when it has run out.
type leasedSettings struct {
	active                              bool
	whileValid, afterExpiry             balancer.Config
	limitsWhileValid, limitsAfterExpiry []classLimits // by the number of a class
	attempts                            [2]int
	expired                             bool // by which of them the module goes
}

// classLimits are what a class's requests may do.
type classLimits struct {
	known             bool
	mayRetry          bool // what may have run may go again
	effect            balancer.Effect
	group             balancer.Group
	idempotencyWindow time.Duration
	clientTimeout     time.Duration
}

// SetLease lets the settings hold under a lease from now on. Only before Run.
func (e *Engine) SetLease(l *Lease) { e.lease = l }

// ReconfigureLeased puts settings in force, whole: those that hold while the lease runs, and those when it has run out. An
// error leaves all as it was. What was decided on and is not yet written goes out only if it still may. Only on
// the engine's goroutine.
func (e *Engine) ReconfigureLeased(whileValid, afterExpiry balancer.Config) error {
	next := leasedSettings{active: true, whileValid: whileValid, afterExpiry: afterExpiry, expired: e.lease.Expired(), attempts: [2]int{whileValid.Caps.MaxAttempts, afterExpiry.Caps.MaxAttempts}}
	current, other := whileValid, afterExpiry
	if next.expired {
		current, other = afterExpiry, whileValid
	}
	if err := other.Validate(); err != nil {
		return err
	}
	if err := e.Reconfigure(current); err != nil {
		return err
	}
	next.limitsWhileValid, next.limitsAfterExpiry = e.limitsOf(whileValid), e.limitsOf(afterExpiry)
	e.leased = next
	for _, c := range e.calls {
		for _, a := range c.attempts {
			if a.ended || !a.Permit.Available() {
				continue
			}
			// What its permit says of the lease is the carrier's to read by now, and is left as it is.
			allowedAfterExpiry := e.allowedBy(c, a, next.limitsAfterExpiry, next.attempts[1])
			stillAllowed := allowedAfterExpiry || !next.expired && a.Permit.needsLease && e.allowedBy(c, a, next.limitsWhileValid, next.attempts[0])
			if !stillAllowed && a.Permit.Revoke() {
				a.stop()
				e.Defer(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
			}
		}
	}
	return nil
}

// limitsOf gives settings' limits by the numbers that classes have here.
func (e *Engine) limitsOf(c balancer.Config) []classLimits {
	all := make([]classLimits, e.classes.Len())
	for i := range all {
		name := e.classes.Name(i)
		for _, k := range c.Classes {
			if k.Name == name {
				all[i] = classLimits{true, k.Effect != balancer.Unsafe && !k.NeverRerun, k.Effect, k.Group, k.IdempotencyWindow, k.ClientTimeout}
			}
		}
	}
	return all
}

// applyLeaseState lets the module go by what the lease says now. Not from within the module's own call.
func (e *Engine) applyLeaseState() {
	r := &e.leased
	if !r.active || e.lease.Expired() == r.expired {
		return
	}
	r.expired = !r.expired
	cfg := r.whileValid
	if r.expired {
		cfg = r.afterExpiry
	}
	if err := e.Reconfigure(cfg); err != nil {
		e.cfg.Logf("the settings for this lease are not taken: %v", err)
	}
}

// mayStart tells whether an attempt may go out by the rules that hold at this moment, whatever the module knew when it
// decided, and notes in its permit until when it may.
func (e *Engine) mayStart(c *Call, a *Attempt, until time.Duration) bool {
	if !e.leased.active {
		return true
	}
	expired := e.lease.Expired()
	if expired != e.leased.expired {
		e.Defer(e.applyLeaseState)
	}
	allowedAfterExpiry := e.allowedBy(c, a, e.leased.limitsAfterExpiry, e.leased.attempts[1])
	a.Permit.lease, a.Permit.needsLease, a.Permit.expiresAt = e.lease, !allowedAfterExpiry, e.lease.Clock()+max(until-e.Now(), 0)
	if expired {
		return allowedAfterExpiry
	}
	return e.allowedBy(c, a, e.leased.limitsWhileValid, e.leased.attempts[0])
}

// allowedBy tells whether limits allow an attempt.
func (e *Engine) allowedBy(c *Call, a *Attempt, limits []classLimits, attempts int) bool {
	if c.Class >= len(limits) || !limits[c.Class].known {
		return false
	}
	l := limits[c.Class]
	if a.Index >= attempts || !c.Receiving && e.Now() > c.arrived+l.clientTimeout {
		return false
	}
	for _, earlier := range c.attempts[:min(a.Index, len(c.attempts))] {
		if earlier.ended && !earlier.mayHaveRun || !earlier.ended && !earlier.Permit.Claimed() {
			continue // it never ran, or can still be kept from it
		}
		if !l.mayRetry || l.effect == balancer.Keyed && e.idempotencyNarrowed(c, l) {
			return false
		}
	}
	return true
}

// idempotencyNarrowed tells whether a keyed class drops repeats within less than when the call was read.
func (e *Engine) idempotencyNarrowed(c *Call, l classLimits) bool {
	if c.Snapshot == nil || c.Class >= len(c.Snapshot.Settings.Classes) {
		return true
	}
	was := &c.Snapshot.Settings.Classes[c.Class]
	return l.group < was.Group || l.idempotencyWindow < was.IdempotencyWindow
}
