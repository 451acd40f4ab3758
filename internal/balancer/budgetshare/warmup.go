package budgetshare

import "time"

// WarmupConfig limits what a warming backend gets from all proxies together.
type WarmupConfig struct {
	PerSecond float64 // requests a second that the backend can take
	Excess    float64 // allowed multiple of PerSecond
	Slack     float64 // requests allowed beyond that
}

const (
	// warmupWindow is the window of the limit plus the time that a request may take to arrive: requests sent before the
	// window may arrive within it.
	warmupWindow = time.Second + 100*time.Millisecond
	// warmupMargin is the fraction of the limit that is shared out.
	warmupMargin = 0.9
)

// total returns how many requests all proxies together may send within the window.
func (c WarmupConfig) total() int { return int(warmupMargin * (c.PerSecond*c.Excess + c.Slack)) }

// WarmupBudget enforces this proxy's share of the requests to warming backends. Not safe for concurrent use.
type WarmupBudget struct {
	cfg        WarmupConfig
	membership *Membership
	backends   map[string]*warmingBackend
}

type warmingBackend struct {
	warmupEnd time.Duration
	sent      Window
}

// NewWarmupBudget returns a budget in which no backend is warming.
func NewWarmupBudget(cfg WarmupConfig, membership *Membership) *WarmupBudget {
	return &WarmupBudget{cfg: cfg, membership: membership, backends: map[string]*warmingBackend{}}
}

// Configure replaces the limit.
func (c *WarmupBudget) Configure(cfg WarmupConfig) { c.cfg = cfg }

// SetWarmupEnd sets the time until which a backend is warming; if until is not after now, the backend is warm.
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

// RemoveExcept drops the backends for which kept returns false.
func (c *WarmupBudget) RemoveExcept(kept func(backend string) bool) {
	for id := range c.backends {
		if !kept(id) {
			delete(c.backends, id)
		}
	}
}

// Allows reports whether this proxy may send a backend one more request now.
func (c *WarmupBudget) Allows(now time.Duration, backend string) bool {
	b := c.backends[backend]
	if b == nil || b.warmupEnd <= now || c.cfg.PerSecond <= 0 {
		return true
	}
	return b.sent.Count(now) < c.membership.Share(now, backend, c.cfg.total())
}

// RecordSent counts a request that this proxy sends to a backend.
func (c *WarmupBudget) RecordSent(now time.Duration, backend string) {
	if b := c.backends[backend]; b != nil && b.warmupEnd > now {
		b.sent.Add(now)
	}
}
