package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"marlreel/internal/rehearsal"
)

// baselineRandom selects the baseline where a daemon's path is expected.
const baselineRandom = "random"

// compareCmd compares two stored reports, or two daemons by playing a scenario against them in turn.
type compareCmd struct {
	A        string `arg:"" help:"A report folder or a marlreel binary, or random for the proxy that picks nodes at random."`
	B        string `arg:"" help:"Another of the same kind."`
	Scenario string `default:"morning" help:"For binaries: the scenario to play."`
	Runs     int    `default:"3" help:"For binaries: how often to play it against each, in turn."`
	Seed     uint64 `help:"For binaries: the seed of the first pair of runs; each further pair uses the next one."`
	JSON     bool   `name:"json" help:"For programs."`
}

// Run implements the command.
func (c compareCmd) Run(ctx context.Context, o *output) error {
	if isFolder(c.A) && isFolder(c.B) {
		return c.compareFolders(o)
	}
	if c.Runs < 1 {
		return eris.New("--runs: 1 or more is needed")
	}
	scenario, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	seed := cmp.Or(c.Seed, scenario.Seed)
	var reports [2][]*rehearsal.Report
	for n := range c.Runs {
		for side, proxy := range []string{c.A, c.B} {
			name := fmt.Sprintf("%s, run %d of %d, %s", scenario.Name, n+1, c.Runs, "AB"[side:side+1])
			report, err := play(ctx, o, scenario, proxy, seed+uint64(n), name)
			if err != nil {
				return err
			}
			reports[side] = append(reports[side], report)
		}
	}
	return c.print(o, reports[0], reports[1])
}

func isFolder(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

func (c compareCmd) compareFolders(o *output) error {
	a, err := rehearsal.ReadReport(c.A)
	if err != nil {
		return err
	}
	b, err := rehearsal.ReadReport(c.B)
	if err != nil {
		return err
	}
	return c.print(o, []*rehearsal.Report{a}, []*rehearsal.Report{b})
}

// play plays a scenario once against the daemon at a path, or against the baseline.
func play(ctx context.Context, o *output, scenario *rehearsal.Scenario, proxy string, seed uint64, progressName string) (*rehearsal.Report, error) {
	marlreel, baseline := proxy, ""
	if proxy == baselineRandom {
		marlreel, baseline = "", proxy
	}
	program, err := findProxy(marlreel, baseline)
	if err != nil {
		return nil, err
	}
	report, err := rehearsal.Run(ctx, scenario, rehearsal.Options{
		Seed: seed, Command: program.command, Name: proxy, Progress: o.progress(progressName),
	})
	o.clearProgress()
	return report, err
}

// print prints the comparison, and returns the first verdict of a report that is an error.
func (c compareCmd) print(o *output, a, b []*rehearsal.Report) error {
	comparison := rehearsal.Compare(a, b)
	if c.JSON {
		if err := o.printJSON(comparison); err != nil {
			return err
		}
	} else {
		o.print(comparison.Text(c.A, c.B))
	}
	for _, report := range slices.Concat(a, b) {
		if err := verdict(report); err != nil {
			return err
		}
	}
	return nil
}
