package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Analysis is the evaluation of an experiment's results.
type Analysis struct {
	Name     string          `json:"name"`
	Identity *Identity       `json:"identity"`
	Cells    []Cell          `json:"cells"`   // by arm, then by level
	Against  []ArmComparison `json:"against"` // the first arm compared with each other arm, by level
	Runs     int             `json:"runs"`    // planned runs
	Played   int             `json:"played"`  // runs with a valid or failed result
	Missing  int             `json:"missing"` // runs not played yet
	Void     int             `json:"void"`    // void tries of all runs
	Lost     int             `json:"lost"`    // runs that were void in every try
	Breaks   int             `json:"breaks"`  // broken rules and proxy crashes
	LateMs   float64         `json:"late_ms"` // the load generator's delay in the worst run
	KitCPU   float64         `json:"kit_cpu_s"`
}

// Cell holds the results of one arm at one level.
type Cell struct {
	Arm     string            `json:"arm"`
	Level   string            `json:"level,omitempty"`
	Runs    int               `json:"runs"` // valid runs, without failed ones
	Failed  int               `json:"failed"`
	Why     string            `json:"why,omitempty"` // reason of the first failure
	Void    int               `json:"void"`
	Broken  int               `json:"rules_broken"`
	Crashes int               `json:"crashes"`
	Figures map[string]Sample `json:"figures"`
	Absent  map[string]int    `json:"absent,omitempty"` // number of runs without a value of the figure
	Steps   []StepSummary     `json:"steps,omitempty"`  // only with a staircase
	counted []seedResult
}

// StepSummary summarizes one step of the staircase over all runs.
type StepSummary struct {
	Load    float64 `json:"load"`
	Down    bool    `json:"down"`
	Service Sample  `json:"service"`
}

type seedResult struct {
	seed   uint64
	result *Result
}

// ArmComparison compares two arms at one level.
type ArmComparison struct {
	First   string                `json:"first"`
	Second  string                `json:"second"`
	Level   string                `json:"level,omitempty"`
	Figures map[string]Difference `json:"figures"`
	LeftOut map[string]int        `json:"left_out,omitempty"` // pairs in which only one run has the figure
}

// Analyse evaluates an experiment's results.
func Analyse(name string, id *Identity, results map[string][]*Result) *Analysis {
	a := &Analysis{Name: name, Identity: id, Runs: len(id.Runs)}
	for arm := range id.Arms {
		for l, level := range id.Levels {
			c := Cell{Arm: id.Arms[arm].Name, Level: level.String(), Figures: map[string]Sample{}, Absent: map[string]int{}}
			for _, seed := range id.Seeds {
				tries := results[id.Key(Run{arm, l, seed})]
				for _, t := range tries {
					if t.Void != "" {
						c.Void++
					}
					a.KitCPU += t.KitCPU
				}
				switch {
				case needsRun(tries):
					a.Missing++
				case tries[len(tries)-1].Void != "":
					a.Lost++
				default:
					r := tries[len(tries)-1]
					a.Played++
					a.LateMs = max(a.LateMs, r.LateMs)
					c.Broken += r.Broken
					c.Crashes += r.Crashes
					if r.Failed != "" {
						if c.Failed++; c.Why == "" {
							c.Why = r.Failed
						}
						continue
					}
					c.Runs++
					c.counted = append(c.counted, seedResult{seed, r})
				}
			}
			a.Void += c.Void
			a.Breaks += c.Broken + c.Crashes
			for _, f := range id.Figures {
				var x []float64
				for _, r := range c.counted {
					if v, there := r.result.Figures[f]; there && !math.IsNaN(v) {
						x = append(x, v)
					} else {
						c.Absent[f]++
					}
				}
				c.Figures[f] = Describe(x, lowerIsWorse(f))
			}
			if id.Staircase != nil {
				c.Steps = summarizeSteps(id.Staircase, c.counted)
			}
			a.Cells = append(a.Cells, c)
		}
	}
	for arm := 1; arm < len(id.Arms); arm++ {
		for l := range id.Levels {
			a.Against = append(a.Against, compareArms(id.Figures, a.cell(0, l), a.cell(arm, l)))
		}
	}
	return a
}

func (a *Analysis) cell(arm, level int) *Cell { return &a.Cells[arm*len(a.Identity.Levels)+level] }

func summarizeSteps(s *Staircase, all []seedResult) (steps []StepSummary) {
	var climbs [][]Step
	for _, r := range all {
		climbs = append(climbs, s.Climb(r.result.Seconds))
	}
	for i, load := range s.loads() {
		var x []float64
		for _, c := range climbs {
			if c[i].Asked {
				x = append(x, c[i].Service)
			}
		}
		steps = append(steps, StepSummary{load, i >= s.Steps, Describe(x, true)})
	}
	return steps
}

// compareArms pairs the runs of two arms by seed.
func compareArms(figures []string, first, second *Cell) ArmComparison {
	g := ArmComparison{First: first.Arm, Second: second.Arm, Level: first.Level, Figures: map[string]Difference{}, LeftOut: map[string]int{}}
	for n, f := range figures {
		var diffs []float64
		for _, r := range first.counted {
			k := slices.IndexFunc(second.counted, func(o seedResult) bool { return o.seed == r.seed })
			if k < 0 {
				continue
			}
			x, ok := r.result.Figures[f]
			y, ok2 := second.counted[k].result.Figures[f]
			if ok && ok2 {
				diffs = append(diffs, y-x)
			} else if ok != ok2 {
				g.LeftOut[f]++
			}
		}
		g.Figures[f] = Paired(diffs, uint64(n)+1)
	}
	return g
}

