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

// worldFault is one thing that happens to a world.
type worldFault struct {
	kind        string
	lasts, rest time.Duration
	seed        uint64 // of what is drawn when it happens
}

func (f worldFault) String() string {
	return fmt.Sprintf("%s lasts=%s rest=%s seed=%d", f.kind, f.lasts, f.rest, f.seed)
}

const (
	worldSettle = 4 * time.Second
	// worldRecovery is within what time of the last fault all has to be well.
	worldRecovery = 10 * time.Second
	// longCut is a cut of the users' worst days.
	longCut = 20 * time.Second
)

// live are the machines that have not been replaced.
func (w *world) live() []*core {
	return slices.DeleteFunc(slices.Clone(w.cores), func(c *core) bool { return c.replaced })
}

// isolate cuts a machine off from others, or ends that.
func (w *world) isolate(c *core, others []string, cut bool) {
	for _, other := range others {
		if other != c.address {
			w.setCut(c.address, other, cut)
			w.setCut(other, c.address, cut)
		}
	}
}

// coreAddresses are those of all control machines.
func (w *world) coreAddresses() []string {
	var all []string
	for _, c := range w.cores {
		all = append(all, c.address)
	}
	return all
}

// outside are the addresses of agents and operators.
func (w *world) outside() []string {
	all := []string{"operator"}
	for _, a := range w.agents {
		all = append(all, a.node.Name)
	}
	return all
}

// pick draws a machine: any one, the one that acts, or the one that is read.
func (w *world) pick(rng *rand.Rand) *core {
	live := w.live()
	standing := chainStatusOf(nil)
	for _, c := range live {
		if c.up && c.replica != nil && c.replica.Node().Connected() {
			standing = chainStatusOf(c.replica)
		}
	}
	switch rng.IntN(3) {
	case 0:
		if c := w.coreAt(standing.Head); c != nil {
			w.crossed["the head was met"]++
			return c
		}
	case 1:
		if c := w.coreAt(standing.Tail); c != nil {
			w.crossed["the tail was met"]++
			return c
		}
	}
	return live[rng.IntN(len(live))]
}

// bounce ends a process at once and starts it after a while.
func (w *world) bounce(c *core, down time.Duration) {
	c.kill()
	w.pass(down)
	if !c.up && !c.replaced {
		c.start()
	}
}

// heal ends all faults.
func (w *world) heal() {
	for l, cut := range w.cut {
		w.cut[l] = cut
	}
	links := make([]link, 0, len(w.cut))
	for l := range w.cut {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b link) int { return strings.Compare(a.from+">"+a.to, b.from+">"+b.to) })
	for _, l := range links {
		w.setCut(l.from, l.to, false)
	}
	w.loss, w.ackLoss = 0, 0
	for _, c := range w.cores {
		c.fullDisk, c.slowDisk, c.dieAt = false, 0, 0
		if c.still {
			c.goOn()
		}
		if !c.up && !c.replaced {
			c.start()
		}
	}
	for _, a := range w.agents {
		a.frozen = false
	}
}

