package routing

import (
	"math"
	"time"
)

const (
	// prefillTime is about how long a backend takes for a token of a prompt: estimates of work need
	// to be right among themselves only.
	prefillTime = 52 * time.Microsecond
	// decodeTime is the same for a token of the answer.
	decodeTime = 200 * time.Microsecond
	// lowestPriority is the last that backends know.
	lowestPriority = 9
)

// EstimateWork is the work that a request asks of a model backend, by the tokens of its prompt and those that its
// answer may have.
func EstimateWork(promptTokens, outputTokens int) time.Duration {
	work := time.Duration(max(0, promptTokens))*prefillTime + time.Duration(max(0, outputTokens))*decodeTime
	return max(work, time.Millisecond)
}

// BackendPriority is the priority that a backend is told of a request, 0 first: that of its route, and lower the more
// time its latency target leaves, as what has time can wait for what has none. A request that has waited for longer
// than its target misses it anyway, and goes last: others can still meet theirs.
func BackendPriority(latencyTarget time.Duration, priority int, waited time.Duration) int {
	if waited > latencyTarget {
		return lowestPriority
	}
	slack := math.Log2(max(1, latencyTarget.Seconds()))
	return min(max(priority, 0)+int(math.Round(slack)), lowestPriority)
}
