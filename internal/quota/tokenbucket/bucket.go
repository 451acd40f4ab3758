package tokenbucket

import (
	"math"
	"time"
)

// Bucket is a tenant's bucket at the owner of its shard. Not safe for concurrent use.
type Bucket struct {
	parameters  Parameters
	level       float64
	outstanding float64
	filledUntil time.Duration
}

// NewBucket returns a bucket that is empty at a moment.
func NewBucket(parameters Parameters, now time.Duration) *Bucket {
	return &Bucket{parameters: parameters, filledUntil: now}
}

// Parameters returns those in force.
func (b *Bucket) Parameters() Parameters { return b.parameters }

// Level returns what could be taken now.
func (b *Bucket) Level(now time.Duration) float64 {
	b.fill(now)
	return b.level
}

// Take takes a cost out of the bucket if it holds so much. The cost is outstanding until it is returned or lapses.
func (b *Bucket) Take(now time.Duration, cost float64) bool {
	b.fill(now)
	if !(cost >= 0 && cost <= b.level) { // also where it is no number
		return false
	}
	b.level -= cost
	b.outstanding += cost
	return true
}

// Wait returns after what time the bucket holds a cost, if nothing is taken meanwhile. It never does where the cost is
// above the capacity: by debt it would, but the bound would not hold.
func (b *Bucket) Wait(now time.Duration, cost float64) (wait time.Duration, ever bool) {
	b.fill(now)
	if !(cost <= b.parameters.Capacity) || b.parameters.RatePerS <= 0 {
		return 0, false
	}
	seconds := max(0, cost-b.level) / b.parameters.RatePerS
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// Return puts back a cost that was taken and is outstanding.
func (b *Bucket) Return(now time.Duration, cost float64) {
	b.fill(now)
	b.settle(cost)
	b.level = min(b.level+cost, b.highestLevel())
}

// Lapse says that a cost can't be returned any more.
func (b *Bucket) Lapse(cost float64) { b.settle(cost) }

// Configure puts other parameters in force. Lower ones clamp the level at once, higher ones don't raise it.
func (b *Bucket) Configure(now time.Duration, parameters Parameters) {
	b.fill(now)
	b.parameters = parameters
	b.level = min(b.level, b.highestLevel())
}

// fill adds what has come in until now. A moment before the last one changes nothing.
func (b *Bucket) fill(now time.Duration) {
	if now <= b.filledUntil {
		return
	}
	elapsed := now - b.filledUntil
	b.filledUntil = now
	b.level = max(b.level, min(b.level+b.parameters.RatePerS*elapsed.Seconds(), b.highestLevel()))
}

// highestLevel is the capacity, or what the outstanding costs leave of the exposure.
func (b *Bucket) highestLevel() float64 {
	return max(0, min(b.parameters.Capacity, b.parameters.Exposure-b.outstanding))
}

func (b *Bucket) settle(cost float64) { b.outstanding = max(0, b.outstanding-cost) }
