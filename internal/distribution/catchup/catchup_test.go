package catchup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against simultaneous fetches by all nodes, which filled the links of control on the largest site: at any site
// size, no tenth of a second has more than twice the fetches that fetchInterval allows on average.
func TestFetchesAreSpreadOverTime(t *testing.T) {
	const window = 100 * time.Millisecond
	for _, nodes := range []int{9, 42, 295} {
		for sequence := range uint64(20) {
			counts := map[time.Duration]int{}
			for node := range nodes {
				counts[Delay(fmt.Sprint("edge-", node), sequence, nodes)/window]++
			}
			for at, count := range counts {
				if limit := 2 * int(window/fetchInterval); count > limit {
					t.Errorf("%d nodes: %d fetches within the %v that start at %v", nodes, count, window, at*window)
				}
			}
		}
	}
}

func TestDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(0, 10_000).Draw(t, "nodes")
		delay := Delay(rapid.String().Draw(t, "node"), rapid.Uint64().Draw(t, "sequence"), nodes)
		if delay < grace || delay > grace+min(maxSpread, time.Duration(nodes)*fetchInterval) {
			t.Fatalf("delay %v is out of bounds for %d nodes", delay, nodes)
		}
	})
}

// A node waits for its delay, and longer while chunks arrive, but never beyond maxWait.
func TestWaitEndsInTime(t *testing.T) {
	is := is.New(t)
	const long = time.Hour // since the last chunk: none is in flight
	is.Equal(Remaining(0, 200*time.Millisecond, long), 200*time.Millisecond)
	is.Equal(Remaining(200*time.Millisecond, 200*time.Millisecond, long), time.Duration(0))
	is.Equal(Remaining(300*time.Millisecond, 200*time.Millisecond, 100*time.Millisecond), stallTimeout-100*time.Millisecond)
	is.Equal(Remaining(300*time.Millisecond, 200*time.Millisecond, stallTimeout), time.Duration(0))
	is.Equal(Remaining(maxWait-time.Millisecond, 0, 0), time.Millisecond)
	is.Equal(Remaining(maxWait, 0, 0), time.Duration(0))
}
