package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"marlreel/experiments"
	"marlreel/internal/experiment"
	"marlreel/internal/experiment/days"
	"marlreel/internal/rehearsal"
	"marlreel/scenarios"
)

type experimentCmd struct {
	File     string            `arg:"" optional:"" help:"A question's file, or a shipped one's name; none: the shipped ones are listed."`
	DryRun   bool              `help:"Check everything, print the plan and how long it takes, and play nothing."`
	Store    string            `help:"Where results are kept; default: marlreel/experiments.db in the user's cache." placeholder:"FILE"`
	Out      string            `help:"Leave a page, its charts and the runs as CSV in this folder." placeholder:"DIR"`
	Marlreel string            `help:"The daemon of arms that name none; default: the one beside this program, or on PATH." placeholder:"PATH"`
	Arm      map[string]string `help:"Another daemon for an arm: name=PATH." placeholder:"NAME=PATH"`
	Name     string            `help:"Another name for the experiment, under which its results are kept."`
	JSON     bool              `name:"json" help:"Print the analysis for programs."`
}

// question finds a question by a file's path or a shipped one's name.
func question(name string) (*experiment.File, error) {
	if strings.ContainsAny(name, "/\\") || strings.HasSuffix(name, ".toml") {
		return experiment.Load(name)
	}
	data, err := experiments.Files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("no question %q is shipped ('rehearse experiment' lists them; a file needs its path, such as ./%s.toml)", name, name)
	}
	return experiment.Parse(name+".toml", data)
}

func (c experimentCmd) Run(ctx context.Context, o *output) error {
	if c.File == "" {
		return c.list(o)
	}
	f, err := question(c.File)
	if err != nil {
		return err
	}
	if c.Name != "" {
		if err := f.Rename(c.Name); err != nil {
			return err
		}
	}
	for name, path := range c.Arm {
		if err := f.SetArm(name, path); err != nil {
			return err
		}
	}
	player := c.player(f, o)
	plan, err := experiment.Make(f, player)
	if err != nil {
		return err
	}
	if c.DryRun {
		return describe(o.out, plan)
	}
	store, err := openStore(c.Store, o)
	if err != nil {
		return err
	}
	defer store.Close()
	began := time.Now()
	var now experiment.Standing
	player.Progress = c.progress(o, f.Name, &now)
	outcome, err := experiment.Go(ctx, plan, store, player, experiment.Conduct{
		Now: func() time.Duration { return time.Since(began) },
		Tell: func(s experiment.Standing) {
			now = s
			if !o.terminal {
				again := ""
				if s.Again {
					again = ", once more: it was void"
				}
				fmt.Fprintf(o.err, "run %d of %d: %s, seed %d%s; %v left\n", s.Number, s.Of, f.Arms[s.Run.Arm].Name, s.Run.Seed, again, s.Left.Round(time.Second))
			}
		},
	})
	o.clear()
	if err != nil {
		if outcome.Missing > 0 {
			fmt.Fprintf(o.err, "rehearse: %d runs are missing; the same command goes on with them\n", outcome.Missing)
		}
		return err
	}
	if outcome.Spent {
		fmt.Fprintf(o.err, "rehearse: the budget of %v is spent; %d runs are missing, and the same command goes on with them\n", f.Budget.D(), outcome.Missing)
	}
	a, err := analysis(store, f.Name)
	if err != nil {
		return err
	}
	if err := c.report(o, a); err != nil {
		return err
	}
	if a.Breaks > 0 {
		return exit(exitBroken)
	}
	return nil
}

func (c experimentCmd) list(o *output) error {
	entries, err := experiments.Files.ReadDir(".")
	if err != nil {
		return err
	}
	for _, e := range entries {
		f, err := question(strings.TrimSuffix(e.Name(), ".toml"))
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%-10s %-9s %s\n", f.Name, f.Question, f.About)
	}
	return nil
}

func (c experimentCmd) player(f *experiment.File, o *output) *days.Player {
	return &days.Player{
		Scenario: f.Scenario,
		Text: func(name string) (string, []byte, error) {
			if strings.ContainsAny(name, "/\\") || strings.HasSuffix(name, ".toml") {
				path := f.Beside(name)
				data, err := os.ReadFile(path)
				return path, data, err
			}
			data, err := scenarios.Files.ReadFile(name + ".toml")
			if err != nil {
				return "", nil, fmt.Errorf("scenario: no %q is shipped ('rehearse list' has them; a file needs its path, such as ./%s.toml)", name, name)
			}
			return name + ".toml", data, nil
		},
		Command: func(a experiment.Arm) ([]string, string, error) {
			path := a.Marlreel
			if path == "" && a.Baseline == "" {
				path = c.Marlreel
			}
			start, name, err := command(path, a.Baseline)
			if a.Baseline == "" {
				name = a.Name
			}
			return start, name, err
		},
	}
}

// progress writes a line that is written over, on a terminal only.
func (c experimentCmd) progress(o *output, name string, now *experiment.Standing) func(rehearsal.Progress) {
	if !o.terminal {
		return nil
	}
	return func(p rehearsal.Progress) {
		fmt.Fprintf(o.err, "\r\x1b[K%s: run %d of %d, %2.0f of %.0f s; %v left", name, now.Number, now.Of, p.At.Seconds(), p.Length.Seconds(),
			(now.Left - p.At).Round(time.Second))
	}
}

