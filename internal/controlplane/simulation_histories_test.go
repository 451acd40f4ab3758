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

// history is the faults of a simulation.
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

// drawHistory draws the history of a number: three control processes mostly, or five.
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
			kind: kinds[rng.IntN(len(kinds))], lasts: span(maxFaultDuration), rest: span(maxPauseDuration),
			seed: rng.Uint64(),
		})
	}
	return h
}

// play plays a history.
func (h history) play(t *testing.T) *simulation {
	sim := newSimulation(t, h.seed, h.controls)
	sim.advance(2 * time.Second)
	for _, f := range h.faults {
		sim.record("%s", f)
		faultKinds[f.kind](sim, f, rand.New(rand.NewPCG(f.seed, 17)))
		sim.coverage[f.kind]++
		sim.advance(f.rest)
	}
	if h.final {
		sim.record("disks and all power are lost")
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

// recover checks that within the time for it changes are taken, every process is back, and every agent knows all.
func (sim *simulation) recover() {
	before := sim.operators.taken
	if !sim.advanceUntil(recoveryTime, func() bool { return sim.operators.taken > before }) {
		sim.failf("no change is taken within %v of the last fault", recoveryTime)
		return
	}
	sim.advance(settleTime)
	newest := sim.operators.newest.version
	sim.advance(applyTime)
	for _, a := range sim.agents {
		if agentVersion(a) < newest {
			sim.failf("%s knows version %d %v after %d was acknowledged", a.node.Name, agentVersion(a), applyTime, newest)
		}
	}
	sim.calm = true
	sim.advance(settleTime)
	for _, c := range sim.live() {
		if !c.inService() {
			sim.failf("%s is not back in the chain", c.address)
		}
	}
	for _, a := range sim.agents {
		version := agentVersion(a)
		if version < sim.operators.newest.version || !a.feed.Fresh(nil) {
			sim.failf("%s knows version %d, fresh %v; %d was acknowledged", a.node.Name, version, a.feed.Fresh(nil), sim.operators.newest.version)
		}
	}
	sim.auditSubscribers()
	orders := 0
	for _, a := range sim.agents {
		orders += a.orders
	}
	if orders == 0 || sim.operators.taken == 0 || len(sim.operators.retired) == 0 || len(sim.operators.switches) == 0 {
		sim.failf("the history had no life in it: %d orders, %d changes", orders, sim.operators.taken)
	}
	sim.record("%d taken, %d refused, %d orders under %d tokens", sim.operators.taken, sim.operators.refused, orders, sim.backend.tokens)
}

// historiesToPlay is how many histories are played, from which number on: so many where WORLD_HISTORIES and WORLD_FIRST
// don't say otherwise.
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

// Worlds live through drawn histories. CI plays the first ones; more by WORLD_HISTORIES, from WORLD_FIRST on.
func TestDrawnWorldHistories(t *testing.T) {
	histories, first := historiesToPlay(100)
	crossed := make(chan map[string]int, histories)
	t.Run("all", func(t *testing.T) {
		for number := first; number < first+histories; number++ {
			t.Run(strconv.Itoa(number), func(t *testing.T) {
				t.Parallel()
				h := drawHistory(number)
				sim := h.play(t)
				if len(sim.failures) > 0 {
					t.Errorf("%s\nthe history:\n%s", strings.Join(sim.failures, "\n"), h)
				}
				crossed <- sim.coverage
			})
		}
	})
	close(crossed)
	total := map[string]int{}
	for counts := range crossed {
		for what, count := range counts {
			total[what] += count
		}
	}
	t.Logf("in %d histories: %v", histories, total)
	// Each thing that the histories are about did happen.
	for _, what := range []string{
		"a call was held up", "an order came too late", "a write was refused", "power was lost in a write",
		"a second loss met a repair", "changes were taken while one was cut off for 20 s", "a process left the chain",
		"a disk was lost right after a replacement", "the head was met", "the tail was met", "a shared key was refused",
	} {
		if total[what] == 0 && histories >= 100 {
			t.Errorf("in %d histories it never happened that %s", histories, what)
		}
	}
}

// A history is the same each time, to the byte.
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
