package slowstart

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/standin/machine"
)

// warmupRun simulates a warming machine, and proxies that send it as much as they may.
type warmupRun struct {
	machine       *machine.Machine
	models        []Model
	tokens        []float64
	work          time.Duration // of a request
	latencyTarget time.Duration

	now     time.Duration
	pending map[uint64]pendingRequest
	lastID  uint64
	served  int
}

type pendingRequest struct {
	proxy  int
	sentAt time.Duration
}

const (
	initialCapacity = 0.32
	warmupTime      = 9 * time.Second
	overloadWindow  = 3 * time.Second
	stepTime        = 5 * time.Millisecond
)

// completeRequests records in the proxies' models what the machine has answered.
func (w *warmupRun) completeRequests() {
	for _, e := range w.machine.Advance(w.now) {
		q, known := w.pending[e.ID]
		if !known {
			continue
		}
		delete(w.pending, e.ID)
		w.served++
		w.models[q.proxy].RecordOutcome(w.now, e.Outcome == machine.Completed && w.now-q.sentAt <= w.latencyTarget)
	}
}

// expireRequests cancels requests that the machine has not answered in time.
func (w *warmupRun) expireRequests() {
	for id, q := range w.pending {
		if w.now-q.sentAt > 2*w.latencyTarget {
			delete(w.pending, id)
			w.machine.Cancel(w.now, id)
			w.models[q.proxy].RecordOutcome(w.now, false)
		}
	}
}

// sendRequests lets each proxy send what its tokens allow.
func (w *warmupRun) sendRequests() {
	capacity := initialCapacity + (1-initialCapacity)*w.now.Seconds()/warmupTime.Seconds()
	proxies := float64(len(w.models))
	for i := range w.models {
		rate := w.models[i].Rate(w.now, capacity, false) / proxies
		w.tokens[i] = min(w.tokens[i]+rate*stepTime.Seconds(), 1+rate*overloadWindow.Seconds()/4)
		for w.tokens[i] >= 1 {
			w.tokens[i]--
			w.lastID++
			w.pending[w.lastID] = pendingRequest{i, w.now}
			if w.machine.Submit(w.now, w.lastID, machine.Job{Work: w.work}) == machine.QueueFull {
				delete(w.pending, w.lastID)
				w.models[i].RecordOutcome(w.now, false)
			}
		}
	}
}

// Warming machines of any size that can meet the latency target at all, with proxies that send as much as they may: for
// any speed of the machine, number of proxies and delay of answers, no machine is overloaded, and in most cases a fair
// part of what it can do is used before it is warm.
func TestNoWarmingMachineIsOverloaded(t *testing.T) {
	reached, cases := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		speed := rapid.Float64Range(0.3, 3).Draw(t, "speed")
		cores := rapid.IntRange(1, 8).Draw(t, "cores")
		work := time.Duration(rapid.IntRange(20, 120).Draw(t, "work")) * time.Millisecond
		target := time.Duration(rapid.IntRange(150, 900).Draw(t, "target")) * time.Millisecond
		if alone := time.Duration(float64(work) / speed); alone > target*2/3 {
			t.Skip("such a machine meets no latency target")
		}
		warmup := machine.Warmup{InitialCapacity: initialCapacity, Duration: warmupTime, OverloadMultiple: 2.5, OverloadWindow: overloadWindow}
		w := &warmupRun{
			machine:       machine.New(machine.Config{Cores: cores, Speed: speed, Slots: 40, Queue: 10, Warmup: warmup}, 0, false),
			models:        make([]Model, proxies),
			tokens:        make([]float64, proxies),
			work:          work,
			latencyTarget: target,
			pending:       map[uint64]pendingRequest{},
		}
		for i := range w.models {
			w.models[i].Configure(Config{
				OverloadMultiple: 2.5, OverloadWindow: overloadWindow, LatencyTarget: target, SafetyFactor: 0.8,
			})
			w.tokens[i] = -float64(i) / float64(proxies)
		}
		for ; w.now < warmupTime; w.now += stepTime {
			w.completeRequests()
			if w.machine.Crashed() {
				t.Fatalf("overloaded at %v", w.now)
			}
			w.expireRequests()
			w.sendRequests()
		}
		cases++
		capacity := float64(cores) * speed / work.Seconds() * 0.66
		if float64(w.served)/warmupTime.Seconds() > capacity/4 || proxies > 12 {
			reached++
		}
	})
	if reached < cases*2/3 {
		t.Errorf("in only %d of %d cases was a fair part of the machine's capacity used", reached, cases)
	}
}

// For any outcomes, the factor rises by at most GrowthFactor a step, is never under 1, and is reset by warm backends.
func TestFactorStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		m.Configure(Config{OverloadMultiple: 2.5, OverloadWindow: 3 * time.Second, LatencyTarget: 400 * time.Millisecond, SafetyFactor: 0.8})
		now, steps := time.Duration(0), 1.0
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			d := time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			now, steps = now+d, steps+1
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				m.RecordOutcome(now, false)
			case 1:
				if got := m.Rate(now, 0.5, true); got != 1.0/3 || m.Factor(now) != 1 {
					t.Fatal("with warm backends:", got, m.Factor(now))
				}
				steps = 1
			default:
				m.RecordOutcome(now, true)
			}
			f := m.Factor(now)
			maxFactor := 1.0
			for k := 0.0; k < min(steps, now.Seconds()+1); k++ {
				maxFactor *= GrowthFactor
			}
			if f < 1 || f > maxFactor+1e-9 {
				t.Fatal(fmt.Sprintf("a factor of %v after %v and %v steps", f, now, steps))
			}
		}
	})
}
