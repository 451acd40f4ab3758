package placement

import "time"

// storeBurst is how many loads from the store may start at once: its limit allows three loads above the rate.
const storeBurst = 3

// tokenBucket limits the rate of loads from the store (Turner, 1986). It starts empty, so that consecutive planners
// together stay within the limit.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// take takes a token, if there is one, and reports whether it did. perSecond is the refill rate.
func (b *tokenBucket) take(now time.Duration, perSecond float64) bool {
	b.tokens = min(storeBurst, b.tokens+perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