// worldFaults are what can happen.
var worldFaults = map[string]func(w *world, f worldFault, rng *rand.Rand){
	"kill": func(w *world, f worldFault, rng *rand.Rand) { w.bounce(w.pick(rng), f.lasts) },
	"kill-some": func(w *world, f worldFault, rng *rand.Rand) {
		for _, c := range w.live() {
			if rng.IntN(2) == 0 {
				c.kill()
			}
		}
		w.pass(f.lasts)
		w.heal()
	},
	"lose-power": func(w *world, f worldFault, _ *rand.Rand) {
		w.clients.powerIsLost()
		w.pass(f.lasts)
	},
	"lose-power-in-a-write": func(w *world, f worldFault, rng *rand.Rand) {
		w.pick(rng).dieAt = 1 + rng.IntN(6)
		w.pass(f.lasts)
		w.heal()
	},
	"lose-disk": func(w *world, f worldFault, rng *rand.Rand) {
		w.heal()
		w.pass(worldSettle)
		c := w.pick(rng)
		c.wipe()
		w.pass(f.lasts)
		c.start()
		w.pass(worldSettle)
	},
	"lose-disk-and-power": func(w *world, f worldFault, rng *rand.Rand) {
		w.heal()
		w.pass(worldSettle + f.lasts/4)
		c := w.pick(rng)
		c.wipe()
		w.clients.powerIsLost()
		w.pass(worldSettle)
	},
	// A disk is lost, and while its machine is being brought up to date another one dies, or is cut off.
	"second-loss": func(w *world, f worldFault, rng *rand.Rand) {
		w.heal()
		w.pass(worldSettle)
		c := w.pick(rng)
		c.wipe()
		w.pass(f.lasts / 4)
		c.start()
		if w.passUntil(2*time.Second, func() bool { return c.replica != nil && c.replica.Node().View().GetNumber() > 0 }) {
			w.crossed["a second loss met a repair"]++
		}
		w.pass(time.Duration(rng.IntN(500)) * time.Millisecond)
		other := w.pick(rng)
		if other != c {
			if rng.IntN(2) == 0 {
				w.bounce(other, f.lasts)
			} else {
				w.isolate(other, w.coreAddresses(), true)
				w.pass(f.lasts)
			}
		}
		w.heal()
		w.pass(worldSettle)
	},
	"freeze": func(w *world, f worldFault, rng *rand.Rand) {
		w.pick(rng).stand(f.lasts)
		w.pass(f.lasts)
	},
	"freeze-all": func(w *world, f worldFault, rng *rand.Rand) {
		for _, c := range w.live() {
			c.stand(f.lasts + time.Duration(rng.IntN(300))*time.Millisecond)
		}
		w.pass(f.lasts + 300*time.Millisecond)
	},
	"freeze-agent": func(w *world, f worldFault, rng *rand.Rand) {
		a := w.agents[rng.IntN(len(w.agents))]
		a.frozen = true
		w.pass(2 * f.lasts)
		a.frozen = false
	},
	// Full speed for a while, then nothing for the rest of a tenth of a second.
	"quota": func(w *world, f worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		for end := w.now + f.lasts; w.now < end; w.pass(100 * time.Millisecond) {
			c.stand(time.Duration(60+rng.IntN(39)) * time.Millisecond)
		}
	},
	"full-disk": func(w *world, f worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		c.fullDisk = true
		w.pass(f.lasts)
		c.fullDisk = false
	},
	"slow-disk": func(w *world, f worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		c.slowDisk = time.Duration(10+rng.IntN(60)) * time.Millisecond
		w.pass(f.lasts)
		c.slowDisk = 0
	},
	"cut": func(w *world, f worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		others := w.coreAddresses()
		if rng.IntN(2) == 0 { // alone, or from the others that count and not from clients
			others = append(others, w.outside()...)
		}
		w.isolate(c, others, true)
		w.pass(f.lasts)
		w.isolate(c, others, false)
	},
	"long-cut": func(w *world, _ worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		w.isolate(c, w.coreAddresses(), true)
		before := w.clients.taken
		w.pass(longCut)
		if w.clients.taken > before {
			w.crossed["changes were taken while one was cut off for 20 s"]++
		}
		w.isolate(c, w.coreAddresses(), false)
	},
	"cut-halves": func(w *world, f worldFault, rng *rand.Rand) {
		live := w.live()
		rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		for i, a := range live {
			for j, b := range live {
				if (i < len(live)/2) != (j < len(live)/2) {
					w.setCut(a.address, b.address, true)
				}
			}
		}
		w.pass(2 * f.lasts)
		w.heal()
	},
	"hears-nobody": func(w *world, f worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		for _, other := range w.coreAddresses() {
			if other != c.address {
				w.setCut(other, c.address, true)
			}
		}
		w.pass(f.lasts)
		w.heal()
	},
	"is-not-heard": func(w *world, f worldFault, rng *rand.Rand) {
		c := w.pick(rng)
		for _, other := range w.coreAddresses() {
			if other != c.address {
				w.setCut(c.address, other, true)
			}
		}
		w.pass(f.lasts)
		w.heal()
	},
	"cut-one-way": func(w *world, f worldFault, rng *rand.Rand) {
		all := append(w.coreAddresses(), w.outside()...)
		from, to := all[rng.IntN(len(all))], w.pick(rng).address
		w.setCut(from, to, true)
		w.pass(f.lasts)
		w.setCut(from, to, false)
	},
	"cut-and-restart": func(w *world, f worldFault, rng *rand.Rand) {
		c, other := w.pick(rng), w.pick(rng)
		w.isolate(c, w.coreAddresses(), true)
		w.pass(f.lasts / 2)
		if other != c {
			w.bounce(other, 200*time.Millisecond)
		}
		w.pass(f.lasts / 2)
		w.heal()
	},
	"lose-datagrams": func(w *world, f worldFault, _ *rand.Rand) {
		w.loss = 0.3
		w.pass(f.lasts)
		w.loss = 0
	},
	"lose-answers": func(w *world, f worldFault, _ *rand.Rand) {
		w.ackLoss = 0.7
		w.pass(2 * f.lasts)
		w.ackLoss = 0
	},
	// A process is told to end, and does once the chain can do without it.
	"leave": func(w *world, f worldFault, rng *rand.Rand) { w.leave(w.pick(rng), f, false) },
	"leave-and-cut": func(w *world, f worldFault, rng *rand.Rand) {
		other := w.pick(rng)
		w.isolate(other, w.coreAddresses(), true)
		w.leave(w.pick(rng), f, false)
		w.heal()
	},
	// Another machine takes the place of one: planned, the new one first; or the old one is gone.
	"replace-planned": func(w *world, f worldFault, rng *rand.Rand) {
		w.heal()
		w.pass(worldSettle)
		w.addReplacement()
		w.pass(worldSettle)
		w.leave(w.pick(rng), f, true)
		if rng.IntN(2) == 0 { // and a disk is lost right behind it
			w.crossed["a disk was lost right after a replacement"]++
			c := w.pick(rng)
			c.wipe()
			w.pass(f.rest / 2)
			c.start()
			w.pass(worldSettle)
		}
	},
	"replace-lost": func(w *world, f worldFault, rng *rand.Rand) {
		w.heal()
		w.pass(worldSettle)
		old := w.pick(rng)
		old.kill()
		old.replaced = true
		w.pass(f.lasts)
		w.addReplacement()
		w.pass(worldSettle)
	},
}

