package balancer

import (
	"fmt"
	"slices"
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/idempotency"
	"marlreel/internal/balancer/prediction"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/balancer/slowstart"
)

// Reconfigure puts other settings in force, in one step; an error leaves the old ones, whole.
// Classes keep their places: a class that has gone stays where it was, and what was learnt of
// each stays with its place. fresh are the places that another class has taken over, of which
// no request is open: what was learnt there is forgotten. gone tells that a class is out of
// use, so that how it was served last no longer weighs. Requests under way keep the class
// that they came with, and may get no more attempts, nor be repeated otherwise, than both settings allow.
func (b *Balancer) Reconfigure(now time.Duration, cfg Config, fresh []int, gone func(class int) bool) error {
	if err := cfg.check(); err != nil {
		return err
	}
	have := len(b.cfg.Classes)
	if len(cfg.Classes) < have {
		return fmt.Errorf("field Classes: %d, and there were %d: each has to keep its place", len(cfg.Classes), have)
	}
	if cfg.PollMembership != b.cfg.PollMembership {
		return fmt.Errorf("field OnRequest: %v can't be changed while the list is followed", b.cfg.PollMembership)
	}
	b.now = now
	more := len(cfg.Classes) - have
	b.delayModels, b.delayTails = append(b.delayModels, make([]linearFit, more)...), append(b.delayTails, make([]tailQuantile, more)...)
	b.servedByClass, b.queuedAhead = append(b.servedByClass, make([]decay.Sum, more)...), append(b.queuedAhead, make([]int, more)...)
	for _, t := range b.targets {
		t.classHealth = append(t.classHealth, make([]classHealth, more)...)
	}
	b.grayFailure.Grow(len(cfg.Classes))
	b.prediction.Grow(len(cfg.Classes))
	from := tenantsFrom(b.cfg.Tenants, cfg.Tenants)
	b.goodput.Reset(cfg.Goal.weights(), len(cfg.Classes), from)
	b.quota.Configure(cfg.quotas(), from, cfg.Instances, cfg.Obligations.OverloadWindow)
	b.connectionFailures.SetTimeConstant(cfg.Obligations.WarmupDuration)
	b.retryStorm.Configure(cfg.retryStormConfig())
	b.costs = cfg.costs()
	for _, i := range fresh {
		b.delayModels[i], b.delayTails[i], b.servedByClass[i] = linearFit{}, tailQuantile{}, decay.Sum{}
		for _, t := range b.targets {
			t.setIsolated(&t.classHealth[i], false)
			t.classHealth[i] = classHealth{}
		}
		b.grayFailure.Forget(i)
		b.prediction.Forget(i)
	}
	for i := range cfg.Classes {
		if gone(i) {
			b.goodput.ClearClass(i)
		}
	}
	kept := slices.ContainsFunc(b.cfg.Classes, func(c Class) bool {
		return slices.ContainsFunc(cfg.Classes, func(n Class) bool { return n.Name == c.Name && !gone(slices.Index(cfg.names(), n.Name)) })
	})
	b.advice = cfg.advice()
	if b.cfg = cfg; !kept {
		b.discardLearned()
	}
	for _, t := range b.targets {
		t.order = mix(uint64(cfg.Rank)+1, t.ID)
	}
	b.sortTargets()
	for _, r := range b.requests {
		r.Tenant = slices.Index(from, r.Tenant) // -1: it has gone
		r.terms = idempotency.Strictest(r.terms, cfg.Classes[r.Class].terms())
	}
	b.deriveIntervals()
	b.dispatch()
	return nil
}

// deriveIntervals sets the times that follow from the settings.
func (b *Balancer) deriveIntervals() {
	b.healthCheckInterval, b.sweepEvery = b.cfg.interval(), b.cfg.sweepEvery()
	b.decayTime = max(b.decayTime, decayIntervals*b.healthCheckInterval)
	b.grayFailure.SetTimeConstant(b.decayTime)
	o, aim := b.cfg.Obligations, b.cfg.Classes[0].LatencyTarget
	for _, c := range b.cfg.Classes {
		aim = min(aim, c.LatencyTarget)
	}
	b.slowStart.Configure(slowstart.Config{OverloadMultiple: o.OverloadMultiple, OverloadWindow: o.OverloadWindow, LatencyTarget: aim, SafetyFactor: warmupSafetyFactor})
}

// interval is the time between two probes of a backend in doubt.
func (c *Config) interval() time.Duration {
	return max(suspectCheckTimeouts*c.Caps.ConnectTimeout, 20*c.Tick, 100*time.Millisecond)
}

// sweepEvery is the time between two looks at what time alone brings about.
func (c *Config) sweepEvery() time.Duration {
	if c.Caps.SweepEvery > 0 {
		return c.Caps.SweepEvery
	}
	return c.interval() / sweepsPerInterval
}

// advice is the one that is set, or one that knows nothing.
func (c *Config) advice() Advice {
	if c.Advice == nil {
		return NoAdvice{}
	}
	return c.Advice
}

// Validate is the check that New makes, for who wants to know beforehand.
func (c *Config) Validate() error { return c.check() }

