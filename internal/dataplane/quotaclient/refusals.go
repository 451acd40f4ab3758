package quotaclient

import (
	"sync"
	"time"
)

const (
	// maxLocalRefusal bounds how long a refusal of an owner counts for further requests of the tenant. Raising it spares
	// the owner calls while a tenant floods; it also refuses what could be granted after a refund.
	maxLocalRefusal = 100 * time.Millisecond
	// refusalsSwept is the number of refusals at which those that count no more are removed.
	refusalsSwept = 256
)

// refusalCache refuses requests of tenants that an owner has just refused, until when the owner has said. Its methods
// may be called by any goroutine.
type refusalCache struct {
	mu       sync.Mutex
	refusals map[string]refusal // by tenant
}

type refusal struct {
	cost       float64
	until      time.Time // it counts
	retryAfter time.Time
}

func newRefusalCache() *refusalCache { return &refusalCache{refusals: map[string]refusal{}} }

// add takes in an owner's refusal. One without a retryAfter is for ever, and counts for that cost alone.
func (c *refusalCache) add(subscriber string, cost float64, now time.Time, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refusals) >= refusalsSwept {
		for name, old := range c.refusals {
			if !now.Before(old.until) {
				delete(c.refusals, name)
			}
		}
	}
	c.refusals[subscriber] = refusal{cost, now.Add(min(retryAfter, maxLocalRefusal)), now.Add(retryAfter)}
}

// find returns the refusal of a request that needs not be asked for; a zero Decision: it has to be.
func (c *refusalCache) find(subscriber string, cost float64, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.refusals[subscriber]
	if !found || cost < known.cost || !now.Before(known.until) {
		return Decision{}
	}
	return Decision{Verdict: Exceeded, RetryAfter: known.retryAfter.Sub(now)}
}
