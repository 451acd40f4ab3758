// Package routing is what a proxy knows of a service's backends beyond what their answers teach: what they
// hold, how much of common budgets is this proxy's, and what other proxies have sent them. The decision
// module asks it in the course of its events. It is pure, and not safe for concurrent use.
package routing

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/dataplane/backlog"
)

// Advisor is the decision module's Advice for one service.
type Advisor struct {
	table   *prefixcache.Table
	sharers *budgetshare.Sharers
	cold    *budgetshare.Cold
	repeats *budgetshare.Repeats
	names   map[balancer.BackendID]string
	others  others
}

// Config is what an Advisor is told at its start.
type Config struct {
	// Self is this proxy's name among those that share budgets.
	Self string
	// ServesModels says that the backends hold models.
	ServesModels bool
	Warmup       budgetshare.ColdConfig
	Repeats      budgetshare.RepeatsConfig
}

// New makes the advice of a process that starts now.
func New(cfg Config, now time.Duration) *Advisor {
	sharers := budgetshare.NewSharers(cfg.Self, now)
	return &Advisor{
		table: prefixcache.New(cfg.ServesModels), sharers: sharers, cold: budgetshare.NewCold(cfg.Warmup, sharers),
		repeats: budgetshare.NewRepeats(cfg.Repeats, sharers, now), names: map[balancer.BackendID]string{}, others: newOthers(),
	}
}

var _ balancer.Advice = (*Advisor)(nil)

// Holds implements balancer.Advice.
func (a *Advisor) Holds(q *balancer.Request, to balancer.BackendID) bool {
	return a.table.Holds(q.Needs, to)
}

// Admits implements balancer.Advice.
func (a *Advisor) Admits(now time.Duration, to balancer.BackendID) bool {
	return a.cold.Admits(now, a.names[to])
}

// Sent implements balancer.Advice.
func (a *Advisor) Sent(now time.Duration, _ *balancer.Request, to balancer.BackendID) {
	a.cold.Sent(now, a.names[to])
	a.repeats.Came(now)
}

// Slots implements balancer.Advice.
func (a *Advisor) Slots(to balancer.BackendID) int { return a.table.Slots(to) }

// Extra implements balancer.Advice: what other proxies have sent there has to be begun first.
func (a *Advisor) Extra(now time.Duration, _ *balancer.Request, to balancer.BackendID) float64 {
	return a.others.at(now, to)
}

// Repeats implements balancer.Advice.
func (a *Advisor) Repeats(now time.Duration) bool { return a.repeats.Take(now) }

// ConfigureWarmup sets what backends that have just started bear.
func (a *Advisor) ConfigureWarmup(cfg budgetshare.ColdConfig) { a.cold.Configure(cfg) }

// SetSharers tells the budgets who shares them, by a word that is fresh or not.
func (a *Advisor) SetSharers(now time.Duration, names []string, fresh bool) {
	a.sharers.Listed(now, names, fresh)
}

// RecordPeerBacklog takes in what other proxies have sent to the backends.
func (a *Advisor) RecordPeerBacklog(now time.Duration, work backlog.Work) { a.others.heard(now, work) }

// Backend is what the advice is told of a backend of the list.
type Backend struct {
	prefixcache.Backend
	// Name is the backend's id on the wire.
	Name       string
	WarmupLeft time.Duration
}

// SetBackends takes in the backends that there are.
func (a *Advisor) SetBackends(now time.Duration, list []Backend) {
	clear(a.names)
	clear(a.others.keys)
	held := make([]prefixcache.Backend, 0, len(list))
	kept := map[string]bool{}
	for _, b := range list {
		held = append(held, b.Backend)
		a.names[b.ID] = b.Name
		a.others.keys[b.ID] = backlog.Key(b.Name)
		kept[b.Name] = true
		a.cold.Set(now, b.Name, now+b.WarmupLeft)
	}
	a.table.Set(held)
	a.cold.Forget(func(name string) bool { return kept[name] })
}
