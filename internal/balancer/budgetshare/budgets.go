package budgetshare

import "time"

// WarmupConfig is the bound on what a cold backend gets from all proxies.
type WarmupConfig struct {
	PerSecond float64 // that it bears
	Excess    float64 // times that
	Slack     float64 // and so many more
}

const (
	// warmupWindow is the window of the bound, and what a request may take on its way: those
	// that were sent before may arrive within it.
	warmupWindow = time.Second + 100*time.Millisecond
	// warmupMargin is the part of the bound that is given out.
	warmupMargin = 0.9
)

// total is how many requests all proxies together may send within the window.
func (c WarmupConfig) total() int { return int(warmupMargin * (c.PerSecond*c.Excess + c.Slack)) }

// WarmupBudget keeps this proxy's part of what cold backends get. Not safe for concurrent use.
type WarmupBudget struct {
	cfg        WarmupConfig
	membership *Membership
	backends   map[string]*warmingBackend
}

type warmingBackend struct {
	warmupEnd time.Duration
	sent      Window
}

// NewWarmupBudget makes a budget in which no backend is cold.
func NewWarmupBudget(cfg WarmupConfig, sharers *Membership) *WarmupBudget {
	return &WarmupBudget{cfg: cfg, membership: sharers, backends: map[string]*warmingBackend{}}
}

// Configure sets the bound.
func (c *WarmupBudget) Configure(cfg WarmupConfig) { c.cfg = cfg }

// SetWarmupEnd says until when a backend is cold; a time that has passed is not at all.
func (c *WarmupBudget) SetWarmupEnd(now time.Duration, backend string, until time.Duration) {
	b := c.backends[backend]
	if until <= now && b == nil {
		return
	}
	if b == nil {
		b = &warmingBackend{sent: NewWindow(warmupWindow)}
		c.backends[backend] = b
	}
	b.warmupEnd = until
}

// RemoveExcept drops the backends that are not kept.
func (c *WarmupBudget) RemoveExcept(kept func(backend string) bool) {
	for id := range c.backends {
		if !kept(id) {
			delete(c.backends, id)
		}
	}
}

// Allows tells whether a backend may have one more request of this proxy now.
func (c *WarmupBudget) Allows(now time.Duration, backend string) bool {
	b := c.backends[backend]
	if b == nil || b.warmupEnd <= now || c.cfg.PerSecond <= 0 {
		return true
	}
	return b.sent.Count(now) < c.membership.Share(now, backend, c.cfg.total())
}

// RecordSent notes a request.
func (c *WarmupBudget) RecordSent(now time.Duration, backend string) {
	if b := c.backends[backend]; b != nil && b.warmupEnd > now {
		b.sent.Add(now)
	}
}

// RetryConfig is the bound on repeated requests to a service from all proxies.
type RetryConfig struct {
	Ratio  float64 // of the requests
	Slack  float64 // and so many more
	Window time.Duration
}

const (
	// retryMargin is the part of the ratio that is used.
	retryMargin = 0.8
	// slackMargin is the part of the slack that is given out: lists may differ for a
	// moment, and a process may be one that took another one's place within a window.
	slackMargin = 0.5
)

// RetryBudget keeps this proxy's part of the budget. Not safe for concurrent use.
type RetryBudget struct {
	cfg        RetryConfig
	membership *Membership
	startedAt  time.Duration
	requests   Window
	retries    Window
}

// NewRetryBudget makes the budget of a process that starts now.
func NewRetryBudget(cfg RetryConfig, sharers *Membership, now time.Duration) *RetryBudget {
	return &RetryBudget{cfg: cfg, membership: sharers, startedAt: now, requests: NewWindow(cfg.Window), retries: NewWindow(cfg.Window)}
}

// RecordRequest notes a request that is sent, for the first time or again.
func (r *RetryBudget) RecordRequest(now time.Duration) { r.requests.Add(now) }

// Remaining is how many repeats there may still be now.
func (r *RetryBudget) Remaining(now time.Duration) float64 {
	earned := min(1, float64(now-r.startedAt)/float64(max(r.cfg.Window, 1)))
	slack := slackMargin * r.cfg.Slack / float64(r.membership.Count()) * earned
	if r.membership.Expired(now) {
		slack /= 2
	}
	return retryMargin*r.cfg.Ratio*float64(r.requests.Count(now)-r.retries.Count(now)) + slack - float64(r.retries.Count(now))
}

// TryAcquire takes one repeat, if there may be one.
func (r *RetryBudget) TryAcquire(now time.Duration) bool {
	if r.Remaining(now) < 1 {
		return false
	}
	r.retries.Add(now)
	return true
}
