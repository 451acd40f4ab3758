package experiment

import (
	"fmt"
	"math"
	"time"
)

// shape makes a scenario's load go up in steps and down again.
func (s *Staircase) addTo(set map[string]any) {
	each := s.Each.D()
	var jumps []any
	for i, times := range s.loads() {
		jumps = append(jumps, map[string]any{"at": (each * timeOf(i)).String(), "for": each.String(), "times": times})
	}
	set["length"] = (each * timeOf(len(jumps))).String()
	set["traffic.jumps"] = jumps
}

// loads are the loads of the steps, as multiples of the scenario's.
func (s *Staircase) loads() (loads []float64) {
	at := func(i int) float64 {
		v := s.From + (s.To-s.From)*float64(i)/float64(s.Steps-1)
		return math.Round(v*1e6) / 1e6
	}
	for i := range s.Steps {
		loads = append(loads, at(i))
	}
	for i := s.Steps - 1; i >= 0; i-- {
		loads = append(loads, at(i))
	}
	return loads
}

// Step is the service of one step.
type Step struct {
	Load    float64 `json:"load"`
	Service float64 `json:"service"`
	Down    bool    `json:"down"`
	Asked   bool    `json:"asked"` // whether anybody asked for anything: where nobody did, nothing is said
}

// Climb reads a run's seconds as steps. The first second of each is left out: it still has the load before
// it in its queues, and on the way down that is what a step is judged by from then on.
func (s *Staircase) Climb(seconds []Second) (steps []Step) {
	each := int(s.Each.D().Seconds() + 0.5)
	for i, load := range s.loads() {
		var sum Second
		for k := i*each + 1; k < min((i+1)*each, len(seconds)); k++ {
			sum.Asked += seconds[k].Asked
			sum.Served += seconds[k].Served
		}
		x := Step{Load: load, Down: i >= s.Steps, Asked: sum.Asked > 0}
		if x.Asked {
			x.Service = sum.Served / sum.Asked
		}
		steps = append(steps, x)
	}
	return steps
}

// Figures are the load at which service falls under the bound, the load on the way down at which it is
// back, and how far the second lies under the first: what a failure that keeps itself up costs. What does
// not happen within the steps has no figure.
func (s *Staircase) Figures(seconds []Second) map[string]float64 {
	f := map[string]float64{}
	steps := s.Climb(seconds)
	tipped := -1
	for i, x := range steps {
		if x.Asked && x.Service < s.Below {
			f["tips-at"], tipped = x.Load, i
			break
		}
	}
	if tipped < 0 {
		return f
	}
	// Back is where it stays: one good step between bad ones is luck.
	for i := len(steps) - 1; i > tipped && steps[i].Down && steps[i].Asked && steps[i].Service >= s.Below; i-- {
		f["back-at"] = steps[i].Load
	}
	if back, ok := f["back-at"]; ok {
		f["hysteresis"] = math.Round((f["tips-at"]-back)*1e6) / 1e6
	}
	return f
}

// Says tells what the staircase asks.
func (s *Staircase) Says() string {
	return fmt.Sprintf("load from %v to %v times the scenario's in %d steps of %v and down again; tipped over is below %v", s.From, s.To, s.Steps, s.Each.D(), s.Below)
}

func timeOf(i int) time.Duration { return time.Duration(i) }
