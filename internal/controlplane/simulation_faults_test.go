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
func (w *simulation) live() []*simulatedControl {
	return slices.DeleteFunc(slices.Clone(w.controls), func(c *simulatedControl) bool { return c.replaced })
}

// setIsolated cuts a machine off from others, or ends that.
func (w *simulation) setIsolated(c *simulatedControl, others []string, partitioned bool) {
	for _, other := range others {
		if other != c.address {
			w.setPartitioned(c.address, other, partitioned)
			w.setPartitioned(other, c.address, partitioned)
		}
	}
}

// controlAddresses are those of all control machines.
func (w *simulation) controlAddresses() []string {
	var all []string
	for _, c := range w.controls {
		all = append(all, c.address)
	}
	return all
}

// outside are the addresses of agents and operators.
func (w *simulation) outside() []string {
	all := []string{"operator"}
	for _, a := range w.agents {
		all = append(all, a.node.Name)
	}
	return all
}

// pick draws a machine: any one, the one that acts, or the one that is read.
func (w *simulation) pick(rng *rand.Rand) *simulatedControl {
	live := w.live()
	standing := chainStatusOf(nil)
	for _, c := range live {
		if c.up && c.replica != nil && c.replica.Node().Connected() {
			standing = chainStatusOf(c.replica)
		}
	}
	switch rng.IntN(3) {
	case 0:
		if c := w.controlAt(standing.Head); c != nil {
			w.coverage["the head was met"]++
			return c
		}
	case 1:
		if c := w.controlAt(standing.Tail); c != nil {
			w.coverage["the tail was met"]++
			return c
		}
	}
	return live[rng.IntN(len(live))]
}

// restart ends a process at once and starts it after a while.
func (w *simulation) restart(c *simulatedControl, down time.Duration) {
	c.kill()
	w.advance(down)
	if !c.up && !c.replaced {
		c.start()
	}
}

// heal ends all faults.
func (w *simulation) heal() {
	links := make([]direction, 0, len(w.partitioned))
	for l := range w.partitioned {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b direction) int { return strings.Compare(a.from+">"+a.to, b.from+">"+b.to) })
	for _, l := range links {
		w.setPartitioned(l.from, l.to, false)
	}
	w.loss, w.ackLoss = 0, 0
	for _, c := range w.controls {
		c.fullDisk, c.slowDisk, c.dieAt = false, 0, 0
		if c.frozen {
			c.resume()
		}
		if !c.up && !c.replaced {
			c.start()
		}
	}
	for _, a := range w.agents {
		a.frozen = false
	}
}

