package budgetshare

import "time"

// ColdConfig is the bound on what a cold backend gets from all proxies.
type ColdConfig struct {
	PerSecond float64 // that it bears
	Excess    float64 // times that
	Slack     float64 // and so many more
}

const (
	// coldSecond is the window of the bound, and what a request may take on its way: those
	// that were sent before may arrive within it.
	coldSecond = time.Second + 100*time.Millisecond
	// coldMargin is the part of the bound that is given out.
	coldMargin = 0.9
)

// whole is how many requests all proxies together may send within the window.
func (c ColdConfig) whole() int { return int(coldMargin * (c.PerSecond*c.Excess + c.Slack)) }

// Cold keeps this proxy's part of what cold backends get. Not safe for concurrent use.
type Cold struct {
	cfg      ColdConfig
	sharers  *Sharers
	backends map[string]*coldBackend
}

type coldBackend struct {
	until time.Duration
	sent  Window
}

// NewCold makes a budget in which no backend is cold.
func NewCold(cfg ColdConfig, sharers *Sharers) *Cold {
	return &Cold{cfg: cfg, sharers: sharers, backends: map[string]*coldBackend{}}
}

// Configure sets the bound.
func (c *Cold) Configure(cfg ColdConfig) { c.cfg = cfg }

// Set says until when a backend is cold; a time that has passed is not at all.
func (c *Cold) Set(now time.Duration, backend string, until time.Duration) {
	b := c.backends[backend]
	if until <= now && b == nil {
		return
	}
	if b == nil {
		b = &coldBackend{sent: NewWindow(coldSecond)}
		c.backends[backend] = b
	}
	b.until = until
}

// Forget drops the backends that are not kept.
func (c *Cold) Forget(kept func(backend string) bool) {
	for id := range c.backends {
		if !kept(id) {
			delete(c.backends, id)
		}
	}
}

// Admits tells whether a backend may have one more request of this proxy now.
func (c *Cold) Admits(now time.Duration, backend string) bool {
	b := c.backends[backend]
	if b == nil || b.until <= now || c.cfg.PerSecond <= 0 {
		return true
	}
	return b.sent.Count(now) < c.sharers.Part(now, backend, c.cfg.whole())
}

// Sent notes a request.
func (c *Cold) Sent(now time.Duration, backend string) {
	if b := c.backends[backend]; b != nil && b.until > now {
		b.sent.Add(now)
	}
}

// RepeatsConfig is the bound on repeated requests to a service from all proxies.
type RepeatsConfig struct {
	Ratio  float64 // of the requests
	Slack  float64 // and so many more
	Window time.Duration
}

const (
	// repeatsMargin is the part of the ratio that is used.
	repeatsMargin = 0.8
	// slackMargin is the part of the slack that is given out: lists may differ for a
	// moment, and a process may be one that took another one's place within a window.
	slackMargin = 0.5
)

// Repeats keeps this proxy's part of the budget. Not safe for concurrent use.
type Repeats struct {
	cfg      RepeatsConfig
	sharers  *Sharers
	began    time.Duration
	requests Window
	repeats  Window
}

// NewRepeats makes the budget of a process that starts now.
func NewRepeats(cfg RepeatsConfig, sharers *Sharers, now time.Duration) *Repeats {
	return &Repeats{cfg: cfg, sharers: sharers, began: now, requests: NewWindow(cfg.Window), repeats: NewWindow(cfg.Window)}
}

// Came notes a request that is sent, for the first time or again.
func (r *Repeats) Came(now time.Duration) { r.requests.Add(now) }

// Left is how many repeats there may still be now.
func (r *Repeats) Left(now time.Duration) float64 {
	earned := min(1, float64(now-r.began)/float64(max(r.cfg.Window, 1)))
	slack := slackMargin * r.cfg.Slack / float64(r.sharers.Count()) * earned
	if r.sharers.Lapsed(now) {
		slack /= 2
	}
	return repeatsMargin*r.cfg.Ratio*float64(r.requests.Count(now)-r.repeats.Count(now)) + slack - float64(r.repeats.Count(now))
}

// Take takes one repeat, if there may be one.
func (r *Repeats) Take(now time.Duration) bool {
	if r.Left(now) < 1 {
		return false
	}
	r.repeats.Add(now)
	return true
}
