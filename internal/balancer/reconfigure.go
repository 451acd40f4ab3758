package balancer

// Other settings in force: what stays of the learned state, and what requests under way may still do.

import (
	"fmt"
	"slices"
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/idempotency"
	"marlreel/internal/balancer/slowstart"
)

// Reconfigure puts other settings in force, in one step; an error, a ConfigError, leaves the old ones whole.
//
// A class keeps its index for good: a class that was removed stays listed under the one it had, and what was
// learned of each stays with its index. reassigned are the indices that another class has taken over, of
// which no request is pending: what was learned under them is forgotten. removed tells whether the class of
// an index is out of use, so that how it was served last no longer counts for the goal.
//
// Requests under way keep the class that they came with, and may get no more attempts, nor be retried
// otherwise, than both settings allow: backends take up new settings at a time that nobody knows.
func (b *Balancer) Reconfigure(
	now time.Duration, cfg Config, reassigned []int, removed func(class int) bool,
) error {
	if err := cfg.check(); err != nil {
		return err
	}
	if err := b.checkChange(&cfg); err != nil {
		return err
	}
	b.now = now
	b.growClasses(len(cfg.Classes))
	previous := previousTenants(b.cfg.Tenants, cfg.Tenants)
	b.configureModels(&cfg, previous)
	b.forgetClasses(reassigned)
	for i := range cfg.Classes {
		if removed(i) {
			b.goodput.ClearClass(i)
		}
	}
	sameService := anyClassStays(b.cfg.Classes, cfg.Classes, removed)
	b.advice = cfg.advice()
	b.cfg = cfg
	if !sameService {
		b.discardLearned()
	}
	for _, t := range b.targets {
		t.order = mix(uint64(cfg.Rank)+1, t.ID)
	}
	b.sortTargets()
	for _, r := range b.requests {
		r.Tenant = slices.Index(previous, r.Tenant) // -1: it was removed
		r.terms = idempotency.Strictest(r.terms, cfg.Classes[r.Class].terms())
	}
	b.deriveIntervals()
	b.dispatch()
	return nil
}

// checkChange tells what of other settings, sound by themselves, can't follow those in force.
func (b *Balancer) checkChange(cfg *Config) error {
	if have := len(b.cfg.Classes); len(cfg.Classes) < have {
		reason := fmt.Sprintf("%d, and there were %d: each has to keep its place", len(cfg.Classes), have)
		return &ConfigError{"Classes", reason}
	}
	if cfg.PollMembership != b.cfg.PollMembership {
		reason := fmt.Sprintf("%v can't be changed while the list is followed", b.cfg.PollMembership)
		return &ConfigError{"OnRequest", reason}
	}
	return nil
}

// growClasses makes room for so many classes; what is known of those there are stays.
func (b *Balancer) growClasses(classes int) {
	added := classes - len(b.cfg.Classes)
	b.delayModels = append(b.delayModels, make([]linearFit, added)...)
	b.delayTails = append(b.delayTails, make([]tailQuantile, added)...)
	b.servedByClass = append(b.servedByClass, make([]decay.Sum, added)...)
	b.queuedAhead = append(b.queuedAhead, make([]int, added)...)
	for _, t := range b.targets {
		t.classHealth = append(t.classHealth, make([]classHealth, added)...)
	}
	b.grayFailure.Grow(classes)
	b.prediction.Grow(classes)
}

// configureModels gives the models the settings that they go by; previous is as previousTenants has it.
func (b *Balancer) configureModels(cfg *Config, previous []int) {
	b.goodput.Reset(cfg.Goal.weights(), len(cfg.Classes), previous)
	b.quota.Configure(cfg.quotas(), previous, cfg.Instances, cfg.Obligations.OverloadWindow)
	b.connectionFailures.SetTimeConstant(cfg.Obligations.WarmupDuration)
	b.retryStorm.Configure(cfg.retryStormConfig())
	b.costs = cfg.costs()
}

// forgetClasses drops what was learned under the indices of classes.
func (b *Balancer) forgetClasses(classes []int) {
	for _, i := range classes {
		b.delayModels[i] = linearFit{}
		b.delayTails[i] = tailQuantile{}
		b.servedByClass[i] = decay.Sum{}
		for _, t := range b.targets {
			t.setIsolated(&t.classHealth[i], false)
			t.classHealth[i] = classHealth{}
		}
		b.grayFailure.Forget(i)
		b.prediction.Forget(i)
	}
}

// anyClassStays tells whether a class, by its name, is among both and not out of use.
func anyClassStays(before, after []Class, removed func(class int) bool) bool {
	return slices.ContainsFunc(before, func(c Class) bool {
		i := slices.IndexFunc(after, func(n Class) bool { return n.Name == c.Name })
		return i >= 0 && !removed(i)
	})
}

// previousTenants gives for each tenant the index that the one of its name had before, or -1.
func previousTenants(before, after []Tenant) []int {
	previous := make([]int, len(after))
	for i, t := range after {
		previous[i] = slices.IndexFunc(before, func(o Tenant) bool { return o.Name == t.Name })
	}
	return previous
}

// discardLearned drops what was learned, and keeps what obligations rest on: which backends are draining or
// healthy, when each started and what is left of its slow-start budget. Where no class stays, as where
// another customer's settings come, the delays of the old classes say nothing of the new ones and would
// misjudge them for long.
func (b *Balancer) discardLearned() {
	b.meanWindow = 0 // the next request is the mean of all
	b.knownDelay = average{}
	b.goodput.Clear()
	for _, t := range b.targets {
		t.delays = decay.Sum{}
		t.answers = decay.Sum{}
		t.servedWork = decay.Sum{}
		t.tail = tailQuantile{}
		t.concurrencyLimit = 0
	}
}

// deriveIntervals sets the intervals that follow from the settings.
func (b *Balancer) deriveIntervals() {
	b.healthCheckInterval = b.cfg.healthCheckInterval()
	b.sweepEvery = b.cfg.sweepEvery()
	b.decayTime = max(b.decayTime, decayIntervals*b.healthCheckInterval)
	b.grayFailure.SetTimeConstant(b.decayTime)
	latencyTarget := b.cfg.Classes[0].LatencyTarget
	for _, c := range b.cfg.Classes {
		latencyTarget = min(latencyTarget, c.LatencyTarget)
	}
	b.slowStart.Configure(slowstart.Config{
		OverloadMultiple: b.cfg.Obligations.OverloadMultiple,
		OverloadWindow:   b.cfg.Obligations.OverloadWindow,
		LatencyTarget:    latencyTarget,
		SafetyFactor:     warmupSafetyFactor,
	})
}
