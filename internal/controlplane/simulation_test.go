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

// delayedCall is what a cut holds up on a connection.
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
	// mostLog bounds what is kept to tell of a history that fails.
	maxFailures = 12
)

func newSimulation(t *testing.T, seed uint64, controls int) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: time.Second, partitioned: map[direction]bool{}, trace: fnv.New64a(),
		coverage: map[string]int{},
	}
	for i := range controls {
		w.seeds = append(w.seeds, fmt.Sprintf("c%d", i))
	}
	for _, address := range w.seeds {
		w.addControl(address, true)
	}
	w.backend = &simulatedBackend{sim: w}
	for i := range simulatedAgents {
		w.addAgent(i)
	}
	w.operators = newSimulatedOperators(w)
	return w
}

// clock is the time of the package time at this moment.
func (w *simulation) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(w.now) }

func (w *simulation) after(span time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, occurrence{w.now + span, w.order, do})
}

// every does something again and again, from some moment within the first span on, until it gives false.
func (w *simulation) every(span time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			w.after(span, again)
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(span))), again)
}

// advance lets time advance.
func (w *simulation) advance(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(occurrence)
		w.now = next.at
		w.events++
		next.do()
	}
	w.now = end
}

// advanceUntil lets time pass until something is so, for most.
func (w *simulation) advanceUntil(most time.Duration, is func() bool) bool {
	for end := w.now + most; w.now < end; w.advance(time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// record adds something that happened to the trace.
func (w *simulation) record(format string, args ...any) {
	fmt.Fprintf(w.trace, "%d ", w.now)
	fmt.Fprintf(w.trace, format, args...)
	if testing.Verbose() && w.t != nil && traceWorlds {
		w.t.Logf("%v "+format, append([]any{w.now}, args...)...)
	}
}

// traceWorlds is set to look into a single history.
const traceWorlds = false

func (w *simulation) failf(format string, args ...any) {
	if len(w.failures) < maxFailures {
		w.failures = append(w.failures, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	}
}