// check returns an error that names the setting that makes no sense, or nil.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("field Classes: none given")
	}
	for i, s := range c.Classes {
		if s.LatencyTarget <= 0 || s.ClientTimeout <= 0 {
			return fmt.Errorf("field Classes[%d] (%s): Aim %v and GiveUp %v must be above 0", i, s.Name, s.LatencyTarget, s.ClientTimeout)
		}
		if s.IdempotencyWindow < 0 || s.Value < 0 || s.LatencyTargetStretch < 0 || s.LateValueRatio < 0 {
			return fmt.Errorf("field Classes[%d]: Window, Value, AimStretch or LateShare is negative", i)
		}
	}
	for i, t := range c.Tenants {
		if t.Share < 0 || t.QuotaPerS < 0 {
			return fmt.Errorf("field Tenants[%d]: Share or QuotaPerS is negative", i)
		}
	}
	o, k := &c.Obligations, &c.Caps
	for _, s := range []struct {
		name     string
		negative bool
	}{
		{"Tick", c.Tick < 0},
		{"Rank", c.Rank < 0},
		{"OverShareWorth", c.OverQuotaValue < 0},
		{"Obligations.AnswerSlack", o.AnswerSlack < 0},
		{"Obligations.AskEvery", o.MaxMembershipAge < 0},
		{"Obligations.Cold", o.WarmupDuration < 0},
		{"Obligations.DrainGrace", o.DrainGrace < 0},
		{"Obligations.Fall", o.OverloadWindow < 0},
		{"Obligations.FallMultiple", o.OverloadMultiple < 0},
		{"Obligations.StartCapacity", o.InitialCapacity < 0},
		{"Caps.ConnIdle", k.ConnIdle < 0},
		{"Caps.ConnectTimeout", k.ConnectTimeout < 0},
		{"Caps.SweepEvery", k.SweepEvery < 0},
		{"Caps.MaxRetryAfter", k.MaxRetryAfter < 0},
		{"Caps.MaxAttempts", k.MaxAttempts < 0},
	} {
		if s.negative {
			return fmt.Errorf("%s is negative", s.name)
		}
	}
	if c.Instances < 1 {
		return fmt.Errorf("field Instances: %d, must be 1 or more", c.Instances)
	}
	return nil
}

// retryStormConfig is what the model of storms is told.
func (c *Config) retryStormConfig() retrystorm.Config {
	longest := time.Duration(0)
	for _, s := range c.Classes {
		longest = max(longest, s.ClientTimeout)
	}
	return retrystorm.Config{ClientTimeout: longest, SendsRetryAfter: c.Caps.RetryAfter, CalmRetryAfter: c.interval(), MaxRetryAfter: c.Caps.MaxRetryAfter}
}

// quotas are the tenants' requests a second, over all proxies.
func (c *Config) quotas() []float64 {
	q := make([]float64, len(c.Tenants))
	for i, t := range c.Tenants {
		q[i] = t.QuotaPerS
	}
	return q
}

// terms are what a class allows of repeats.
func (c *Class) terms() idempotency.Terms {
	t := idempotency.Terms{Window: c.IdempotencyWindow}
	switch {
	case c.Effect == Unsafe:
		return idempotency.Terms{}
	case c.Effect == Safe:
		return idempotency.Terms{Effect: idempotency.Safe}
	case c.Group == GroupCell:
		t.Scope = idempotency.Cell
	case c.Group == GroupZone:
		t.Scope = idempotency.Zone
	}
	t.Effect = idempotency.Keyed
	return t
}

// names are those of the classes, by place.
func (c *Config) names() []string {
	names := make([]string, len(c.Classes))
	for i := range c.Classes {
		names[i] = c.Classes[i].Name
	}
	return names
}

// tenantsFrom gives for each tenant the place that the one of its name had before, or -1.
func tenantsFrom(old, now []Tenant) []int {
	from := make([]int, len(now))
	for i, t := range now {
		from[i] = slices.IndexFunc(old, func(o Tenant) bool { return o.Name == t.Name })
	}
	return from
}

// discardLearned drops what was learnt, and keeps what rules rest on: who drains, who is healthy, who
// started when and what is left of its budget. Danger: where none of the classes is one that there was, as
// where another customer's settings come, what any backend took for the old ones says nothing, and would
// judge the new ones for long.
func (b *Balancer) discardLearned() {
	b.meanWindow, b.knownDelay = 0, average{} // the next request is the mean of all
	b.goodput.Clear()
	for _, t := range b.targets {
		t.delays, t.answers, t.servedWork, t.tail, t.concurrencyLimit = decay.Sum{}, decay.Sum{}, decay.Sum{}, tailQuantile{}, 0
	}
}

// place is where a backend drops repeats.
func locationOf(t *target) idempotency.Location {
	return idempotency.Location{Zone: t.Zone, Cell: t.Cell}
}

// weights gives the goal to the model of goodput.
func (g Goal) weights() goodput.Goal {
	return goodput.Goal{Total: g.Whole, WorstClass: g.WorstClass, WorstTenant: g.WorstTenant, WorstWindow: g.WorstWindow}
}

// costs gives the prices of sending to the model of predictions.
func (c *Config) costs() prediction.Costs {
	return prediction.Costs{Waste: c.Prices.Waste, CrossZone: c.Prices.CrossZone}
}
