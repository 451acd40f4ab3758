package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// simulatedFault is one fault in a simulation.
type simulatedFault struct {
	kind            string
	duration, pause time.Duration
	seed            uint64 // of the random choices within the fault
}

func (f simulatedFault) String() string {
	return fmt.Sprintf("%s duration=%s pause=%s seed=%d", f.kind, f.duration, f.pause, f.seed)
}

const (
	settleTime = 4 * time.Second
	// recoveryTime is the time within which the system has to recover after the last fault.
	recoveryTime = 10 * time.Second
	// longPartition is the length of a network partition on the worst days of users.
	longPartition = 20 * time.Second
)

// live returns the machines that have not been replaced, also if they are down at present.
func (sim *simulation) live() []*simulatedControl {
	return slices.DeleteFunc(slices.Clone(sim.controls), func(c *simulatedControl) bool { return c.replaced })
}

// setIsolated begins or ends a partition in both directions between a machine and others.
func (sim *simulation) setIsolated(c *simulatedControl, others []string, partitioned bool) {
	for _, other := range others {
		if other != c.address {
			sim.setPartitioned(c.address, other, partitioned)
			sim.setPartitioned(other, c.address, partitioned)
		}
	}
}

// controlAddresses returns the addresses of all control machines.
func (sim *simulation) controlAddresses() []string {
	var all []string
	for _, c := range sim.controls {
		all = append(all, c.address)
	}
	return all
}

// clientAddresses returns the addresses of agents and operators.
func (sim *simulation) clientAddresses() []string {
	all := []string{"operator"}
	for _, a := range sim.agents {
		all = append(all, a.node.Name)
	}
	return all
}

// pick chooses a machine at random, with a higher probability for the head and the tail.
func (sim *simulation) pick(rng *rand.Rand) *simulatedControl {
	live := sim.live()
	status := chainStatusOf(nil)
	for _, c := range live {
		if c.up && c.replica != nil && c.replica.Node().Connected() {
			status = chainStatusOf(c.replica)
		}
	}
	switch rng.IntN(3) {
	case 0:
		if c := sim.controlAt(status.Head); c != nil {
			sim.coverage["a fault affected the head"]++
			return c
		}
	case 1:
		if c := sim.controlAt(status.Tail); c != nil {
			sim.coverage["a fault affected the tail"]++
			return c
		}
	}
	return live[rng.IntN(len(live))]
}

// restart kills a process and starts it again after some downtime.
func (sim *simulation) restart(c *simulatedControl, down time.Duration) {
	c.kill()
	sim.advance(down)
	if !c.up && !c.replaced {
		c.start()
	}
}

// heal ends all faults, and starts the processes that are down.
func (sim *simulation) heal() {
	links := make([]direction, 0, len(sim.partitioned))
	for l := range sim.partitioned {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b direction) int { return strings.Compare(a.from+">"+a.to, b.from+">"+b.to) })
	for _, l := range links {
		sim.setPartitioned(l.from, l.to, false)
	}
	sim.loss, sim.replyLoss = 0, 0
	for _, c := range sim.controls {
		c.fullDisk, c.slowDisk, c.writesUntilPowerLoss = false, 0, 0
		if c.frozen {
			c.resume()
		}
		if !c.up && !c.replaced {
			c.start()
		}
	}
	for _, a := range sim.agents {
		a.frozen = false
	}
}