// faultKinds are what can happen.
var faultKinds = map[string]func(w *simulation, f simulatedFault, rng *rand.Rand){
	"kill": func(w *simulation, f simulatedFault, rng *rand.Rand) { w.restart(w.pick(rng), f.lasts) },
	"kill-some": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		for _, c := range w.live() {
			if rng.IntN(2) == 0 {
				c.kill()
			}
		}
		w.advance(f.lasts)
		w.heal()
	},
	"lose-power": func(w *simulation, f simulatedFault, _ *rand.Rand) {
		w.operators.powerIsLost()
		w.advance(f.lasts)
	},
	"lose-power-in-a-write": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.pick(rng).dieAt = 1 + rng.IntN(6)
		w.advance(f.lasts)
		w.heal()
	},
	"lose-disk": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.heal()
		w.advance(settleTime)
		c := w.pick(rng)
		c.wipe()
		w.advance(f.lasts)
		c.start()
		w.advance(settleTime)
	},
	"lose-disk-and-power": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.heal()
		w.advance(settleTime + f.lasts/4)
		c := w.pick(rng)
		c.wipe()
		w.operators.powerIsLost()
		w.advance(settleTime)
	},
	// A disk is lost, and while its machine is being brought up to date another one dies, or is cut off.
	"second-loss": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.heal()
		w.advance(settleTime)
		c := w.pick(rng)
		c.wipe()
		w.advance(f.lasts / 4)
		c.start()
		if w.advanceUntil(2*time.Second, func() bool { return c.replica != nil && c.replica.Node().View().GetNumber() > 0 }) {
			w.coverage["a second loss met a repair"]++
		}
		w.advance(time.Duration(rng.IntN(500)) * time.Millisecond)
		other := w.pick(rng)
		if other != c {
			if rng.IntN(2) == 0 {
				w.restart(other, f.lasts)
			} else {
				w.setIsolated(other, w.controlAddresses(), true)
				w.advance(f.lasts)
			}
		}
		w.heal()
		w.advance(settleTime)
	},
	"freeze": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.pick(rng).freeze(f.lasts)
		w.advance(f.lasts)
	},
	"freeze-all": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		for _, c := range w.live() {
			c.freeze(f.lasts + time.Duration(rng.IntN(300))*time.Millisecond)
		}
		w.advance(f.lasts + 300*time.Millisecond)
	},
	"freeze-agent": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		a := w.agents[rng.IntN(len(w.agents))]
		a.frozen = true
		w.advance(2 * f.lasts)
		a.frozen = false
	},
	// Full speed for a while, then nothing for the rest of a tenth of a second.
	"quota": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		for end := w.now + f.lasts; w.now < end; w.advance(100 * time.Millisecond) {
			c.freeze(time.Duration(60+rng.IntN(39)) * time.Millisecond)
		}
	},
	"full-disk": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		c.fullDisk = true
		w.advance(f.lasts)
		c.fullDisk = false
	},
	"slow-disk": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		c.slowDisk = time.Duration(10+rng.IntN(60)) * time.Millisecond
		w.advance(f.lasts)
		c.slowDisk = 0
	},
	"cut": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		others := w.controlAddresses()
		if rng.IntN(2) == 0 { // alone, or from the others that count and not from clients
			others = append(others, w.outside()...)
		}
		w.setIsolated(c, others, true)
		w.advance(f.lasts)
		w.setIsolated(c, others, false)
	},
	"long-cut": func(w *simulation, _ simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		w.setIsolated(c, w.controlAddresses(), true)
		before := w.operators.taken
		w.advance(longPartition)
		if w.operators.taken > before {
			w.coverage["changes were taken while one was cut off for 20 s"]++
		}
		w.setIsolated(c, w.controlAddresses(), false)
	},
	"cut-halves": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		live := w.live()
		rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		for i, a := range live {
			for j, b := range live {
				if (i < len(live)/2) != (j < len(live)/2) {
					w.setPartitioned(a.address, b.address, true)
				}
			}
		}
		w.advance(2 * f.lasts)
		w.heal()
	},
	"hears-nobody": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		for _, other := range w.controlAddresses() {
			if other != c.address {
				w.setPartitioned(other, c.address, true)
			}
		}
		w.advance(f.lasts)
		w.heal()
	},
	"is-not-heard": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c := w.pick(rng)
		for _, other := range w.controlAddresses() {
			if other != c.address {
				w.setPartitioned(c.address, other, true)
			}
		}
		w.advance(f.lasts)
		w.heal()
	},
	"cut-one-way": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		all := append(w.controlAddresses(), w.outside()...)
		from, to := all[rng.IntN(len(all))], w.pick(rng).address
		w.setPartitioned(from, to, true)
		w.advance(f.lasts)
		w.setPartitioned(from, to, false)
	},
	"cut-and-restart": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		c, other := w.pick(rng), w.pick(rng)
		w.setIsolated(c, w.controlAddresses(), true)
		w.advance(f.lasts / 2)
		if other != c {
			w.restart(other, 200*time.Millisecond)
		}
		w.advance(f.lasts / 2)
		w.heal()
	},
	"lose-datagrams": func(w *simulation, f simulatedFault, _ *rand.Rand) {
		w.loss = 0.3
		w.advance(f.lasts)
		w.loss = 0
	},
	"lose-answers": func(w *simulation, f simulatedFault, _ *rand.Rand) {
		w.ackLoss = 0.7
		w.advance(2 * f.lasts)
		w.ackLoss = 0
	},
	// A process is told to end, and does once the chain can do without it.
	"leave": func(w *simulation, f simulatedFault, rng *rand.Rand) { w.leave(w.pick(rng), f, false) },
	"leave-and-cut": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		other := w.pick(rng)
		w.setIsolated(other, w.controlAddresses(), true)
		w.leave(w.pick(rng), f, false)
		w.heal()
	},
	// Another machine takes the place of one: planned, the new one first; or the old one is gone.
	"replace-planned": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.heal()
		w.advance(settleTime)
		w.addReplacement()
		w.advance(settleTime)
		w.leave(w.pick(rng), f, true)
		if rng.IntN(2) == 0 { // and a disk is lost right behind it
			w.coverage["a disk was lost right after a replacement"]++
			c := w.pick(rng)
			c.wipe()
			w.advance(f.rest / 2)
			c.start()
			w.advance(settleTime)
		}
	},
	"replace-lost": func(w *simulation, f simulatedFault, rng *rand.Rand) {
		w.heal()
		w.advance(settleTime)
		old := w.pick(rng)
		old.kill()
		old.replaced = true
		w.advance(f.lasts)
		w.addReplacement()
		w.advance(settleTime)
	},
}

// leave tells a process to end. Where it is replaced it does not come back.
func (w *simulation) leave(c *simulatedControl, f simulatedFault, forGood bool) {
	if !c.up || c.replica == nil {
		return
	}
	c.leaving = true
	c.run(func() { c.replica.Leave(c.clock(w.now)) })
	if w.advanceUntil(4*time.Second, func() bool { return c.replica == nil || c.replica.Node().HasLeft() }) {
		w.coverage["a process left the chain"]++
	}
	c.kill()
	if forGood {
		c.replaced = true
		w.renewSeeds()
		return
	}
	w.advance(f.lasts / 2)
	if !c.up {
		c.start()
	}
}

// addReplacement adds an empty machine.
func (w *simulation) addReplacement() {
	w.renewSeeds()
	w.addControl(fmt.Sprintf("r%d", len(w.controls)), false)
	w.renewSeeds()
}

// renewSeeds names machines that are there to those that start from now on.
func (w *simulation) renewSeeds() {
	w.seeds = nil
	for _, c := range w.live() {
		w.seeds = append(w.seeds, c.address)
	}
	w.seeds = w.seeds[max(0, len(w.seeds)-3):]
}
