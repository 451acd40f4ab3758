package tokenbucket

import (
	"math"
	"time"
)

// Bucket is the token bucket of a tenant at the owner of its shard. Not safe for concurrent use.
type Bucket struct {
	parameters  Parameters
	level       float64
	outstanding float64
	filledUntil time.Duration
}

// NewBucket returns a bucket that is empty at the time now.
func NewBucket(parameters Parameters, now time.Duration) *Bucket {
	return &Bucket{parameters: parameters, filledUntil: now}
}

// Parameters returns the current parameters.
func (b *Bucket) Parameters() Parameters { return b.parameters }

// Level returns the highest cost that can be taken now.
func (b *Bucket) Level(now time.Duration) float64 {
	b.fill(now)
	return b.level
}

// Take takes a cost out of the bucket if the level covers it. The cost is outstanding until Return or Lapse.
func (b *Bucket) Take(now time.Duration, cost float64) bool {
	b.fill(now)
	if !(cost >= 0 && cost <= b.level) { // also false for NaN
		return false
	}
	b.level -= cost
	b.outstanding += cost
	return true
}

// Wait returns the time until the level covers a cost if nothing else is taken. ever is false if the cost is above the
// capacity: granting it on credit would break the bound.
func (b *Bucket) Wait(now time.Duration, cost float64) (wait time.Duration, ever bool) {
	b.fill(now)
	if !(cost <= b.parameters.Capacity) || b.parameters.RatePerS <= 0 {
		return 0, false
	}
	seconds := max(0, cost-b.level) / b.parameters.RatePerS
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// Return puts an outstanding cost back into the bucket.
func (b *Bucket) Return(now time.Duration, cost float64) {
	b.fill(now)
	b.settle(cost)
	b.level = min(b.level+cost, b.highestLevel())
}

// Lapse ends the time in which an outstanding cost can be returned.
func (b *Bucket) Lapse(cost float64) { b.settle(cost) }

// Configure changes the parameters. Lower ones clamp the level at once, higher ones don't raise it.
func (b *Bucket) Configure(now time.Duration, parameters Parameters) {
	b.fill(now)
	b.parameters = parameters
	b.level = min(b.level, b.highestLevel())
}

// fill adds what has flowed in since the last call. A time before that of the last call changes nothing.
func (b *Bucket) fill(now time.Duration) {
	if now <= b.filledUntil {
		return
	}
	elapsed := now - b.filledUntil
	b.filledUntil = now
	b.level = max(b.level, min(b.level+b.parameters.RatePerS*elapsed.Seconds(), b.highestLevel()))
}

// highestLevel returns the capacity or, if that is less, the exposure minus the outstanding costs.
func (b *Bucket) highestLevel() float64 {
	return max(0, min(b.parameters.Capacity, b.parameters.Exposure-b.outstanding))
}

func (b *Bucket) settle(cost float64) { b.outstanding = max(0, b.outstanding-cost) }
