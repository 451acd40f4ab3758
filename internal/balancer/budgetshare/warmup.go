package budgetshare

import "time"

// WarmupConfig is the bound on what a warming backend gets from all proxies.
type WarmupConfig struct {
	PerSecond float64 // requests that it bears a second
	Excess    float64 // factor that is allowed
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

// WarmupBudget keeps this proxy's share of what warming backends get. Not safe for concurrent use.
type WarmupBudget struct {
	cfg        WarmupConfig
	membership *Membership
	backends   map[string]*warmingBackend
}

type warmingBackend struct {
	warmupEnd time.Duration
	sent      Window
}

// NewWarmupBudget makes a budget in which no backend is warming.
func NewWarmupBudget(cfg WarmupConfig, membership *Membership) *WarmupBudget {
	return &WarmupBudget{cfg: cfg, membership: membership, backends: map[string]*warmingBackend{}}
}

// Configure sets the bound.
func (c *WarmupBudget) Configure(cfg WarmupConfig) { c.cfg = cfg }

// SetWarmupEnd says until when a backend is warming; a time that has passed: it is not.
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

// RemoveExcept drops the backends that are not to be kept.
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

// RecordSent counts a request.
func (c *WarmupBudget) RecordSent(now time.Duration, backend string) {
	if b := c.backends[backend]; b != nil && b.warmupEnd > now {
		b.sent.Add(now)
	}
}
