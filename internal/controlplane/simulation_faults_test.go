package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// simulatedFault is one thing that happens to a simulation.
type simulatedFault struct {
	kind        string
	lasts, rest time.Duration
	seed        uint64 // of what is drawn when it happens
}

func (f simulatedFault) String() string {
	return fmt.Sprintf("%s lasts=%s rest=%s seed=%d", f.kind, f.lasts, f.rest, f.seed)
}

const (
	settleTime = 4 * time.Second
	// recoveryTime is within what time of the last fault all has to be well.
	recoveryTime = 10 * time.Second
	// longPartition is a cut of the users' worst days.
	longPartition = 20 * time.Second
)

// live are the machines that have not been replaced.
func (sim *simulation) live() []*simulatedControl {
	return slices.DeleteFunc(slices.Clone(sim.controls), func(c *simulatedControl) bool { return c.replaced })
}

// setIsolated cuts a machine off from others, or ends that.
func (sim *simulation) setIsolated(c *simulatedControl, others []string, partitioned bool) {
	for _, other := range others {
		if other != c.address {
			sim.setPartitioned(c.address, other, partitioned)
			sim.setPartitioned(other, c.address, partitioned)
		}
	}
}

// controlAddresses are those of all control machines.
func (sim *simulation) controlAddresses() []string {
	var all []string
	for _, c := range sim.controls {
		all = append(all, c.address)
	}
	return all
}

// outside are the addresses of agents and operators.
func (sim *simulation) outside() []string {
	all := []string{"operator"}
	for _, a := range sim.agents {
		all = append(all, a.node.Name)
	}
	return all
}

// pick draws a machine: any one, the one that acts, or the one that is read.
func (sim *simulation) pick(rng *rand.Rand) *simulatedControl {
	live := sim.live()
	standing := chainStatusOf(nil)
	for _, c := range live {
		if c.up && c.replica != nil && c.replica.Node().Connected() {
			standing = chainStatusOf(c.replica)
		}
	}
	switch rng.IntN(3) {
	case 0:
		if c := sim.controlAt(standing.Head); c != nil {
			sim.coverage["the head was met"]++
			return c
		}
	case 1:
		if c := sim.controlAt(standing.Tail); c != nil {
			sim.coverage["the tail was met"]++
			return c
		}
	}
	return live[rng.IntN(len(live))]
}

// restart ends a process at once and starts it after a while.
func (sim *simulation) restart(c *simulatedControl, down time.Duration) {
	c.kill()
	sim.advance(down)
	if !c.up && !c.replaced {
		c.start()
	}
}

