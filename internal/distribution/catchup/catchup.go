// Package catchup decides when a node that lags behind control fetches the replicated state there itself. Its relay has
// the state on its way, mostly: the fetch is the last resort, for where that hangs. Nodes that lag together are spread
// over time, so that their fetches don't fill the links of control, behind which the chain's own messages would wait.
//
// The package is pure: times come as parameters, and the spread follows from the node's name.
package catchup

import (
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// grace is how much later than control a relay may have a change in any case. Raising it delays changes where the
	// relay hangs, lowering it fetches states that are on their way already.
	grace = 150 * time.Millisecond
	// fetchInterval is between two fetches on average, if all nodes lag at once. Raising it spreads them further.
	fetchInterval = 2 * time.Millisecond
	// maxSpread bounds that, however many nodes there are: a change has to be in force in time all the same.
	maxSpread = 600 * time.Millisecond
	// stallTimeout is after what time without a further chunk the source counts as one that hangs.
	stallTimeout = 400 * time.Millisecond
	// maxWait bounds the wait for a source that delivers, however slowly.
	maxWait = 800 * time.Millisecond
)

// Delay returns for how long a node that lags behind a sequence number leaves it to its source, among so many nodes.
// Nodes differ in it, and each node from one sequence number to the next.
func Delay(node string, sequence uint64, nodes int) time.Duration {
	spread := min(time.Duration(nodes)*fetchInterval, maxSpread)
	if spread <= 0 {
		return grace
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node + "|" + strconv.FormatUint(sequence, 10))) // it never fails
	return grace + time.Duration(hash.Sum64()%uint64(spread))
}

// Remaining returns how much longer a node waits that has lagged for some time, with its delay and the time since the
// source delivered a chunk of a snapshot; 0: it fetches the state now.
func Remaining(lagged, delay, sinceChunk time.Duration) time.Duration {
	if lagged < delay {
		return delay - lagged
	}
	return max(0, min(stallTimeout-sinceChunk, maxWait-lagged))
}
