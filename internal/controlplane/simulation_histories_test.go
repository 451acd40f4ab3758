package controlplane

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	faultsPerHistory = 6
	maxFaultDuration = 2500 * time.Millisecond
	maxPauseDuration = 1500 * time.Millisecond
)

// history is the sequence of faults in a simulation.
type history struct {
	seed     uint64
	controls int
	faults   []simulatedFault
	final    bool // it ends with the loss of disks and of all power
}

func (h history) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %d control processes\n", h.seed, h.controls)
	for _, f := range h.faults {
		fmt.Fprintln(&text, f)
	}
	return text.String()
}

// drawHistory generates the history with a number. Most have three control processes, every fifth has five.
func drawHistory(number int) history {
	rng := rand.New(rand.NewPCG(uint64(number), 13))
	h := history{seed: uint64(number), controls: 3}
	if number%5 == 4 {
		h.controls = 5
	}
	kinds := make([]string, 0, len(faultKinds))
	for kind := range faultKinds {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	span := func(most time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(most))).Truncate(time.Millisecond)
	}
	for range faultsPerHistory {
		h.faults = append(h.faults, simulatedFault{
			kind: kinds[rng.IntN(len(kinds))], duration: span(maxFaultDuration), pause: span(maxPauseDuration),
			seed: rng.Uint64(),
		})
	}
	return h
}

// play runs a simulation with the history's faults, and checks that the system recovers.
func (h history) play(t *testing.T) *simulation {
	sim := newSimulation(t, h.seed, h.controls)
	sim.advance(2 * time.Second)
	for _, f := range h.faults {
		sim.record("%s", f)
		faultKinds[f.kind](sim, f, rand.New(rand.NewPCG(f.seed, 17)))
		sim.coverage[f.kind]++
		sim.advance(f.pause)
	}
	if h.final {
		sim.record("losing disks and all power")
		sim.loseDisksAndPower(rand.New(rand.NewPCG(h.seed, 19)))
	}
	sim.heal()
	sim.recover()
	sim.operators.auditAnswers()
	for _, c := range sim.controls {
		c.kill()
	}
	return sim
}

// recover checks that after the faults changes are committed in time, every process returns to the chain, and every agent
// receives the newest version.
func (sim *simulation) recover() {
	before := sim.operators.committed
	if !sim.advanceUntil(recoveryTime, func() bool { return sim.operators.committed > before }) {
		sim.failf("no change was committed within %v after the last fault", recoveryTime)
		return
	}
	sim.advance(settleTime)
	newest := sim.operators.newest.version
	sim.advance(applyTime)
	for _, a := range sim.agents {
		if agentVersion(a) < newest {
			sim.failf("%s still has version %d, %v after version %d was acknowledged", a.node.Name, agentVersion(a), applyTime, newest)
		}
	}
	sim.quiesced = true
	sim.advance(settleTime)
	for _, c := range sim.live() {
		if !c.inService() {
			sim.failf("%s is not back in the chain", c.address)
		}
	}
	for _, a := range sim.agents {
		version := agentVersion(a)
		if version < sim.operators.newest.version || !a.feed.Fresh(nil) {
			sim.failf("%s has version %d, fresh %v; version %d was acknowledged", a.node.Name, version, a.feed.Fresh(nil), sim.operators.newest.version)
		}
	}
	sim.auditSubscribers()
	orders := 0
	for _, a := range sim.agents {
		orders += a.orders
	}
	if orders == 0 || sim.operators.committed == 0 || len(sim.operators.retired) == 0 || len(sim.operators.evacuationCalls) == 0 {
		sim.failf("the history tested too little: %d orders, %d committed changes", orders, sim.operators.committed)
	}
	sim.record("%d changes committed, %d rejected, %d orders with %d fencing tokens", sim.operators.committed, sim.operators.rejected, orders, sim.backend.tokens)
}

// historiesToPlay returns how many histories are played, and the number of the first: usual and 0, unless WORLD_HISTORIES
// and WORLD_FIRST are set.
func historiesToPlay(usual int) (histories, first int) {
	histories = usual
	if more, err := strconv.Atoi(os.Getenv("WORLD_HISTORIES")); err == nil {
		histories = more
	}
	if from, err := strconv.Atoi(os.Getenv("WORLD_FIRST")); err == nil {
		first = from
	}
	return histories, first
}

// Simulations with random histories of faults meet all checks. CI plays the first histories; WORLD_HISTORIES sets
// how many, and WORLD_FIRST from which number on.
func TestDrawnWorldHistories(t *testing.T) {
	histories, first := historiesToPlay(100)
	covered := make(chan map[string]int, histories)
	t.Run("all", func(t *testing.T) {
		for number := first; number < first+histories; number++ {
			t.Run(strconv.Itoa(number), func(t *testing.T) {
				t.Parallel()
				h := drawHistory(number)
				sim := h.play(t)
				if len(sim.failures) > 0 {
					t.Errorf("%s\nhistory:\n%s", strings.Join(sim.failures, "\n"), h)
				}
				covered <- sim.coverage
			})
		}
	})
	close(covered)
	total := map[string]int{}
	for counts := range covered {
		for what, count := range counts {
			total[what] += count
		}
	}
	t.Logf("in %d histories: %v", histories, total)
	// Each of the situations that the histories are meant to test has occurred.
	for _, what := range []string{
		"a call was delayed by a partition", "an operation arrived after its deadline", "a write to disk failed", "power was lost during a write",
		"a second fault came during a repair", "changes were committed while a process was partitioned for 20 s", "a process left the chain",
		"a disk was lost right after a replacement", "a fault affected the head", "a fault affected the tail", "a shared key was rejected",
	} {
		if total[what] == 0 && histories >= 100 {
			t.Errorf("in %d histories it never happened that %s", histories, what)
		}
	}
}

// Each run of a history has the same trace, to the byte.
func TestHistoryIsDeterministic(t *testing.T) {
	is := is.New(t)
	for number := range 6 {
		h := drawHistory(number)
		first, second := h.play(t), h.play(t)
		is.True(first.events > 1000)
		is.Equal(first.events, second.events)
		is.Equal(first.trace.Sum64(), second.trace.Sum64())
	}
}