// leave tells a process to end. Where it is replaced it does not come back.
func (w *world) leave(c *core, f worldFault, forGood bool) {
	if !c.up || c.replica == nil {
		return
	}
	c.leaving = true
	c.run(func() { c.replica.Leave(c.clock(w.now)) })
	if w.passUntil(4*time.Second, func() bool { return c.replica == nil || c.replica.Node().HasLeft() }) {
		w.crossed["a process left the chain"]++
	}
	c.kill()
	if forGood {
		c.replaced = true
		w.renewSeeds()
		return
	}
	w.pass(f.lasts / 2)
	if !c.up {
		c.start()
	}
}

// addReplacement adds an empty machine.
func (w *world) addReplacement() {
	w.renewSeeds()
	w.addCore(fmt.Sprintf("r%d", len(w.cores)), false)
	w.renewSeeds()
}

// renewSeeds names machines that are there to those that start from now on.
func (w *world) renewSeeds() {
	w.seeds = nil
	for _, c := range w.live() {
		w.seeds = append(w.seeds, c.address)
	}
	w.seeds = w.seeds[max(0, len(w.seeds)-3):]
}

const (
	worldHistoryFaults = 6
	worldLongestFault  = 2500 * time.Millisecond
	worldLongestRest   = 1500 * time.Millisecond
)

// worldHistory is what befalls a world.
type worldHistory struct {
	seed   uint64
	cores  int
	faults []worldFault
}

func (h worldHistory) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %d control processes\n", h.seed, h.cores)
	for _, f := range h.faults {
		fmt.Fprintln(&text, f)
	}
	return text.String()
}

