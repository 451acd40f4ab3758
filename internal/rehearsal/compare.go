package rehearsal

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Spread summarizes a figure over several runs.
type Spread struct {
	Mean float64   `json:"mean"`
	Low  float64   `json:"low"`
	High float64   `json:"high"`
	All  []float64 `json:"all"`
}

// spread summarizes figures; without any, all fields are zero.
func spread(all []float64) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	s := Spread{Low: slices.Min(all), High: slices.Max(all), All: all}
	for _, v := range all {
		s.Mean += v / float64(len(all))
	}
	return s
}

// Difference holds a figure for two sets of runs.
type Difference struct {
	Name string `json:"name"`
	A    Spread `json:"a"`
	B    Spread `json:"b"`
}

// Comparison is the comparison of two sets of runs.
type Comparison struct {
	Figures   []Difference `json:"figures"`
	SameDays  bool         `json:"same_schedules"` // each pair of runs had the same schedule
	BreaksA   int          `json:"breaks_a"`
	BreaksB   int          `json:"breaks_b"`
	Separated bool         `json:"separated"` // the ranges of service don't overlap
	Void      int          `json:"void"`
}

// Compare compares two sets of runs.
func Compare(a, b []*Report) Comparison {
	c := Comparison{SameDays: len(a) == len(b)}
	for i := range min(len(a), len(b)) {
		c.SameDays = c.SameDays && a[i].Schedule == b[i].Schedule
	}
	add := func(name string, of func(*Report) float64) {
		var fa, fb []float64
		for _, r := range a {
			fa = append(fa, of(r))
		}
		for _, r := range b {
			fb = append(fb, of(r))
		}
		c.Figures = append(c.Figures, Difference{name, spread(fa), spread(fb)})
	}
	add("service", func(r *Report) float64 { return r.Service })
	add("with deductions", func(r *Report) float64 { return r.After })
	add("whole run", func(r *Report) float64 { return r.Parts.Whole })
	add("worst 10 s", func(r *Report) float64 { return r.Parts.Window })
	add("worst class", func(r *Report) float64 { return r.Parts.Class })
	add("worst house", func(r *Report) float64 { return r.Parts.House })
	names := map[string]bool{}
	for _, r := range append(slices.Clone(a), b...) {
		for n := range r.Classes {
			names[n] = true
		}
		if r.Void != "" {
			c.Void++
		}
	}
	for _, n := range sorted(names) {
		add(n, func(r *Report) float64 { return r.Classes[n].Service })
		add(n+" p99 ms", func(r *Report) float64 { return r.Classes[n].P99 })
	}
	add("attempts a request", func(r *Report) float64 { return float64(r.Attempts) / float64(max(r.Requests, 1)) })
	add("handshakes", func(r *Report) float64 { return float64(r.Handshakes) })
	add("proxies' CPU s", func(r *Report) float64 {
		sum := 0.0
		for _, p := range r.Proxies {
			sum += p.CPU
		}
		return sum
	})
	add("proxies' MB", func(r *Report) float64 {
		most := 0.0
		for _, p := range r.Proxies {
			most = max(most, p.MemoryMB)
		}
		return most
	})
	sum := func(of []*Report) (n int) {
		for _, r := range of {
			n += r.Rules.Lost + r.Rules.Duplicated + r.Rules.Drains + r.Rules.Cold + r.Rules.Settings + r.Crashes
		}
		return n
	}
	c.BreaksA, c.BreaksB = sum(a), sum(b)
	s := c.Figures[0]
	c.Separated = s.A.Low > s.B.High || s.B.Low > s.A.High
	return c
}

// Text returns the comparison as text for a terminal.
func (c Comparison) Text(a, b string) string {
	var t strings.Builder
	fmt.Fprintf(&t, "A = %s\nB = %s\n\n  %-22s %26s %26s %10s\n", a, b, "", "A mean (low to high)", "B mean (low to high)", "B - A")
	for _, f := range c.Figures {
		digits := 3
		if math.Max(f.A.High, f.B.High) > 10 {
			digits = 0
		}
		cell := func(s Spread) string {
			return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Mean, digits, s.Low, digits, s.High)
		}
		fmt.Fprintf(&t, "  %-22s %26s %26s %+10.*f\n", f.Name, cell(f.A), cell(f.B), digits, f.B.Mean-f.A.Mean)
	}
	fmt.Fprintf(&t, "\n  rules broken and crashes: A %d, B %d\n", c.BreaksA, c.BreaksB)
	if !c.SameDays {
		t.WriteString("  the schedules differ: these are not the same days\n")
	}
	if c.Void > 0 {
		fmt.Fprintf(&t, "  %d runs are void: the machine was too slow\n", c.Void)
	}
	if len(c.Figures[0].A.All) > 1 {
		if c.Separated {
			t.WriteString("  the spreads of service don't touch\n")
		} else {
			t.WriteString("  the spreads of service overlap: this may be chance\n")
		}
	}
	return t.String()
}
