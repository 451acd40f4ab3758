package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// entry is a fault or a planned operation in a day's file.
type entry struct {
	At       float64 `toml:"at"`
	Kind     string  `toml:"kind"`
	How      string  `toml:"how,omitempty"`
	Duration float64 `toml:"for_s,omitempty"`
	Count    int     `toml:"count,omitempty"`
	Share    float64 `toml:"share,omitempty"`
	Gap      float64 `toml:"gap_s,omitempty"`
	Strength float64 `toml:"x,omitempty"`
	On       string  `toml:"on,omitempty"`
}

// goal sets how a day is scored. These days only check the rules, so the floor stays 0.
type goal struct {
	Floor float64 `toml:"floor"`
}

// day is one day in the format that the bench reads.
type day struct {
	Name    string  `toml:"name"`
	Slot    string  `toml:"slot"`
	Seed    uint64  `toml:"seed"`
	One     float64 `toml:"one"`
	Zero    float64 `toml:"zero"`
	Wall    float64 `toml:"wall"`
	Goal    goal    `toml:"goal"`
	Closing closing `toml:"closing"`
	Plan    []entry `toml:"plan"`
	Faults  []entry `toml:"faults"`
}

// dayFile is the content of a day's file: a list with one day.
type dayFile struct {
	Days []day `toml:"day"`
}

const (
	firstFault   = 1.5 // seconds after the traffic starts
	lastMargin   = 7.0 // seconds before the end; a later fault would overlap the closing fault
	wallAllowed  = 3.0
	seedOfDayMax = 1 << 31
)

// inForce returns the variants whose kind the bench lists for the site.
func inForce(all []variant, kinds string) []variant {
	named := map[string]bool{}
	for line := range strings.Lines(kinds) {
		name, _, _ := strings.Cut(line, ":")
		named[strings.TrimSpace(name)] = true
	}
	var kept []variant
	for _, v := range all {
		if named[v.Kind] {
			kept = append(kept, v)
		}
	}
	return kept
}

// drawDay generates day number of a seed. length is the duration of the day's traffic in seconds.
func drawDay(seed uint64, number int, length float64, all []variant) day {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	ends := closings()
	// The closing faults shift by one every len(all) days, so that each subject is paired with each of them.
	subject := all[number%len(all)]
	end := ends[(number+number/len(all))%len(ends)]
	other := all[rng.IntN(len(all))]
	for other.Kind == subject.Kind {
		other = all[rng.IntN(len(all))]
	}
	d := day{
		Name: fmt.Sprintf("own-%d-%d", seed, number), Slot: "trouble", Seed: rng.Uint64N(seedOfDayMax),
		One: 1, Zero: 0, Wall: wallAllowed, Closing: end, Plan: []entry{}, Faults: []entry{},
	}
	room := length - firstFault - lastMargin
	first := firstFault + rng.Float64()*room/2
	d.add(subject, first)
	d.add(other, first+rng.Float64()*max(subject.Duration, 1))
	if !subject.Last {
		d.add(subject, firstFault+room/2+rng.Float64()*room/2)
	}
	return d
}

// add appends a fault or planned operation at a time in seconds.
func (d *day) add(v variant, at float64) {
	const steps = 100 // time steps per second
	e := entry{
		At: math.Round(at*steps) / steps, Kind: v.Kind, How: v.How, Duration: v.Duration, Count: v.Count,
		Share: v.Share, Gap: v.Gap, Strength: v.Strength, On: v.On,
	}
	if v.Planned {
		d.Plan = append(d.Plan, e)
		return
	}
	d.Faults = append(d.Faults, e)
}
