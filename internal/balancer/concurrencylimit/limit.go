// Package concurrencylimit says how much may be in flight at one backend, for one of several proxies that
// share it: a limit that grows while answers come in their usual time and is decreased when they
// are late, by additive increase and multiplicative decrease (AIMD: Chiu and Jain, "Analysis of the increase and
// decrease algorithms for congestion avoidance in computer networks", 1989).
//
// Each of the sharers of a backend has its part of the limit, down to less than one request: then the
// caller spaces attempts out. Each also sees only a part of the answers, and learns faster by so much, or
// all together would be too slow.
//
// It is pure, and keeps no state: a limit is a number that its caller owns. It never decides
// what is late, nor which backend a request goes to: package balancer does.
package concurrencylimit

import "math"

const (
	decreaseFactor      = 0.9 // a late attempt decreases the limit to this part
	increaseStep        = 0.5 // one in time adds this,
	increaseDivisor     = 40  // or the limit divided by this, where that is more,
	minUtilization      = 0.6 // if so much of the limit was used
	headroom            = 1.5 // times the load that an unused limit decays to
	sharersAtNormalRate = 4   // sharers of a backend up to which each learns at the normal rate
	initialLimit        = 8   // the limit of a backend that is new here, for all its sharers
)

// Initial is the limit of a backend of which nothing is known; sharers is how many proxies
// use it, 1 or more, as in all functions here.
func Initial(sharers float64) float64 { return initialLimit / sharers }

// maxLimit bounds what is believed of a limit that another process had learned.
const maxLimit = 1 << 16

// Clamp bounds a limit that another process had learned.
func Clamp(limit, sharers float64) float64 { return min(max(limit, 1/sharers), maxLimit) }

// learningRate is how many times faster one of so many sharers learns.
func learningRate(sharers float64) float64 {
	return min(max(1, sharers/sharersAtNormalRate), sharersAtNormalRate)
}

// Decrease lowers a limit for an attempt that is late; weight is how far it speaks of the backend,
// from 0 to 1. The limit itself is lowered, not the load: one that was alone and late says
// little of an overload.
func Decrease(limit, sharers, weight float64) float64 {
	return max(1/sharers, limit*math.Pow(decreaseFactor, learningRate(sharers)*weight))
}

// Increase raises a limit for an answer that was not late, if the load was so high that the
// limit matters. A limit a little under two allows a load of one, which uses little over
// half of it: by the ratio alone it would never grow.
func Increase(limit, load, sharers float64) float64 {
	if load <= min(limit*minUtilization, limit-1) {
		return limit
	}
	k := learningRate(sharers)
	return limit + max(k*increaseStep/sharers, k*limit/increaseDivisor)
}

// DecayTowardsUse lowers a limit towards what the load needs, by one part in divisor. A limit far
// above the need lets a burst overload the backend before answers tell.
func DecayTowardsUse(limit, load, sharers, divisor float64) float64 {
	if need := max(Initial(sharers), headroom*load); limit > need {
		limit += (need - limit) / divisor
	}
	return limit
}
