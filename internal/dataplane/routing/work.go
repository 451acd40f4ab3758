package routing

import (
	"math"
	"time"
)

const (
	// prefillTime is the approximate time that a backend takes for a token of a prompt. Only the ratio of two estimates
	// matters, not their absolute values.
	prefillTime = 52 * time.Microsecond
	// decodeTime is the same for a token of the answer.
	decodeTime = 200 * time.Microsecond
	// lowestPriority is the lowest priority that backends support.
	lowestPriority = 9
)

// EstimateWork estimates the work of a request for a model backend from the number of tokens in its prompt and the
// maximum number in its answer.
func EstimateWork(promptTokens, outputTokens int) time.Duration {
	work := time.Duration(max(0, promptTokens))*prefillTime + time.Duration(max(0, outputTokens))*decodeTime
	return max(work, time.Millisecond)
}

// BackendPriority returns the priority of a request that is sent to a backend; 0 is served first. It is the priority of
// the request's route, lowered for long latency targets, as requests with more time can wait for those with less. A
// request that has waited for longer than its target misses it anyway and goes last: others can still meet theirs.
func BackendPriority(latencyTarget time.Duration, priority int, waited time.Duration) int {
	if waited > latencyTarget {
		return lowestPriority
	}
	slack := math.Log2(max(1, latencyTarget.Seconds()))
	return min(max(priority, 0)+int(math.Round(slack)), lowestPriority)
}
