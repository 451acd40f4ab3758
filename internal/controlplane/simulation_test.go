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

// A simulation consists of control processes with their stores, agents that watch them and hold leases, a backend that
// receives orders, and operators, on one queue of events: what happens, and in which order, is determined by one seed. It
// runs the program's own replica, store, feed, lease granter and clocks, with events instead of goroutines.

// event is an action scheduled at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// direction is one direction of the link between two addresses.
type direction struct{ from, to string }

// delayedCall is a message on a connection that a partition delays.
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
	loss        float64 // the probability that a datagram is lost
	replyLoss   float64 // the probability that an answer to an operator is lost
	trace       hash.Hash64
	events      int
	failures    []string
	coverage    map[string]int // how often each situation that the faults are meant to cause has occurred
	operators   *simulatedOperators
	quiesced    bool // operators make no more changes
}

const (
	simulatedAgents = 3
	// controlTickInterval is how often a control process checks its timeouts.
	controlTickInterval = 30 * time.Millisecond
	// maxBacklog bounds the events that are queued for a frozen process.
	maxBacklog = 1024
	// maxFailures bounds the messages that are reported for a failed history.
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

// clock is the present time of the simulation as a time.Time.
func (sim *simulation) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(sim.now) }

func (sim *simulation) after(span time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, event{sim.now + span, sim.order, do})
}

// every runs do at intervals of span, from a random time within the first span, until do returns false.
func (sim *simulation) every(span time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			sim.after(span, again)
		}
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(span))), again)
}

// advance advances the time by span, and runs the events within it.
func (sim *simulation) advance(span time.Duration) {
	end := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		sim.events++
		next.do()
	}
	sim.now = end
}

// advanceUntil advances the time until a condition holds or the timeout is over, and reports whether the condition holds.
func (sim *simulation) advanceUntil(timeout time.Duration, is func() bool) bool {
	for end := sim.now + timeout; sim.now < end; sim.advance(time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// record adds a message to the trace.
func (sim *simulation) record(format string, args ...any) {
	fmt.Fprintf(sim.trace, "%d ", sim.now)
	fmt.Fprintf(sim.trace, format, args...)
	if testing.Verbose() && sim.t != nil && logTrace {
		sim.t.Logf("%v "+format, append([]any{sim.now}, args...)...)
	}
}

// logTrace is set to true to debug a single history.
const logTrace = false

func (sim *simulation) failf(format string, args ...any) {
	if len(sim.failures) < maxFailures {
		sim.failures = append(sim.failures, fmt.Sprintf("%v ", sim.now)+fmt.Sprintf(format, args...))
	}
}
