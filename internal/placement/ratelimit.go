package placement

import "time"

// storeBurst is how many loads from the store may begin at once: its rate limit allows three more than its rate.
const storeBurst = 3

// tokenBucket limits the rate of loads from the store (Turner, 1986). It starts empty, so that planners that start one
// after the other stay within the limit together.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// take takes a token where there is one. perSecond is the rate at which tokens come.
func (b *tokenBucket) take(now time.Duration, perSecond float64) bool {
	b.tokens = min(storeBurst, b.tokens+perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
