package quotaclient

import (
	"sync"
	"time"
)

const (
	// maxLocalRefusal bounds how long an owner's refusal is applied to further requests of the tenant. Raising it saves
	// calls to the owner while a tenant floods, but also refuses requests that could be granted after a refund.
	maxLocalRefusal = 100 * time.Millisecond
	// refusalSweepSize is the number of refusals from which on add removes the expired ones.
	refusalSweepSize = 256
)

// refusalCache refuses requests of tenants that an owner has just refused, until the time that the owner gave. Its
// methods are safe for concurrent use.
type refusalCache struct {
	mu       sync.Mutex
	refusals map[string]refusal // by tenant
}

type refusal struct {
	cost       float64
	until      time.Time // the refusal applies up to then
	retryAfter time.Time
}

func newRefusalCache() *refusalCache { return &refusalCache{refusals: map[string]refusal{}} }

// add records an owner's refusal. It ignores refusals without a retryAfter: these are permanent, and say nothing about
// requests of another cost.
func (c *refusalCache) add(subscriber string, cost float64, now time.Time, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refusals) >= refusalSweepSize {
		for name, old := range c.refusals {
			if !now.Before(old.until) {
				delete(c.refusals, name)
			}
		}
	}
	c.refusals[subscriber] = refusal{cost, now.Add(min(retryAfter, maxLocalRefusal)), now.Add(retryAfter)}
}

// find returns the refusal that applies to a request, or a zero Decision if the owner has to be asked.
func (c *refusalCache) find(subscriber string, cost float64, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.refusals[subscriber]
	if !found || cost < known.cost || !now.Before(known.until) {
		return Decision{}
	}
	return Decision{Verdict: Exceeded, RetryAfter: known.retryAfter.Sub(now)}
}