// heal ends all faults.
func (sim *simulation) heal() {
	links := make([]direction, 0, len(sim.partitioned))
	for l := range sim.partitioned {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b direction) int { return strings.Compare(a.from+">"+a.to, b.from+">"+b.to) })
	for _, l := range links {
		sim.setPartitioned(l.from, l.to, false)
	}
	sim.loss, sim.ackLoss = 0, 0
	for _, c := range sim.controls {
		c.fullDisk, c.slowDisk, c.dieAt = false, 0, 0
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

// faultKinds are what can happen.
var faultKinds = map[string]func(sim *simulation, f simulatedFault, rng *rand.Rand){
	"kill": func(sim *simulation, f simulatedFault, rng *rand.Rand) { sim.restart(sim.pick(rng), f.lasts) },
	"kill-some": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		for _, c := range sim.live() {
			if rng.IntN(2) == 0 {
				c.kill()
			}
		}
		sim.advance(f.lasts)
		sim.heal()
	},
	"lose-power": func(sim *simulation, f simulatedFault, _ *rand.Rand) {
		sim.operators.powerIsLost()
		sim.advance(f.lasts)
	},
	"lose-power-in-a-write": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.pick(rng).dieAt = 1 + rng.IntN(6)
		sim.advance(f.lasts)
		sim.heal()
	},
	"lose-disk": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		c := sim.pick(rng)
		c.wipe()
		sim.advance(f.lasts)
		c.start()
		sim.advance(settleTime)
	},
	"lose-disk-and-power": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime + f.lasts/4)
		c := sim.pick(rng)
		c.wipe()
		sim.operators.powerIsLost()
		sim.advance(settleTime)
	},
	// A disk is lost, and while its machine is being brought up to date another one dies, or is cut off.
	"second-loss": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		c := sim.pick(rng)
		c.wipe()
		sim.advance(f.lasts / 4)
		c.start()
		if sim.advanceUntil(2*time.Second, func() bool { return c.replica != nil && c.replica.Node().View().GetNumber() > 0 }) {
			sim.coverage["a second loss met a repair"]++
		}
		sim.advance(time.Duration(rng.IntN(500)) * time.Millisecond)
		other := sim.pick(rng)
		if other != c {
			if rng.IntN(2) == 0 {
				sim.restart(other, f.lasts)
			} else {
				sim.setIsolated(other, sim.controlAddresses(), true)
				sim.advance(f.lasts)
			}
		}
		sim.heal()
		sim.advance(settleTime)
	},
	"freeze": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.pick(rng).freeze(f.lasts)
		sim.advance(f.lasts)
	},
	"freeze-all": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		for _, c := range sim.live() {
			c.freeze(f.lasts + time.Duration(rng.IntN(300))*time.Millisecond)
		}
		sim.advance(f.lasts + 300*time.Millisecond)
	},
	"freeze-agent": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		a := sim.agents[rng.IntN(len(sim.agents))]
		a.frozen = true
		sim.advance(2 * f.lasts)
		a.frozen = false
	},
	// Full speed for a while, then nothing for the rest of a tenth of a second.
	"quota": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		for end := sim.now + f.lasts; sim.now < end; sim.advance(100 * time.Millisecond) {
			c.freeze(time.Duration(60+rng.IntN(39)) * time.Millisecond)
		}
	},
	"full-disk": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		c.fullDisk = true
		sim.advance(f.lasts)
		c.fullDisk = false
	},
	"slow-disk": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		c.slowDisk = time.Duration(10+rng.IntN(60)) * time.Millisecond
		sim.advance(f.lasts)
		c.slowDisk = 0
	},
	"cut": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		others := sim.controlAddresses()
		if rng.IntN(2) == 0 { // alone, or from the others that count and not from clients
			others = append(others, sim.outside()...)
		}
		sim.setIsolated(c, others, true)
		sim.advance(f.lasts)
		sim.setIsolated(c, others, false)
	},
	"long-cut": func(sim *simulation, _ simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		sim.setIsolated(c, sim.controlAddresses(), true)
		before := sim.operators.taken
		sim.advance(longPartition)
		if sim.operators.taken > before {
			sim.coverage["changes were taken while one was cut off for 20 s"]++
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
		sim.advance(2 * f.lasts)
		sim.heal()
	},
	"hears-nobody": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		for _, other := range sim.controlAddresses() {
			if other != c.address {
				sim.setPartitioned(other, c.address, true)
			}
		}
		sim.advance(f.lasts)
		sim.heal()
	},
	"is-not-heard": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c := sim.pick(rng)
		for _, other := range sim.controlAddresses() {
			if other != c.address {
				sim.setPartitioned(c.address, other, true)
			}
		}
		sim.advance(f.lasts)
		sim.heal()
	},
	"cut-one-way": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		all := append(sim.controlAddresses(), sim.outside()...)
		from, to := all[rng.IntN(len(all))], sim.pick(rng).address
		sim.setPartitioned(from, to, true)
		sim.advance(f.lasts)
		sim.setPartitioned(from, to, false)
	},
	"cut-and-restart": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		c, other := sim.pick(rng), sim.pick(rng)
		sim.setIsolated(c, sim.controlAddresses(), true)
		sim.advance(f.lasts / 2)
		if other != c {
			sim.restart(other, 200*time.Millisecond)
		}
		sim.advance(f.lasts / 2)
		sim.heal()
	},
	"lose-datagrams": func(sim *simulation, f simulatedFault, _ *rand.Rand) {
		sim.loss = 0.3
		sim.advance(f.lasts)
		sim.loss = 0
	},
	"lose-answers": func(sim *simulation, f simulatedFault, _ *rand.Rand) {
		sim.ackLoss = 0.7
		sim.advance(2 * f.lasts)
		sim.ackLoss = 0
	},
	// A process is told to end, and does once the chain can do without it.
	"leave": func(sim *simulation, f simulatedFault, rng *rand.Rand) { sim.leave(sim.pick(rng), f, false) },
	"leave-and-cut": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		other := sim.pick(rng)
		sim.setIsolated(other, sim.controlAddresses(), true)
		sim.leave(sim.pick(rng), f, false)
		sim.heal()
	},
	// Another machine takes the place of one: planned, the new one first; or the old one is gone.
	"replace-planned": func(sim *simulation, f simulatedFault, rng *rand.Rand) {
		sim.heal()
		sim.advance(settleTime)
		sim.addReplacement()
		sim.advance(settleTime)
		sim.leave(sim.pick(rng), f, true)
		if rng.IntN(2) == 0 { // and a disk is lost right behind it
			sim.coverage["a disk was lost right after a replacement"]++
			c := sim.pick(rng)
			c.wipe()
			sim.advance(f.rest / 2)
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
		sim.advance(f.lasts)
		sim.addReplacement()
		sim.advance(settleTime)
	},
}

// leave tells a process to end. Where it is replaced it does not come back.
func (sim *simulation) leave(c *simulatedControl, f simulatedFault, forGood bool) {
	if !c.up || c.replica == nil {
		return
	}
	c.leaving = true
	c.run(func() { c.replica.Leave(c.clock(sim.now)) })
	if sim.advanceUntil(4*time.Second, func() bool { return c.replica == nil || c.replica.Node().HasLeft() }) {
		sim.coverage["a process left the chain"]++
	}
	c.kill()
	if forGood {
		c.replaced = true
		sim.renewSeeds()
		return
	}
	sim.advance(f.lasts / 2)
	if !c.up {
		c.start()
	}
}

// addReplacement adds an empty machine.
func (sim *simulation) addReplacement() {
	sim.renewSeeds()
	sim.addControl(fmt.Sprintf("r%d", len(sim.controls)), false)
	sim.renewSeeds()
}

// renewSeeds names machines that are there to those that start from now on.
func (sim *simulation) renewSeeds() {
	sim.seeds = nil
	for _, c := range sim.live() {
		sim.seeds = append(sim.seeds, c.address)
	}
	sim.seeds = sim.seeds[max(0, len(sim.seeds)-3):]
}