// faultKinds are the kinds of faults by name. Histories draw from the sorted names, so that a rename can change every
// history.
var faultKinds = map[string]func(sim *simulation, f simulatedFault, rng *rand.Rand){
	"kill": func(sim *simulation, f simulatedFault, rng *rand.Rand) { sim.restart(sim.pick(rng), f.duration) },
	"kill-some": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		for _, c := range sim.live() {
			if rng.IntN(2) == 0 {
				c.kill()
			}
		}
		sim.advance(f.duration)
		sim.heal()
	},
	"lose-power": func(sim *simulation, f simulatedFault, _ *rand.Rand) {
		sim.operators.losePower()
		sim.advance(f.duration)
	},
	"lose-power-in-a-write": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.pick(rng).writesUntilPowerLoss = 1 + rng.IntN(6)
		sim.advance(f.duration)
		sim.heal()
	},
	"lose-disk": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		c := sim.pick(rng)
		c.wipe()
		sim.advance(f.duration)
		c.start()
		sim.advance(settleTime)
	},
	"lose-disk-and-power": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime + f.duration/4)
		c := sim.pick(rng)
		c.wipe()
		sim.operators.losePower()
		sim.advance(settleTime)
	},
	// A disk is lost, and while its machine is being brought up to date another one is killed, or cut off.
	"second-loss": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		c := sim.pick(rng)
		c.wipe()
		sim.advance(f.duration / 4)
		c.start()
		if sim.advanceUntil(2*time.Second, func() bool { return c.replica != nil && c.replica.Node().View().GetNumber() > 0 }) {
			sim.coverage["a second fault came during a repair"]++
		}
		sim.advance(time.Duration(rng.IntN(500)) * time.Millisecond)
		other := sim.pick(rng)
		if other != c {
			if rng.IntN(2) == 0 {
				sim.restart(other, f.duration)
			} else {
				sim.setIsolated(other, sim.controlAddresses(), true)
				sim.advance(f.duration)
			}
		}
		sim.heal()
		sim.advance(settleTime)
	},
	"freeze": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.pick(rng).freeze(f.duration)
		sim.advance(f.duration)
	},
	"freeze-all": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		for _, c := range sim.live() {
			c.freeze(f.duration + time.Duration(rng.IntN(300))*time.Millisecond)
		}
		sim.advance(f.duration + 300*time.Millisecond)
	},
	"freeze-agent": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		a := sim.agents[rng.IntN(len(sim.agents))]
		a.frozen = true
		sim.advance(2 * f.duration)
		a.frozen = false
	},
	// A CPU quota: the process is frozen for most of each period of 100 ms.
	"quota": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		for end := sim.now + f.duration; sim.now < end; sim.advance(100 * time.Millisecond) {
			c.freeze(time.Duration(60+rng.IntN(39)) * time.Millisecond)
		}
	},
	"full-disk": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		c.fullDisk = true
		sim.advance(f.duration)
		c.fullDisk = false
	},
	"slow-disk": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		c.slowDisk = time.Duration(10+rng.IntN(60)) * time.Millisecond
		sim.advance(f.duration)
		c.slowDisk = 0
	},
	"cut": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		others := sim.controlAddresses()
		if rng.IntN(2) == 0 { // cut off from clients, too
			others = append(others, sim.clientAddresses()...)
		}
		sim.setIsolated(c, others, true)
		sim.advance(f.duration)
		sim.setIsolated(c, others, false)
	},
	"long-cut": func(sim *simulation, _ simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		sim.setIsolated(c, sim.controlAddresses(), true)
		before := sim.operators.committed
		sim.advance(longPartition)
		if sim.operators.committed > before {
			sim.coverage["changes were committed while a process was partitioned for 20 s"]++
		}
		sim.setIsolated(c, sim.controlAddresses(), false)
	},
	"cut-halves": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		live := sim.live()
		rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		for i, a := range live {
			for j, b := range live {
				if (i < len(live)/2) != (j < len(live)/2) {
					sim.setPartitioned(a.address, b.address, true)
				}
			}
		}
		sim.advance(2 * f.duration)
		sim.heal()
	},
	// A partition between a process and all others, in the inbound direction only.
	"hears-nobody": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		for _, other := range sim.controlAddresses() {
			if other != c.address {
				sim.setPartitioned(other, c.address, true)
			}
		}
		sim.advance(f.duration)
		sim.heal()
	},
	// The same in the outbound direction only.
	"is-not-heard": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		for _, other := range sim.controlAddresses() {
			if other != c.address {
				sim.setPartitioned(c.address, other, true)
			}
		}
		sim.advance(f.duration)
		sim.heal()
	},
	"cut-one-way": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		all := append(sim.controlAddresses(), sim.clientAddresses()...)
		from, to := all[rng.IntN(len(all))], sim.pick(rng).address
		sim.setPartitioned(from, to, true)
		sim.advance(f.duration)
		sim.setPartitioned(from, to, false)
	},
	"cut-and-restart": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c, other := sim.pick(rng), sim.pick(rng)
		sim.setIsolated(c, sim.controlAddresses(), true)
		sim.advance(f.duration / 2)
		if other != c {
			sim.restart(other, 200*time.Millisecond)
		}
		sim.advance(f.duration / 2)
		sim.heal()
	},
	"lose-datagrams": func(sim *simulation, f simulatedFault, _ *rand.Rand) {
		sim.loss = 0.3
		sim.advance(f.duration)
		sim.loss = 0
	},
	"lose-answers": func(sim *simulation, f simulatedFault, _ *rand.Rand) {
		sim.replyLoss = 0.7
		sim.advance(2 * f.duration)
		sim.replyLoss = 0
	},
	// A process is shut down, and leaves the chain first.
	"leave": func(sim *simulation, f simulatedFault, rng *rand.Rand) { sim.leave(sim.pick(rng), f, false) },
	"leave-and-cut": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		other := sim.pick(rng)
		sim.setIsolated(other, sim.controlAddresses(), true)
		sim.leave(sim.pick(rng), f, false)
		sim.heal()
	},
	// A machine is replaced by another one: planned, with the new one added first, or after the old one was lost.
	"replace-planned": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		sim.addReplacement()
		sim.advance(settleTime)
		sim.leave(sim.pick(rng), f, true)
		if rng.IntN(2) == 0 { // and a disk is lost right after it
			sim.coverage["a disk was lost right after a replacement"]++
			c := sim.pick(rng)
			c.wipe()
			sim.advance(f.pause / 2)
			c.start()
			sim.advance(settleTime)
		}
	},
	"replace-lost": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		old := sim.pick(rng)
		old.kill()
		old.replaced = true
		sim.advance(f.duration)
		sim.addReplacement()
		sim.advance(settleTime)
	},
}

// leave shuts a process down, and starts it again later unless the shutdown is permanent.
func (sim *simulation) leave(c *simulatedControl, f simulatedFault, permanent bool) {
	if !c.up || c.replica == nil {
		return
	}
	c.leaving = true
	c.run(func() { c.replica.Leave(c.clock(sim.now)) })
	if sim.advanceUntil(4*time.Second, func() bool { return c.replica == nil || c.replica.Node().HasLeft() }) {
		sim.coverage["a process left the chain"]++
	}
	c.kill()
	if permanent {
		c.replaced = true
		sim.updateSeeds()
		return
	}
	sim.advance(f.duration / 2)
	if !c.up {
		c.start()
	}
}

// addReplacement adds a machine with an empty disk.
func (sim *simulation) addReplacement() {
	sim.updateSeeds()
	sim.addControl(fmt.Sprintf("r%d", len(sim.controls)), false)
	sim.updateSeeds()
}

// updateSeeds sets the seeds to the newest three machines that have not been replaced.
func (sim *simulation) updateSeeds() {
	sim.seeds = nil
	for _, c := range sim.live() {
		sim.seeds = append(sim.seeds, c.address)
	}
	sim.seeds = sim.seeds[max(0, len(sim.seeds)-3):]
}
