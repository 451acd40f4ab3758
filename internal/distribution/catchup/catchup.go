// Package catchup decides when a node that lags behind control fetches the replicated state directly from there.
// Usually the node's relay is already sending the state, so the fetch is a last resort for when the relay hangs. The
// fetches of nodes that lag at the same time are spread out: all at once they would fill the links of control and delay
// the chain's own messages.
//
// The package is pure: times are parameters, and the spread is derived from the node's name.
package catchup

import (
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// grace is how far any relay may lag behind control. Raising it delays changes where the relay hangs; lowering it
	// fetches states that the relay is already sending.
	grace = 150 * time.Millisecond
	// fetchInterval is the average interval between two fetches if all nodes lag at once. Raising it spreads them further.
	fetchInterval = 2 * time.Millisecond
	// maxSpread bounds the spread on large sites: a change has to take effect in time there too.
	maxSpread = 600 * time.Millisecond
	// stallTimeout is the time without a further chunk after which the source is assumed to hang.
	stallTimeout = 400 * time.Millisecond
	// maxWait bounds the wait for a source that still delivers chunks, but slowly.
	maxWait = 800 * time.Millisecond
)

// Delay returns how long a node that lags behind a sequence number waits for its source before it fetches the state, on
// a site with the given number of nodes. The delay varies by node and by sequence number.
func Delay(node string, sequence uint64, nodes int) time.Duration {
	spread := min(time.Duration(nodes)*fetchInterval, maxSpread)
	if spread <= 0 {
		return grace
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node + "|" + strconv.FormatUint(sequence, 10))) // a hash never returns an error
	return grace + time.Duration(hash.Sum64()%uint64(spread))
}

// Remaining returns how much longer a node waits before it fetches the state; 0 means now. lagged is how long it has
// lagged, delay the result of Delay, and sinceChunk the time since its source last delivered a chunk of a snapshot.
func Remaining(lagged, delay, sinceChunk time.Duration) time.Duration {
	if lagged < delay {
		return delay - lagged
	}
	return max(0, min(stallTimeout-sinceChunk, maxWait-lagged))
}
