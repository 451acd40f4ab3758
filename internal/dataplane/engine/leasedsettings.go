package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// leasedSettings holds the settings for a valid lease and those for an expired one.
type leasedSettings struct {
	active                  bool
	whileValid, afterExpiry leasedRules
	expired                 bool // the balancer uses afterExpiry
}

// leasedRules are settings with their limits per class, which are checked for each attempt.
type leasedRules struct {
	settings balancer.Config
	classes  []classLimits // by class index
}

// classLimits are the limits on requests of a class.
type classLimits struct {
	known             bool // the class exists in the settings
	mayRetry          bool // a request that may have run may be sent again
	effect            balancer.Effect
	group             balancer.Group
	idempotencyWindow time.Duration
	clientTimeout     time.Duration
}

// SetLease sets the lease that limits the use of the settings. Only before Run.
func (e *Engine) SetLease(l *Lease) { e.lease = l }

// ReconfigureLeased atomically replaces the settings for a valid lease and those for an expired one. If either is
// invalid, it changes nothing and returns an error. Started attempts that can't have run yet are withdrawn if the new
// settings forbid them. Only on the engine's goroutine.
func (e *Engine) ReconfigureLeased(whileValid, afterExpiry balancer.Config) error {
	expired := e.lease.Expired()
	current, other := whileValid, afterExpiry
	if expired {
		current, other = afterExpiry, whileValid
	}
	if err := other.Validate(); err != nil {
		return err
	}
	if err := e.Reconfigure(current); err != nil {
		return err
	}
	e.leased = leasedSettings{
		active:      true,
		whileValid:  e.leasedRulesOf(whileValid),
		afterExpiry: e.leasedRulesOf(afterExpiry),
		expired:     expired,
	}
	for _, c := range e.calls {
		e.withdrawForbidden(c)
	}
	return nil
}

// withdrawForbidden withdraws a call's attempts that can't have run yet and that new settings forbid.
func (e *Engine) withdrawForbidden(c *Call) {
	for _, a := range c.attempts {
		if a.ended || !a.Permit.Available() {
			continue
		}
		// The carrier may be reading the permit's lease fields concurrently, so they must not change any more.
		allowed := e.allowedBy(&e.leased.afterExpiry, c, a)
		if !allowed && !e.leased.expired && a.Permit.needsLease {
			allowed = e.allowedBy(&e.leased.whileValid, c, a)
		}
		if !allowed {
			a.withdraw()
		}
	}
}

// leasedRulesOf returns the rules of settings, by the class indexes of the engine.
func (e *Engine) leasedRulesOf(c balancer.Config) leasedRules {
	limits := make([]classLimits, e.classes.Len())
	for i := range limits {
		name := e.classes.Name(i)
		for _, class := range c.Classes {
			if class.Name == name {
				limits[i] = classLimits{
					known:             true,
					mayRetry:          class.Effect != balancer.Unsafe && !class.NeverRerun,
					effect:            class.Effect,
					group:             class.Group,
					idempotencyWindow: class.IdempotencyWindow,
					clientTimeout:     class.ClientTimeout,
				}
			}
		}
	}
	return leasedRules{settings: c, classes: limits}
}

// applyLeaseState gives the balancer the settings for the current state of the lease. The balancer must not be on the
// call stack.
func (e *Engine) applyLeaseState() {
	leased := &e.leased
	if !leased.active || e.lease.Expired() == leased.expired {
		return
	}
	leased.expired = !leased.expired
	cfg := leased.whileValid.settings
	if leased.expired {
		cfg = leased.afterExpiry.settings
	}
	if err := e.Reconfigure(cfg); err != nil {
		e.cfg.Logf("switching settings after a change of the lease state failed: %v", err)
	}
}

// mayStart reports whether the settings for the current state of the lease allow an attempt, as the balancer may have
// decided on it by older ones. It records in the attempt's permit how long that remains so. timeout is when the attempt
// times out, on the engine's clock.
func (e *Engine) mayStart(c *Call, a *Attempt, timeout time.Duration) bool {
	if !e.leased.active {
		return true
	}
	expired := e.lease.Expired()
	if expired != e.leased.expired {
		e.Defer(e.applyLeaseState)
	}
	allowedAfterExpiry := e.allowedBy(&e.leased.afterExpiry, c, a)
	a.Permit.lease = e.lease
	a.Permit.needsLease = !allowedAfterExpiry
	a.Permit.expiresAt = e.lease.Clock() + max(timeout-e.Now(), 0)
	if expired {
		return allowedAfterExpiry
	}
	return e.allowedBy(&e.leased.whileValid, c, a)
}

// allowedBy reports whether rules allow an attempt.
func (e *Engine) allowedBy(rules *leasedRules, c *Call, a *Attempt) bool {
	if c.Class >= len(rules.classes) || !rules.classes[c.Class].known {
		return false
	}
	limits := &rules.classes[c.Class]
	if a.Index >= rules.settings.Caps.MaxAttempts {
		return false
	}
	if !c.Receiving && e.Now() > c.arrived+limits.clientTimeout {
		return false
	}
	mayRetry := limits.mayRetry && (limits.effect != balancer.Keyed || !limits.idempotencyNarrowed(c))
	return mayRetry || !c.mayHaveRunBefore(a)
}

// mayHaveRunBefore reports whether an attempt before a may have run, or can no longer be prevented from running.
func (c *Call) mayHaveRunBefore(a *Attempt) bool {
	for _, earlier := range c.attempts[:min(a.Index, len(c.attempts))] {
		if earlier.ended && earlier.mayHaveRun || !earlier.ended && earlier.Permit.Claimed() {
			return true
		}
	}
	return false
}

// idempotencyNarrowed reports whether backends of a keyed class deduplicate within a smaller group or a shorter window
// than when the call was parsed.
func (l *classLimits) idempotencyNarrowed(c *Call) bool {
	if c.Snapshot == nil || c.Class >= len(c.Snapshot.Settings.Classes) {
		return true
	}
	parsedBy := &c.Snapshot.Settings.Classes[c.Class]
	return l.group < parsedBy.Group || l.idempotencyWindow < parsedBy.IdempotencyWindow
}
