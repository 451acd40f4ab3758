package controlplane

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// A simulation is control processes with their stores, agents that watch them and hold leases, backends that take orders,
// and operators, on one queue of events: what happens, and in which order, comes from one seed. It runs the very
// replica, store, feed, lease granter and clocks of the program; what the program does by goroutines, it does by events.

// occurrence is something that happens at a time.
type occurrence struct {
	at    time.Duration
	order int
	do    func()
}

type schedule []occurrence

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(occurrence)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// direction is one direction between two addresses.
type direction struct{ from, to string }

// delayedCall is a call that a partition delays on its connection.
type delayedCall struct {
	direction       direction
	fromIncarnation int
	deliver         func()
}

type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	queue       schedule
	order       int
	controls    []*simulatedControl
	agents      []*simulatedAgent
	backend     *simulatedBackend
	seeds       []string
	partitioned map[direction]bool
	delayed     []delayedCall
	loss        float64 // of datagrams
	ackLoss     float64 // of answers to operators
	trace       hash.Hash64
	events      int
	failures    []string
	coverage    map[string]int // how often what a fault is about did happen
	operators   *simulatedOperators
	calm        bool // operators make no more changes
}

const (
	simulatedAgents = 3
	// controlTickInterval is how often a control process looks at the time.
	controlTickInterval = 30 * time.Millisecond
	// maxBacklog bounds what waits for a process that is frozen.
	maxBacklog = 1024
	// maxFailures bounds what is kept to tell of a history that fails.
	maxFailures = 12
)

func newSimulation(t *testing.T, seed uint64, controls int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: time.Second, partitioned: map[direction]bool{}, trace: fnv.New64a(),
		coverage: map[string]int{},
	}
	for i := range controls {
		sim.seeds = append(sim.seeds, fmt.Sprintf("c%d", i))
	}
	for _, address := range sim.seeds {
		sim.addControl(address, true)
	}
	sim.backend = &simulatedBackend{sim: sim}
	for i := range simulatedAgents {
		sim.addAgent(i)
	}
	sim.operators = newSimulatedOperators(sim)
	return sim
}

// clock is the time of the package time at this moment.
func (sim *simulation) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(sim.now) }

func (sim *simulation) after(span time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, occurrence{sim.now + span, sim.order, do})
}

// every does something again and again, from some moment within the first span on, until it gives false.
func (sim *simulation) every(span time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			sim.after(span, again)
		}
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(span))), again)
}

// advance lets time pass.
func (sim *simulation) advance(span time.Duration) {
	end := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(occurrence)
		sim.now = next.at
		sim.events++
		next.do()
	}
	sim.now = end
}

// advanceUntil lets time pass until something is so, or the timeout is over.
func (sim *simulation) advanceUntil(timeout time.Duration, is func() bool) bool {
	for end := sim.now + timeout; sim.now < end; sim.advance(time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// record adds something that happened to the trace.
func (sim *simulation) record(format string, args ...any) {
	fmt.Fprintf(sim.trace, "%d ", sim.now)
	fmt.Fprintf(sim.trace, format, args...)
	if testing.Verbose() && sim.t != nil && traceWorlds {
		sim.t.Logf("%v "+format, append([]any{sim.now}, args...)...)
	}
}

// traceWorlds is set to look into a single history.
const traceWorlds = false

func (sim *simulation) failf(format string, args ...any) {
	if len(sim.failures) < maxFailures {
		sim.failures = append(sim.failures, fmt.Sprintf("%v ", sim.now)+fmt.Sprintf(format, args...))
	}
}
