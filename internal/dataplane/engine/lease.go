package engine

import (
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Lease bounds for how long the settings in force may be gone by. It is looked at where they are used: before a
// call is taken, an attempt decided on, and its first byte written. Any goroutine may call it.
type Lease struct {
	// Now is a clock that goes on while the process is stopped or its machine sleeps.
	Now   func() time.Duration
	until atomic.Int64
}

// Extend lets the lease run until then.
func (l *Lease) Extend(until time.Duration) { l.until.Store(int64(until)) }

// Until is when it runs out.
func (l *Lease) Until() time.Duration { return time.Duration(l.until.Load()) }

// Lapsed tells whether it has run out. It is one comparison and allocates nothing.
func (l *Lease) Lapsed() bool { return int64(l.Now()) >= l.until.Load() }

// rules are the settings that hold while the lease runs, and those that hold when it has run out.
type rules struct {
	set             bool
	inForce, strict balancer.Config
	now, lapsed     []limits // by the number of a class
	attempts        [2]int
	isLapsed        bool // by which of them the module goes
}

// limits are what a class's requests may do.
type limits struct {
	known  bool
	again  bool // what may have run may go again
	effect balancer.Effect
	group  balancer.Group
	window time.Duration
	giveUp time.Duration
}

// Under lets the settings hold under a lease from now on. Only before Run.
func (e *Engine) Under(l *Lease) { e.lease = l }

// Rule puts settings in force, whole: those that hold while the lease runs, and those when it has run out. An
// error leaves all as it was. What was decided on and is not yet written goes out only if it still may. Only on
// the engine's goroutine.
func (e *Engine) Rule(inForce, strict balancer.Config) error {
	next := rules{set: true, inForce: inForce, strict: strict, isLapsed: e.lease.Lapsed(), attempts: [2]int{inForce.Caps.MaxAttempts, strict.Caps.MaxAttempts}}
	first, then := inForce, strict
	if next.isLapsed {
		first, then = strict, inForce
	}
	if err := then.Validate(); err != nil {
		return err
	}
	if err := e.Reconfigure(first); err != nil {
		return err
	}
	next.now, next.lapsed = e.limitsOf(inForce), e.limitsOf(strict)
	e.rules = next
	for _, c := range e.calls {
		for _, a := range c.attempts {
			if a.done || !a.Permit.Open() {
				continue
			}
			// What its permit says of the lease is the carrier's to read by now, and is left as it is.
			strictly := e.allows(c, a, next.lapsed, next.attempts[1])
			goes := strictly || !next.isLapsed && a.Permit.needs && e.allows(c, a, next.now, next.attempts[0])
			if !goes && a.Permit.Revoke() {
				a.stop()
				e.Later(func() { a.End(End{Result: balancer.NotSent}) })
			}
		}
	}
	return nil
}

// limitsOf gives settings' limits by the numbers that classes have here.
func (e *Engine) limitsOf(c balancer.Config) []limits {
	all := make([]limits, e.classes.Len())
	for i := range all {
		name := e.classes.Name(i)
		for _, k := range c.Classes {
			if k.Name == name {
				all[i] = limits{true, k.Effect != balancer.Unsafe && !k.NeverRerun, k.Effect, k.Group, k.IdempotencyWindow, k.ClientTimeout}
			}
		}
	}
	return all
}

// heed lets the module go by what the lease says now. Not from within the module's own call.
func (e *Engine) heed() {
	r := &e.rules
	if !r.set || e.lease.Lapsed() == r.isLapsed {
		return
	}
	r.isLapsed = !r.isLapsed
	cfg := r.inForce
	if r.isLapsed {
		cfg = r.strict
	}
	if err := e.Reconfigure(cfg); err != nil {
		e.cfg.Logf("the settings for this lease are not taken: %v", err)
	}
}

// mayGo tells whether an attempt may go out by the rules that hold at this moment, whatever the module knew when it
// decided, and notes in its permit until when it may.
func (e *Engine) mayGo(c *Call, a *Attempt, until time.Duration) bool {
	if !e.rules.set {
		return true
	}
	lapsed := e.lease.Lapsed()
	if lapsed != e.rules.isLapsed {
		e.Later(e.heed)
	}
	strictly := e.allows(c, a, e.rules.lapsed, e.rules.attempts[1])
	a.Permit.lease, a.Permit.needs, a.Permit.until = e.lease, !strictly, e.lease.Now()+max(until-e.Now(), 0)
	if lapsed {
		return strictly
	}
	return e.allows(c, a, e.rules.now, e.rules.attempts[0])
}

// allows tells whether limits allow an attempt.
func (e *Engine) allows(c *Call, a *Attempt, by []limits, attempts int) bool {
	if c.Class >= len(by) || !by[c.Class].known {
		return false
	}
	l := by[c.Class]
	if a.N >= attempts || !c.Coming && e.Now() > c.arrived+l.giveUp {
		return false
	}
	for _, earlier := range c.attempts[:min(a.N, len(c.attempts))] {
		if earlier.done && !earlier.ran || !earlier.done && !earlier.Permit.Used() {
			continue // it never ran, or can still be kept from it
		}
		if !l.again || l.effect == balancer.Keyed && e.narrower(c, l) {
			return false
		}
	}
	return true
}

// narrower tells whether a keyed class drops repeats within less than when the call was read.
func (e *Engine) narrower(c *Call, l limits) bool {
	if c.Book == nil || c.Class >= len(c.Book.Settings.Classes) {
		return true
	}
	was := &c.Book.Settings.Classes[c.Class]
	return l.group < was.Group || l.window < was.IdempotencyWindow
}