// drawWorldHistory draws the history of a number: three control processes mostly, or five.
func drawWorldHistory(number int) worldHistory {
	rng := rand.New(rand.NewPCG(uint64(number), 13))
	h := worldHistory{seed: uint64(number), cores: 3}
	if number%5 == 4 {
		h.cores = 5
	}
	kinds := make([]string, 0, len(worldFaults))
	for kind := range worldFaults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	span := func(most time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(most))).Truncate(time.Millisecond)
	}
	for range worldHistoryFaults {
		h.faults = append(h.faults, worldFault{
			kind: kinds[rng.IntN(len(kinds))], lasts: span(worldLongestFault), rest: span(worldLongestRest),
			seed: rng.Uint64(),
		})
	}
	return h
}

// play plays a history.
func (h worldHistory) play(t *testing.T) *world {
	w := newWorld(t, h.seed, h.cores)
	w.pass(2 * time.Second)
	for _, f := range h.faults {
		w.note("%s", f)
		worldFaults[f.kind](w, f, rand.New(rand.NewPCG(f.seed, 17)))
		w.crossed[f.kind]++
		w.pass(f.rest)
	}
	w.heal()
	w.recover()
	w.clients.auditAnswers()
	for _, c := range w.cores {
		c.kill()
	}
	return w
}

// recover checks that within the time for it changes are taken, every process is back, and every agent knows all.
func (w *world) recover() {
	before := w.clients.taken
	if !w.passUntil(worldRecovery, func() bool { return w.clients.taken > before }) {
		w.fault("no change is taken within %v of the last fault", worldRecovery)
		return
	}
	w.pass(worldSettle)
	newest := w.clients.newest.version
	w.pass(applyTime)
	for _, a := range w.agents {
		if agentVersion(a) < newest {
			w.fault("%s knows version %d %v after %d was acknowledged", a.node.Name, agentVersion(a), applyTime, newest)
		}
	}
	w.calm = true
	w.pass(worldSettle)
	for _, c := range w.live() {
		if !c.inService() {
			w.fault("%s is not back in the chain", c.address)
		}
	}
	for _, a := range w.agents {
		version := agentVersion(a)
		if version < w.clients.newest.version || !a.feed.Fresh(nil) {
			w.fault("%s knows version %d, fresh %v; %d was acknowledged", a.node.Name, version, a.feed.Fresh(nil), w.clients.newest.version)
		}
	}
	orders := 0
	for _, a := range w.agents {
		orders += a.orders
	}
	if orders == 0 || w.clients.taken == 0 || len(w.clients.retired) == 0 || len(w.clients.switches) == 0 {
		w.fault("the history had no life in it: %d orders, %d changes", orders, w.clients.taken)
	}
	w.note("%d taken, %d refused, %d orders under %d tokens", w.clients.taken, w.clients.refused, orders, w.backend.tokens)
}

// Worlds live through drawn histories. CI plays the first ones; more by WORLD_HISTORIES, from WORLD_FIRST on.
func TestDrawnWorldHistories(t *testing.T) {
	histories, first := 100, 0
	if more, err := strconv.Atoi(os.Getenv("WORLD_HISTORIES")); err == nil {
		histories = more
	}
	if from, err := strconv.Atoi(os.Getenv("WORLD_FIRST")); err == nil {
		first = from
	}
	crossed := make(chan map[string]int, histories)
	t.Run("all", func(t *testing.T) {
		for number := first; number < first+histories; number++ {
			t.Run(strconv.Itoa(number), func(t *testing.T) {
				t.Parallel()
				h := drawWorldHistory(number)
				w := h.play(t)
				if len(w.wrong) > 0 {
					t.Errorf("%s\nthe history:\n%s", strings.Join(w.wrong, "\n"), h)
				}
				crossed <- w.crossed
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
		"a disk was lost right after a replacement", "the head was met", "the tail was met",
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
		h := drawWorldHistory(number)
		first, second := h.play(t), h.play(t)
		is.True(first.events > 1000)
		is.Equal(first.events, second.events)
		is.Equal(first.trace.Sum64(), second.trace.Sum64())
	}
}
