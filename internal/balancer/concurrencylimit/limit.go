// Package concurrencylimit computes how many requests one of several proxies that share a backend may have in flight
// there. The limit grows while answers arrive in their usual time and shrinks when they are late, by additive increase
// and multiplicative decrease (AIMD: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
// avoidance in computer networks", 1989).
//
// Each proxy that shares a backend has its part of the limit, which may be less than one request: then the caller
// spaces attempts out. Each proxy also sees only a part of the answers. It therefore learns faster by a corresponding
// factor; otherwise all proxies together would react too slowly.
//
// The package is pure and keeps no state: a limit is a number that its caller owns. Package balancer decides which
// attempts are late and which backend a request goes to.
package concurrencylimit

import "math"

const (
	decreaseFactor      = 0.9 // factor of the limit for a late attempt
	increaseStep        = 0.5 // an attempt in time adds this,
	increaseDivisor     = 40  // or the limit divided by this, whichever is more,
	minUtilization      = 0.6 // if more than this fraction of the limit was used
	headroom            = 1.5 // multiple of the load to which an unused limit decays
	sharersAtNormalRate = 4   // sharers of a backend up to which each learns at the normal rate
	initialLimit        = 8   // limit of a new backend, for all its sharers together
)

// Initial returns the limit of a backend about which nothing is known. As in all functions here, sharers is the number
// of proxies that use the backend, 1 or more.
func Initial(sharers float64) float64 { return initialLimit / sharers }

// maxLimit bounds a limit that another process had learned.
const maxLimit = 1 << 16

// Clamp bounds a limit that another process had learned.
func Clamp(limit, sharers float64) float64 { return min(max(limit, 1/sharers), maxLimit) }

// learningRate returns the factor by which each of the given number of sharers learns faster.
func learningRate(sharers float64) float64 {
	return min(max(1, sharers/sharersAtNormalRate), sharersAtNormalRate)
}

// Decrease lowers a limit because of a late attempt; weight, from 0 to 1, is how strongly the attempt counts as
// evidence on the backend. The result depends on the limit and not on the load, since an attempt that was late while
// nothing else was in flight says little about overload.
func Decrease(limit, sharers, weight float64) float64 {
	return max(1/sharers, limit*math.Pow(decreaseFactor, learningRate(sharers)*weight))
}

// Increase raises a limit because of an answer in time, if the load was high enough for the limit to matter. A limit
// slightly under two allows a load of one, which is little over half of it: by the ratio alone it would never grow.
func Increase(limit, load, sharers float64) float64 {
	if load <= min(limit*minUtilization, limit-1) {
		return limit
	}
	k := learningRate(sharers)
	return limit + max(k*increaseStep/sharers, k*limit/increaseDivisor)
}

// DecayTowardsUse lowers a limit towards what the load needs, by 1/divisor of the difference. A limit far above the
// need would let a burst overload the backend before the answers show it.
func DecayTowardsUse(limit, load, sharers, divisor float64) float64 {
	if need := max(Initial(sharers), headroom*load); limit > need {
		limit += (need - limit) / divisor
	}
	return limit
}