// describe prints a plan.
func describe(w io.Writer, p *experiment.Plan) error {
	f := p.File
	fmt.Fprintf(w, "%s (%s): %s\n%d runs of %s: %d seeds, %d levels, %d arms; about %v", f.Name, f.Question, f.About, len(p.Runs), p.Scenario,
		len(p.Seeds), len(p.Levels), len(f.Arms), p.Length().Round(time.Second))
	if f.Budget > 0 {
		fmt.Fprintf(w, ", and the budget is %v", f.Budget.D())
	}
	fmt.Fprintln(w)
	if f.Question == experiment.Tipping {
		fmt.Fprintln(w, f.Tipping.Says())
	}
	for k, a := range f.Arms {
		fmt.Fprintf(w, "arm %s: build %.12s\n", a.Name, p.Checked[k][0].Build)
	}
	for i, r := range p.Runs {
		fmt.Fprintf(w, "%4d  %-12s seed %-14d %s\n", i+1, f.Arms[r.Arm].Name, r.Seed, p.Levels[r.Level])
	}
	return nil
}

// openStore opens the store at a path, or the default one, and tells whoever waits why they wait.
func openStore(path string, o *output) (*experiment.Store, error) {
	if path == "" {
		var err error
		if path, err = experiment.DefaultStore(); err != nil {
			return nil, err
		}
	}
	return experiment.Open(path, experiment.OpenConfig{OnLockWait: func(remaining time.Duration) {
		fmt.Fprintf(o.err, "store %s: another process has it open; waiting for it for %v at most\n", path, remaining.Round(100*time.Millisecond))
	}})
}

func analysis(s *experiment.Store, name string) (*experiment.Analysis, error) {
	id, err := s.Identity(name)
	if err != nil {
		return nil, err
	}
	results, err := s.Results(name)
	if err != nil {
		return nil, err
	}
	id.Machine = fmt.Sprintf("%d processors, %s", runtime.NumCPU(), runtime.GOOS)
	return experiment.Analyse(name, id, results), nil
}

// report prints an analysis, and leaves its page where one is wanted.
func (c experimentCmd) report(o *output, a *experiment.Analysis) error {
	if c.JSON {
		if err := writeJSON(o.out, a); err != nil {
			return err
		}
	} else {
		io.WriteString(o.out, a.Text())
	}
	if c.Out == "" {
		return nil
	}
	charts, err := a.Charts(c.Out)
	if err != nil {
		return err
	}
	page := filepath.Join(c.Out, a.Name+".md")
	if err := os.WriteFile(page, []byte(a.Markdown(charts)), 0o644); err != nil {
		return err
	}
	runs, err := os.Create(filepath.Join(c.Out, a.Name+".csv"))
	if err != nil {
		return err
	}
	if err := errors.Join(a.CSV(runs), runs.Close()); err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(o.out, "page: %s\n", page)
	}
	return nil
}

type resultsCmd struct {
	Store string `help:"Where results are kept; default: marlreel/experiments.db in the user's cache." placeholder:"FILE"`

	List   resultsList   `cmd:"" help:"List the experiments that were begun."`
	Show   resultsShow   `cmd:"" help:"Show what an experiment's results say so far."`
	Export resultsExport `cmd:"" help:"Print every run, as CSV or JSON."`
	Forget resultsForget `cmd:"" help:"Drop an experiment with all its results."`
}

type resultsList struct{}

func (resultsList) Run(r *resultsCmd, o *output) error {
	s, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer s.Close()
	names, err := s.Names()
	if err != nil {
		return err
	}
	for _, n := range names {
		a, err := analysis(s, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%-16s %-9s %d of %d runs count, %d to be played, %d void\n", n, a.Identity.Question, a.Played, a.Runs, a.Missing, a.Void)
	}
	return nil
}

type resultsShow struct {
	Name string `arg:"" help:"The experiment."`
	Out  string `help:"Leave a page, its charts and the runs as CSV in this folder." placeholder:"DIR"`
	JSON bool   `name:"json" help:"For programs."`
}

func (c resultsShow) Run(r *resultsCmd, o *output) error {
	s, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer s.Close()
	a, err := analysis(s, c.Name)
	if err != nil {
		return err
	}
	return experimentCmd{Out: c.Out, JSON: c.JSON}.report(o, a)
}

type resultsExport struct {
	Name string `arg:"" help:"The experiment."`
	CSV  bool   `name:"csv" xor:"as" help:"A line for each run and figure (the default)."`
	JSON bool   `name:"json" xor:"as" help:"The plan, and all tries of each run."`
}

func (c resultsExport) Run(r *resultsCmd, o *output) error {
	s, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer s.Close()
	if c.JSON {
		id, err := s.Identity(c.Name)
		if err != nil {
			return err
		}
		results, err := s.Results(c.Name)
		if err != nil {
			return err
		}
		return writeJSON(o.out, experiment.Export(id, results))
	}
	a, err := analysis(s, c.Name)
	if err != nil {
		return err
	}
	return a.CSV(o.out)
}

type resultsForget struct {
	Name string `arg:"" help:"The experiment."`
}

func (c resultsForget) Run(r *resultsCmd, o *output) error {
	s, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Forget(c.Name)
}
