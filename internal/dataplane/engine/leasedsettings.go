package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// leasedSettings are the settings that hold while the lease is valid, and those that hold when it has expired.
type leasedSettings struct {
	active                  bool
	whileValid, afterExpiry leasedRules
	expired                 bool // the balancer has those of afterExpiry
}

// leasedRules are settings, with what they allow in a form that is checked for each attempt.
type leasedRules struct {
	settings balancer.Config
	classes  []classLimits // by the index of a class
}

// classLimits are what requests of a class may do.
type classLimits struct {
	known             bool
	mayRetry          bool // what may have run may be sent again
	effect            balancer.Effect
	group             balancer.Group
	idempotencyWindow time.Duration
	clientTimeout     time.Duration
}

// SetLease makes the settings hold under a lease from now on. Only before Run.
func (e *Engine) SetLease(l *Lease) { e.lease = l }

// ReconfigureLeased puts settings in force, all at once: those that hold while the lease is valid, and those when it has
// expired. An error of either's validation leaves everything as it was. Attempts that were decided on and are not yet
// written go out only if they still may. Only on the engine's goroutine.
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

// withdrawForbidden withdraws a call's attempts that are not written and that new settings forbid.
func (e *Engine) withdrawForbidden(c *Call) {
	for _, a := range c.attempts {
		if a.ended || !a.Permit.Available() {
			continue
		}
		// The carrier may be reading what its permit says of the lease by now, so that stays as it is.
		allowed := e.allowedBy(&e.leased.afterExpiry, c, a)
		if !allowed && !e.leased.expired && a.Permit.needsLease {
			allowed = e.allowedBy(&e.leased.whileValid, c, a)
		}
		if !allowed {
			a.withdraw()
		}
	}
}

// leasedRulesOf gives settings' limits by the indexes that classes have here.
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

// applyLeaseState gives the balancer the settings that hold by the lease now. Not from within the balancer's own call.
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
		e.cfg.Logf("the settings for this lease are not taken: %v", err)
	}
}

// mayStart tells whether an attempt may go out by the settings that hold at this moment, whatever the balancer knew when
// it decided, and notes in its permit when that ends. timeout is when the attempt times out, on the engine's clock.
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

// allowedBy tells whether rules allow an attempt.
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

// mayHaveRunBefore tells whether an attempt before a may have run, and can't be kept from it any more.
func (c *Call) mayHaveRunBefore(a *Attempt) bool {
	for _, earlier := range c.attempts[:min(a.Index, len(c.attempts))] {
		if earlier.ended && earlier.mayHaveRun || !earlier.ended && earlier.Permit.Claimed() {
			return true
		}
	}
	return false
}

// idempotencyNarrowed tells whether a keyed class recognizes repeats among less than when the call was parsed.
func (l *classLimits) idempotencyNarrowed(c *Call) bool {
	if c.Snapshot == nil || c.Class >= len(c.Snapshot.Settings.Classes) {
		return true
	}
	parsedBy := &c.Snapshot.Settings.Classes[c.Class]
	return l.group < parsedBy.Group || l.idempotencyWindow < parsedBy.IdempotencyWindow
}
