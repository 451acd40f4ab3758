package slowstart

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/standin/machine"
)

// Cold machines of all sizes that can meet the aim at all, and proxies that send all that they may: whatever the
// machines' speeds, the proxies' number and how late answers come, no machine is pushed over, and where there is
// enough of it the rate comes to what the machine can do before it is warm.
func TestNoColdMachineIsPushedOver(t *testing.T) {
	reached, cases := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		speed := rapid.Float64Range(0.3, 3).Draw(t, "speed")
		cores := rapid.IntRange(1, 8).Draw(t, "cores")
		work := time.Duration(rapid.IntRange(20, 120).Draw(t, "work")) * time.Millisecond
		aim := time.Duration(rapid.IntRange(150, 900).Draw(t, "aim")) * time.Millisecond
		if alone := time.Duration(float64(work) / speed); alone > aim*2/3 {
			t.Skip("such a machine meets no aim")
		}
		mc := machine.Config{Cores: cores, Speed: speed, Slots: 40, Queue: 10, Cold: machine.Cold{From: 0.32, For: 9 * time.Second, Multiple: 2.5, Over: 3 * time.Second}}
		m := machine.New(mc, 0, false)
		cfg := Config{OverloadMultiple: 2.5, OverloadWindow: 3 * time.Second, LatencyTarget: aim, SafetyFactor: 0.8}
		models, tokens := make([]Model, proxies), make([]float64, proxies)
		for i := range models {
			models[i].Configure(cfg)
			tokens[i] = -float64(i) / float64(proxies)
		}
		type sent struct {
			proxy int
			at    time.Duration
		}
		open, next := map[uint64]sent{}, uint64(0)
		now, served := time.Duration(0), 0
		for ; now < 9*time.Second; now += 5 * time.Millisecond {
			for _, e := range m.Advance(now) {
				s, known := open[e.ID]
				if !known {
					continue
				}
				delete(open, e.ID)
				served++
				models[s.proxy].RecordOutcome(now, e.Why == machine.Done && now-s.at <= aim)
			}
			if m.Fallen() {
				t.Fatalf("pushed over at %v", now)
			}
			for id, s := range open {
				if now-s.at > 2*aim {
					delete(open, id)
					m.Cancel(now, id)
					models[s.proxy].RecordOutcome(now, false)
				}
			}
			share := 0.32 + 0.68*now.Seconds()/9
			for i := range models {
				tokens[i] = min(tokens[i]+models[i].Rate(now, share, false)/float64(proxies)*0.005, 1+models[i].Rate(now, share, false)/float64(proxies)*0.75)
				for tokens[i] >= 1 {
					tokens[i]--
					next++
					open[next] = sent{i, now}
					if m.Offer(now, next, machine.Job{Work: work}) == machine.QueueFull {
						delete(open, next)
						models[i].RecordOutcome(now, false)
					}
				}
			}
		}
		cases++
		if capacity := float64(cores) * speed / work.Seconds() * 0.66; float64(served)/9 > capacity/4 || proxies > 12 {
			reached++
		}
	})
	if reached < cases*2/3 {
		t.Errorf("only in %d of %d cases a fair part of the machine was used", reached, cases)
	}
}

// Over whatever answers: the factor rises by Grow a step at most, never under 1, and warm ones end it.
func TestFactor(t *testing.T) {
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
					t.Fatal("beside warm ones", got, m.Factor(now))
				}
				steps = 1
			default:
				m.RecordOutcome(now, true)
			}
			f := m.Factor(now)
			most := 1.0
			for k := 0.0; k < min(steps, now.Seconds()+1); k++ {
				most *= GrowthFactor
			}
			if f < 1 || f > most+1e-9 {
				t.Fatal(fmt.Sprintf("a factor of %v after %v and %v steps", f, now, steps))
			}
		}
	})
}
