package routing

import (
	"math"
	"time"
)

const (
	// readPace is how long a token of a prompt takes to be read, about: hints of work need
	// to be right among themselves only.
	readPace = 52 * time.Microsecond
	// writePace is the same for a token that comes out.
	writePace = 200 * time.Microsecond
	// lowestPriority is the last that backends know.
	lowestPriority = 9
)

// EstimateWork is the work that a request asks of a model backend, by the tokens of its prompt and those that
// are to come out at most.
func EstimateWork(promptTokens, outputTokens int) time.Duration {
	work := time.Duration(max(0, promptTokens))*readPace + time.Duration(max(0, outputTokens))*writePace
	return max(work, time.Millisecond)
}

// BackendPriority is the priority that a backend is told of a request, 0 first: that of its route, and later the more
// time its aim leaves, as what has time can wait for what has none. What has waited for longer than its aim is
// late anyway, and goes last: others can still be in time.
func BackendPriority(aim time.Duration, priority int, waited time.Duration) int {
	if waited > aim {
		return lowestPriority
	}
	patience := math.Log2(max(1, aim.Seconds()))
	return min(max(priority, 0)+int(math.Round(patience)), lowestPriority)
}
