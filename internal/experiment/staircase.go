package experiment

import (
	"fmt"
	"math"
	"time"
)

// addTo adds the settings that make a scenario's load rise in steps and fall again.
func (s *Staircase) addTo(set map[string]any) {
	each := s.Each.D()
	var jumps []any
	for i, times := range s.loads() {
		jumps = append(jumps, map[string]any{"at": (each * timeOf(i)).String(), "for": each.String(), "times": times})
	}
	set["length"] = (each * timeOf(len(jumps))).String()
	set["traffic.jumps"] = jumps
}

// loads returns the load of each step, up and then down, as multiples of the scenario's.
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

// Step is the service at one step of a run.
type Step struct {
	Load    float64 `json:"load"`
	Service float64 `json:"service"`
	Down    bool    `json:"down"`
	Asked   bool    `json:"asked"` // whether there were requests; without any, Service is undefined
}

// Climb aggregates a run's seconds into steps. It leaves out the first second of each step: queues still hold requests
// of the previous step then, which matters most on the way down, where the load before was higher.
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

// Figures returns the load at which service falls below the threshold (tips-at), the load on the way down at which it
// has recovered (back-at), and the difference of the two (hysteresis), which shows how far a metastable failure sustains
// itself. What does not happen within the steps has no figure.
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
	// Service has recovered only where it stays good to the end: a single good step between bad ones may be luck.
	for i := len(steps) - 1; i > tipped && steps[i].Down && steps[i].Asked && steps[i].Service >= s.Below; i-- {
		f["back-at"] = steps[i].Load
	}
	if back, ok := f["back-at"]; ok {
		f["hysteresis"] = math.Round((f["tips-at"]-back)*1e6) / 1e6
	}
	return f
}

// Says describes the staircase in words.
func (s *Staircase) Says() string {
	return fmt.Sprintf("load from %v to %v times the scenario's in %d steps of %v, then back down; service below %v counts as tipped over", s.From, s.To, s.Steps, s.Each.D(), s.Below)
}

func timeOf(i int) time.Duration { return time.Duration(i) }
