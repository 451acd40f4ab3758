package routing

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/dataplane/backlog"
)

// Advisor is the balancer's Advice for one service. Not safe for concurrent use.
type Advisor struct {
	models      *prefixcache.Table
	sharers     *budgetshare.Membership
	warmup      *budgetshare.WarmupBudget
	retryBudget *budgetshare.RetryBudget
	names       map[balancer.BackendID]string // the backends' ids on the wire
	peerBacklog peerBacklog
}

var _ balancer.Advice = (*Advisor)(nil)

// Config configures an Advisor.
type Config struct {
	// Self is this proxy's name among the proxies that share the budgets.
	Self string
	// ServesModels says that the backends load models.
	ServesModels bool
	// Warmup limits the requests to backends that have just started.
	Warmup budgetshare.WarmupConfig
	// RetryBudget limits the retries.
	RetryBudget budgetshare.RetryConfig
}

// New returns an advisor. now is the start of the process.
func New(cfg Config, now time.Duration) *Advisor {
	sharers := budgetshare.NewMembership(cfg.Self, now)
	return &Advisor{
		models:      prefixcache.New(cfg.ServesModels),
		sharers:     sharers,
		warmup:      budgetshare.NewWarmupBudget(cfg.Warmup, sharers),
		retryBudget: budgetshare.NewRetryBudget(cfg.RetryBudget, sharers, now),
		names:       map[balancer.BackendID]string{},
		peerBacklog: newPeerBacklog(),
	}
}

// CanServe implements balancer.Advice: it reports whether a backend has the request's model and adapter loaded.
func (a *Advisor) CanServe(q *balancer.Request, to balancer.BackendID) bool {
	return a.models.CanServe(q.Needs, to)
}

// Allows implements balancer.Advice: it reports whether a backend that is warming up may receive another request.
func (a *Advisor) Allows(now time.Duration, to balancer.BackendID) bool {
	return a.warmup.Allows(now, a.names[to])
}

// RecordSent implements balancer.Advice.
func (a *Advisor) RecordSent(now time.Duration, _ *balancer.Request, to balancer.BackendID) {
	a.warmup.RecordSent(now, a.names[to])
	a.retryBudget.RecordRequest(now)
}

// Slots implements balancer.Advice.
func (a *Advisor) Slots(to balancer.BackendID) int { return a.models.Slots(to) }

// ExtraDelay implements balancer.Advice: it returns the work, in ms, that other proxies have sent to a backend and that
// the backend has to start on first.
func (a *Advisor) ExtraDelay(now time.Duration, _ *balancer.Request, to balancer.BackendID) float64 {
	return a.peerBacklog.workMS(now, to)
}

// TryRetry implements balancer.Advice: it takes a retry from the budget if one is left.
func (a *Advisor) TryRetry(now time.Duration) bool { return a.retryBudget.TryAcquire(now) }

// ConfigureWarmup changes the limit on requests to backends that have just started.
func (a *Advisor) ConfigureWarmup(cfg budgetshare.WarmupConfig) { a.warmup.Configure(cfg) }

// SetSharers sets the names of the proxies that share the budgets. fresh says that the membership is up to date.
func (a *Advisor) SetSharers(now time.Duration, names []string, fresh bool) {
	a.sharers.Update(now, names, fresh)
}

// RecordPeerBacklog records the work that other proxies have sent to the backends.
func (a *Advisor) RecordPeerBacklog(now time.Duration, work backlog.Work) {
	a.peerBacklog.record(now, work)
}

// Backend is a backend of the service's membership.
type Backend struct {
	prefixcache.Backend
	// Name is the backend's id on the wire.
	Name string
	// WarmupLeft is the remaining warm-up time.
	WarmupLeft time.Duration
}

// SetBackends replaces the list of the service's backends.
func (a *Advisor) SetBackends(now time.Duration, backends []Backend) {
	clear(a.names)
	clear(a.peerBacklog.keys)
	loaded := make([]prefixcache.Backend, 0, len(backends))
	listed := map[string]bool{}
	for _, b := range backends {
		loaded = append(loaded, b.Backend)
		a.names[b.ID] = b.Name
		a.peerBacklog.keys[b.ID] = backlog.Key(b.Name)
		listed[b.Name] = true
		a.warmup.SetWarmupEnd(now, b.Name, now+b.WarmupLeft)
	}
	a.models.Replace(loaded)
	a.warmup.RemoveExcept(func(name string) bool { return listed[name] })
}