// Words summarizes the analysis, one sentence per line.
func (a *Analysis) Words() (lines []string) {
	say := func(format string, v ...any) { lines = append(lines, fmt.Sprintf(format, v...)) }
	say("%d of %d runs count; %d are still to be played, %d were void in every try; %d void tries in total.", a.Played, a.Runs, a.Missing, a.Lost, a.Void)
	if a.LateMs > 0 {
		say("The load generator sent requests up to %.1f ms late (99th percentile, in the worst run that counts) and used %.0f s of CPU.", a.LateMs, a.KitCPU)
	}
	for _, c := range a.Cells {
		where := c.Arm
		if c.Level != "" {
			where += " at " + c.Level
		}
		if c.Failed > 0 {
			say("%s: %d of %d runs failed: %s.", where, c.Failed, c.Failed+c.Runs, strings.TrimSuffix(c.Why, "."))
		}
		if c.Broken > 0 || c.Crashes > 0 {
			say("%s: %d broken rules and %d crashes of proxies in %d runs.", where, c.Broken, c.Crashes, c.Runs)
		}
		for _, f := range a.Identity.Figures {
			if n := c.Absent[f]; n > 0 {
				say("%s: %s has no value in %d of %d runs; its statistics leave these out.", where, f, n, c.Runs)
			}
		}
	}
	seen, judged := 0, 0
	for _, g := range a.Against {
		for _, f := range a.Identity.Figures {
			d := g.Figures[f]
			words := d.Words(g.First, g.Second, f)
			if g.Level != "" {
				words = g.Level + ": " + words
			}
			if n := g.LeftOut[f]; n > 0 {
				words += fmt.Sprintf("; %d pairs are left out because only one arm has a value", n)
			}
			say("%s.", words)
			if d.Verdict != Few {
				judged++
			}
			if d.Verdict == More || d.Verdict == Less {
				seen++
			}
		}
	}
	if judged > 1 && seen > 0 {
		say("%d figures were compared: by chance alone, about %.1f of as many would appear to differ.", judged, (1-confidence)*float64(judged))
	}
	return lines
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	if math.Abs(v) >= 100 {
		return strconv.FormatFloat(v, 'f', 1, 64)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

// Table returns the figures as rows of text, header first.
func (a *Analysis) Table() [][]string {
	t := [][]string{{"arm", "level", "figure", "runs", "median", "low", "high", "deviation", "worst tenth"}}
	for _, f := range a.Identity.Figures {
		for _, c := range a.Cells {
			s := c.Figures[f]
			if s.N == 0 {
				t = append(t, []string{c.Arm, c.Level, f, "0", "-", "-", "-", "-", "-"})
				continue
			}
			t = append(t, []string{c.Arm, c.Level, f, strconv.Itoa(s.N), formatNumber(s.Median), formatNumber(s.Low), formatNumber(s.High), formatNumber(s.Deviation), formatNumber(s.WorstTenth)})
		}
	}
	return t
}

// Text formats the analysis for a terminal.
func (a *Analysis) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s): %s\n\n", a.Name, a.Identity.Question, a.Identity.About)
	t := a.Table()
	wide := make([]int, len(t[0]))
	for _, r := range t {
		for i, c := range r {
			wide[i] = max(wide[i], len(c))
		}
	}
	for _, r := range t {
		for i, c := range r {
			if i == 1 && wide[1] == len("level") && len(a.Identity.Levels) == 1 {
				continue
			}
			pad := "%-*s  "
			if i > 2 {
				pad = "%*s  "
			}
			fmt.Fprintf(&b, pad, wide[i], c)
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	for _, l := range a.Words() {
		b.WriteString(l + "\n")
	}
	return b.String()
}

// Markdown formats the analysis as a section of a page. charts are the paths of its images.
func (a *Analysis) Markdown(charts []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n", a.Name, a.Identity.About)
	if a.Identity.Staircase != nil {
		fmt.Fprintf(&b, "Load profile: %s.\n\n", a.Identity.Staircase.Says())
	}
	if a.Identity.Machine != "" {
		fmt.Fprintf(&b, "Played on %s; seeds %v.\n\n", a.Identity.Machine, a.Identity.Seeds)
	}
	for i, r := range a.Table() {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | "))
		if i == 0 {
			b.WriteString(strings.Repeat("| --- ", len(r)) + "|\n")
		}
	}
	b.WriteString("\n")
	for _, l := range a.Words() {
		b.WriteString("- " + l + "\n")
	}
	for _, c := range charts {
		fmt.Fprintf(&b, "\n![%s](%s)\n", a.Name, c)
	}
	return b.String()
}

// CSV writes a line for each figure of each valid run.
func (a *Analysis) CSV(w io.Writer) error {
	c := csv.NewWriter(w)
	c.Write([]string{"experiment", "arm", "level", "seed", "figure", "value"})
	for _, cell := range a.Cells {
		for _, r := range cell.counted {
			names := make([]string, 0, len(r.result.Figures))
			for f := range r.result.Figures {
				names = append(names, f)
			}
			slices.Sort(names)
			for _, f := range names {
				c.Write([]string{a.Name, cell.Arm, cell.Level, strconv.FormatUint(r.seed, 10), f, strconv.FormatFloat(r.result.Figures[f], 'g', -1, 64)})
			}
		}
	}
	c.Flush()
	return c.Error()
}
