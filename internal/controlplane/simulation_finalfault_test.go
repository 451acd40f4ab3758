package controlplane

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/distribution/watch"
)

const (
	// faultsBeforeFinal is the number of other faults before the final one.
	faultsBeforeFinal = 2
	// maxAckDelay bounds the time between an acknowledgement and the final fault.
	maxAckDelay = 40 * time.Millisecond
	// maxAgentOutage bounds how long an agent's machine is without power.
	maxAgentOutage = 900 * time.Millisecond
)

// losePower stops an agent, which has no disk, and starts it again with a new incarnation after an outage.
func (a *simulatedAgent) losePower(outage time.Duration) {
	incarnation := a.node.Incarnation + 1
	a.node = &api.Node{Name: a.node.Name, Address: a.node.Address, Incarnation: incarnation}
	a.holder = lease.HolderID(a.node.Name, incarnation)
	a.feed, a.cursor = watch.New(fmt.Sprintf("%s/%d", a.node.Name, incarnation), a.sim.clock), watch.NewCursor(nil)
	a.watchPending, a.staleSince, a.sequence, a.fencingToken, a.leaseExpiry = false, 0, 0, 0, 0
	a.frozen = true
	a.sim.after(outage, func() {
		if a.node.Incarnation == incarnation {
			a.frozen = false
		}
	})
}

// loseDisksAndPower wipes as many disks as the chain tolerates at once, right after an operation was acknowledged, and at
// the same moment cuts the power of all machines, including those of the agents.
func (sim *simulation) loseDisksAndPower(rng *rand.Rand) {
	sim.heal()
	sim.advance(settleTime)
	acknowledged := func() int { return sim.operators.committed + len(sim.operators.retired) }
	before := acknowledged()
	if !sim.advanceUntil(recoveryTime, func() bool { return acknowledged() > before }) {
		sim.failf("no operation was acknowledged within %v before the final fault", recoveryTime)
	}
	sim.advance(time.Duration(rng.Int64N(int64(maxAckDelay))))
	live := sim.live()
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	lost := live[:(len(live)-1)/2]
	status := chainStatusOf(nil)
	for _, c := range live {
		if c.inService() {
			status = chainStatusOf(c.replica)
		}
	}
	for _, c := range lost {
		if c.address == status.Head {
			sim.coverage["the head's disk was lost"]++
		}
		if c.address == status.Tail {
			sim.coverage["the tail's disk was lost"]++
		}
		c.wipe()
	}
	if len(lost) > 1 {
		sim.coverage["two disks were lost"]++
	}
	sim.operators.losePower()
	for _, a := range sim.agents {
		a.losePower(time.Duration(rng.Int64N(int64(maxAgentOutage))))
	}
	sim.advance(maxAgentOutage)
}

// drawFinalHistory generates the history with a number, which ends with the loss of disks and of all power.
func drawFinalHistory(number int) history {
	h := drawHistory(number)
	h.controls = 3 + 2*(number%2)
	h.faults, h.final = h.faults[:faultsBeforeFinal], true
	return h
}

// Guards against the loss of acknowledged operations when, after other faults, disks are lost and all other machines lose
// power at the same moment, including those outside the chain. CI plays the first histories; WORLD_HISTORIES sets
// how many, and WORLD_FIRST from which number on.
func TestNothingAcknowledgedIsLostWithDisksAndAllPower(t *testing.T) {
	histories, first := historiesToPlay(30)
	covered := make(chan map[string]int, histories)
	t.Run("all", func(t *testing.T) {
		for number := first; number < first+histories; number++ {
			t.Run(strconv.Itoa(number), func(t *testing.T) {
				t.Parallel()
				h := drawFinalHistory(number)
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
	for _, what := range []string{"two disks were lost", "the head's disk was lost", "the tail's disk was lost"} {
		if total[what] == 0 && histories >= 30 {
			t.Errorf("in %d histories it never happened that %s", histories, what)
		}
	}
}
