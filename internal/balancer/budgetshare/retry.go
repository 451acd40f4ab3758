package budgetshare

import "time"

// RetryConfig limits the retries that all proxies together send to a service.
type RetryConfig struct {
	Ratio  float64 // retries allowed per request
	Slack  float64 // retries allowed in a window beyond the ratio
	Window time.Duration
}

const (
	// retryMargin is the fraction of the ratio that is used.
	retryMargin = 0.8
	// slackMargin is the fraction of the slack that is shared out: lists may differ for a moment, and a process may
	// have replaced another one within a window.
	slackMargin = 0.5
)

// RetryBudget enforces this proxy's share of the retry budget. Not safe for concurrent use.
type RetryBudget struct {
	cfg        RetryConfig
	membership *Membership
	startedAt  time.Duration
	requests   Window
	retries    Window
}

// NewRetryBudget returns the budget of a process that starts now.
func NewRetryBudget(cfg RetryConfig, membership *Membership, now time.Duration) *RetryBudget {
	return &RetryBudget{cfg: cfg, membership: membership, startedAt: now, requests: NewWindow(cfg.Window), retries: NewWindow(cfg.Window)}
}

// RecordRequest counts a request that is sent, whether for the first time or as a retry.
func (r *RetryBudget) RecordRequest(now time.Duration) { r.requests.Add(now) }

// Remaining returns how many retries the budget still allows now. It may be fractional or negative.
func (r *RetryBudget) Remaining(now time.Duration) float64 {
	earned := min(1, float64(now-r.startedAt)/float64(max(r.cfg.Window, 1)))
	slack := slackMargin * r.cfg.Slack / float64(r.membership.Count()) * earned
	if r.membership.Expired(now) {
		slack /= 2
	}
	return retryMargin*r.cfg.Ratio*float64(r.requests.Count(now)-r.retries.Count(now)) + slack - float64(r.retries.Count(now))
}

// TryAcquire takes one retry from the budget and reports whether there was one.
func (r *RetryBudget) TryAcquire(now time.Duration) bool {
	if r.Remaining(now) < 1 {
		return false
	}
	r.retries.Add(now)
	return true
}
