package balancer

// New settings: what is kept of the learned state, and what requests under way may still do.

import (
	"fmt"
	"slices"
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/idempotency"
	"marlreel/internal/balancer/slowstart"
)

// Reconfigure applies new settings atomically. On an error, a ConfigError, the old ones stay in force.
//
// Classes keep their index: a removed class stays in the list under the index it had, and what was learned
// about a class stays with its index. reassigned lists the indices that another class has taken over; no
// request of the old class may be pending, and what was learned about it is dropped. removed tells whether
// the class of an index is out of use, so that how it was served last no longer counts for the goal.
//
// Requests under way keep the class that they came with, and are attempted and retried only as far as both
// the old and the new settings allow: it is unknown when backends apply the new ones.
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

// checkChange returns a ConfigError if settings that are valid by themselves can't replace those in force.
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

// growClasses extends the state by class to so many classes and keeps that of the present ones.
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

// configureModels passes new settings to the models; previous is the result of previousTenants.
func (b *Balancer) configureModels(cfg *Config, previous []int) {
	b.goodput.Reset(cfg.Goal.weights(), len(cfg.Classes), previous)
	b.quota.Configure(cfg.quotas(), previous, cfg.Instances, cfg.Obligations.OverloadWindow)
	b.connectionFailures.SetTimeConstant(cfg.Obligations.WarmupDuration)
	b.retryStorm.Configure(cfg.retryStormConfig())
	b.costs = cfg.costs()
}

// forgetClasses drops what was learned about classes, given by index.
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

// anyClassStays tells whether any class, by its name, is in both lists and not out of use.
func anyClassStays(before, after []Class, removed func(class int) bool) bool {
	return slices.ContainsFunc(before, func(c Class) bool {
		i := slices.IndexFunc(after, func(n Class) bool { return n.Name == c.Name })
		return i >= 0 && !removed(i)
	})
}

// previousTenants returns for each tenant the previous index of the tenant of the same name, or -1.
func previousTenants(before, after []Tenant) []int {
	previous := make([]int, len(after))
	for i, t := range after {
		previous[i] = slices.IndexFunc(before, func(o Tenant) bool { return o.Name == t.Name })
	}
	return previous
}

// discardLearned drops what was learned, except for what the obligations depend on: which backends are
// draining or healthy, when each started and what is left of its slow-start budget. It is called if no
// class stays, as with another customer's settings: then the delays of the old classes say nothing about
// the new ones and would distort decisions for a long time.
func (b *Balancer) discardLearned() {
	b.meanWindow = 0 // the next request sets the means
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

// deriveIntervals computes the intervals that depend on the settings.
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
