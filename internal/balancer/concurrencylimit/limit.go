// Package concurrencylimit says how much may be out at one backend, as one of several proxies that
// share it: a bound that grows while answers come in their usual time and is cut when they
// are late, by addition and multiplication (Chiu and Jain, "Analysis of the increase and
// decrease algorithms for congestion avoidance in computer networks", 1989).
//
// All sharers of a backend push as one, so each has its part of what it may hold, down to
// less than one request: then the caller spaces attempts out. Each also sees a part of the
// answers alone, and learns faster by so much, or all together would be too slow.
//
// It is pure, and keeps no state: a limit is a number that its caller owns. It never says
// what is late, nor which backend a request goes to: package balancer does.
package concurrencylimit

import "math"

const (
	decreaseFactor      = 0.9 // a late attempt cuts the limit to this share
	increaseStep        = 0.5 // one in time adds this, or, where that is more,
	increaseDivisor     = 40  // such a part of the limit,
	minUtilization      = 0.6 // if so much of the limit was used
	headroom            = 1.5 // times what is out that the limit sinks to
	sharersAtNormalRate = 4   // sharers of a backend that need not learn faster than one
	initialLimit        = 8   // the limit of a backend that is new here, for all its sharers
)

// Initial is the limit of a backend of which nothing is known; sharers is how many proxies
// use it, 1 or more, as in all that follows.
func Initial(sharers float64) float64 { return initialLimit / sharers }

// maxLimit bounds what is believed of a limit that another process had learnt.
const maxLimit = 1 << 16

// Clamp is a limit that another process had learnt, as far as it can be one.
func Clamp(limit, sharers float64) float64 { return min(max(limit, 1/sharers), maxLimit) }

// learningRate is how much faster one of so many sharers learns.
func learningRate(sharers float64) float64 {
	return min(max(1, sharers/sharersAtNormalRate), sharersAtNormalRate)
}

// Decrease cuts a limit for an attempt that is late; weight is how far it speaks of the backend,
// from 0 to 1. The limit itself is cut, not what was out: one that was alone and late says
// little of a crowd.
func Decrease(limit, sharers, weight float64) float64 {
	return max(1/sharers, limit*math.Pow(decreaseFactor, learningRate(sharers)*weight))
}

// Increase lets a limit grow for an answer that was not late, if so much was out that the
// limit matters. Danger: a limit a little under two lets one out, which uses little over
// half of it: it would stay.
func Increase(limit, out, sharers float64) float64 {
	if out <= min(limit*minUtilization, limit-1) {
		return limit
	}
	k := learningRate(sharers)
	return limit + max(k*increaseStep/sharers, k*limit/increaseDivisor)
}

// DecayTowardsUse lets a limit sink towards what is needed, by one part in over. Danger: a limit far
// above the need lets a burst tip the backend before answers tell.
func DecayTowardsUse(limit, out, sharers, over float64) float64 {
	if need := max(Initial(sharers), headroom*out); limit > need {
		limit += (need - limit) / over
	}
	return limit
}
