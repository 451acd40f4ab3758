package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"marlreel/experiments"
	"marlreel/internal/experiment"
	"marlreel/internal/experiment/days"
	"marlreel/internal/rehearsal"
	"marlreel/scenarios"
)

// experimentCmd plays an experiment, or resumes one.
type experimentCmd struct {
	File     string            `arg:"" optional:"" help:"An experiment file, or a shipped one's name; without it, the shipped ones are listed."`
	DryRun   bool              `help:"Check everything, print the plan and its duration, and play nothing."`
	Store    string            `help:"File in which results are stored; default: marlreel/experiments.db in the user's cache." placeholder:"FILE"`
	Out      string            `help:"Write a page, its charts and the runs as CSV to this folder." placeholder:"DIR"`
	Marlreel string            `help:"The daemon for arms that specify none; default: the one beside this program, or on PATH." placeholder:"PATH"`
	Arm      map[string]string `help:"Override the daemon of an arm: name=PATH." placeholder:"NAME=PATH"`
	Name     string            `help:"Store the results under this name, instead of that of the experiment."`
	JSON     bool              `name:"json" help:"Print the analysis for programs."`
}

// Run implements the command.
func (c experimentCmd) Run(ctx context.Context, o *output) error {
	if c.File == "" {
		return listExperiments(o)
	}
	file, err := c.load()
	if err != nil {
		return err
	}
	player := c.player(file)
	plan, err := experiment.Make(file, player)
	if err != nil {
		return err
	}
	if c.DryRun {
		printPlan(o, plan)
		return nil
	}
	store, err := openStore(c.Store, o)
	if err != nil {
		return err
	}
	defer store.Close()
	if err := playPlan(ctx, o, plan, store, player); err != nil {
		return err
	}
	a, err := analyse(store, file.Name)
	if err != nil {
		return err
	}
	if err := printAnalysis(o, a, c.JSON, c.Out); err != nil {
		return err
	}
	if a.Breaks > 0 {
		return &exitError{exitBroken}
	}
	return nil
}

// load loads the experiment's file and applies the flags that override it.
func (c experimentCmd) load() (*experiment.File, error) {
	file, err := loadExperiment(c.File)
	if err != nil {
		return nil, err
	}
	if c.Name != "" {
		if err := file.Rename(c.Name); err != nil {
			return nil, err
		}
	}
	for arm, path := range c.Arm {
		if err := file.SetArm(arm, path); err != nil {
			return nil, err
		}
	}
	return file, nil
}

// loadExperiment loads an experiment by the path of its file, or by its name if it is shipped.
func loadExperiment(name string) (*experiment.File, error) {
	if isPath(name) {
		return experiment.Load(name)
	}
	data, err := experiments.Files.ReadFile(name + ".toml")
	if err != nil {
		return nil, eris.Errorf("no experiment %q is shipped ('rehearse experiment' lists them; a file needs its path, such as ./%s.toml)", name, name)
	}
	return experiment.Parse(name+".toml", data)
}

func listExperiments(o *output) error {
	entries, err := experiments.Files.ReadDir(".")
	if err != nil {
		return err
	}
	for _, entry := range entries {
		file, err := loadExperiment(strings.TrimSuffix(entry.Name(), ".toml"))
		if err != nil {
			return err
		}
		o.print(fmt.Sprintf("%-10s %-9s %s\n", file.Name, file.Question, file.About))
	}
	return nil
}

// player returns the player of the experiment's runs. Paths of scenarios are relative to the experiment's file.
func (c experimentCmd) player(file *experiment.File) *days.Player {
	return &days.Player{
		Scenario: file.Scenario,
		Text: func(name string) (string, []byte, error) {
			if isPath(name) {
				path := file.Beside(name)
				data, err := os.ReadFile(path)
				return path, data, err
			}
			data, err := scenarios.Files.ReadFile(name + ".toml")
			if err != nil {
				return "", nil, eris.Errorf("no scenario %q is shipped ('rehearse list' lists them; a file needs its path, such as ./%s.toml)", name, name)
			}
			return name + ".toml", data, nil
		},
		Command: func(arm experiment.Arm) ([]string, string, error) {
			path := arm.Marlreel
			if path == "" && arm.Baseline == "" {
				path = c.Marlreel
			}
			proxy, err := findProxy(path, arm.Baseline)
			if arm.Baseline == "" {
				proxy.name = arm.Name
			}
			return proxy.command, proxy.name, err
		},
	}
}

// playPlan plays the missing runs of a plan, and prints the progress.
func playPlan(ctx context.Context, o *output, plan *experiment.Plan, store *experiment.Store, player *days.Player) error {
	var current experiment.Standing
	player.Progress = experimentProgress(o, plan.File.Name, &current)
	start := time.Now()
	outcome, err := experiment.Go(ctx, plan, store, player, experiment.Conduct{
		Now: func() time.Duration { return time.Since(start) },
		Tell: func(s experiment.Standing) {
			current = s
			if !o.terminal {
				printStanding(o, plan, s)
			}
		},
	})
	o.clearProgress()
	if err != nil {
		if outcome.Missing > 0 {
			fmt.Fprintf(o.err, "rehearse: %d runs are missing; run the same command again to resume\n", outcome.Missing)
		}
		return err
	}
	if outcome.Spent {
		fmt.Fprintf(o.err, "rehearse: the budget of %v is spent; %d runs are missing, run the same command again to resume\n", plan.File.Budget.D(), outcome.Missing)
	}
	return nil
}

// experimentProgress returns a function that shows a run's progress in one line, or nil without a terminal.
func experimentProgress(o *output, name string, current *experiment.Standing) func(rehearsal.Progress) {
	if !o.terminal {
		return nil
	}
	return func(p rehearsal.Progress) {
		fmt.Fprintf(o.err, clearLine+"%s: run %d of %d, %2.0f of %.0f s; %v left", name, current.Number, current.Of, p.At.Seconds(), p.Length.Seconds(),
			(current.Left - p.At).Round(time.Second))
	}
}

// printStanding prints a line at the start of a run.
func printStanding(o *output, plan *experiment.Plan, s experiment.Standing) {
	repetition := ""
	if s.Again {
		repetition = ", repeated as it was void"
	}
	fmt.Fprintf(o.err, "run %d of %d: %s, seed %d%s; %v left\n", s.Number, s.Of, plan.File.Arms[s.Run.Arm].Name, s.Run.Seed, repetition, s.Left.Round(time.Second))
}

// printPlan prints a plan and its duration.
func printPlan(o *output, plan *experiment.Plan) {
	file := plan.File
	o.print(fmt.Sprintf("%s (%s): %s\n%d runs of %s: %d seeds, %d levels, %d arms; about %v", file.Name, file.Question, file.About, len(plan.Runs), plan.Scenario,
		len(plan.Seeds), len(plan.Levels), len(file.Arms), plan.Length().Round(time.Second)))
	if file.Budget > 0 {
		o.print(fmt.Sprintf(", and the budget is %v", file.Budget.D()))
	}
	o.print("\n")
	if file.Question == experiment.Tipping {
		o.print(file.Tipping.Says() + "\n")
	}
	for i, arm := range file.Arms {
		o.print(fmt.Sprintf("arm %s: build %.12s\n", arm.Name, plan.Checked[i][0].Build))
	}
	for i, run := range plan.Runs {
		o.print(fmt.Sprintf("%4d  %-12s seed %-14d %s\n", i+1, file.Arms[run.Arm].Name, run.Seed, plan.Levels[run.Level]))
	}
}
