package main

import (
	"fmt"
	"runtime"
	"time"

	"marlreel/internal/experiment"
)

// resultsCmd shows the stored results of experiments.
type resultsCmd struct {
	Store string `help:"File in which results are stored; default: marlreel/experiments.db in the user's cache." placeholder:"FILE"`

	List   resultsListCmd   `cmd:"" help:"List the experiments in the store."`
	Show   resultsShowCmd   `cmd:"" help:"Show the analysis of an experiment's results so far."`
	Export resultsExportCmd `cmd:"" help:"Print every run, as CSV or JSON."`
	Forget resultsForgetCmd `cmd:"" help:"Delete an experiment with all its results."`
}

// openStore opens the store at a path, or the default one for "". It prints a message while it waits for the store's lock.
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

// analyse analyses an experiment's results so far. The analysis names this machine.
func analyse(s *experiment.Store, name string) (*experiment.Analysis, error) {
	identity, err := s.Identity(name)
	if err != nil {
		return nil, err
	}
	results, err := s.Results(name)
	if err != nil {
		return nil, err
	}
	identity.Machine = fmt.Sprintf("%d processors, %s", runtime.NumCPU(), runtime.GOOS)
	return experiment.Analyse(name, identity, results), nil
}

// resultsListCmd lists the experiments of a store.
type resultsListCmd struct{}

// Run implements the command.
func (resultsListCmd) Run(r *resultsCmd, o *output) error {
	store, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer store.Close()
	names, err := store.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		a, err := analyse(store, name)
		if err != nil {
			return err
		}
		o.print(fmt.Sprintf("%-16s %-9s %d of %d runs count, %d to be played, %d void\n", name, a.Identity.Question, a.Played, a.Runs, a.Missing, a.Void))
	}
	return nil
}

// resultsShowCmd shows an experiment's analysis.
type resultsShowCmd struct {
	Name string `arg:"" help:"The experiment."`
	Out  string `help:"Write a page, its charts and the runs as CSV to this folder." placeholder:"DIR"`
	JSON bool   `name:"json" help:"For programs."`
}

// Run implements the command.
func (c resultsShowCmd) Run(r *resultsCmd, o *output) error {
	store, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer store.Close()
	a, err := analyse(store, c.Name)
	if err != nil {
		return err
	}
	return printAnalysis(o, a, c.JSON, c.Out)
}

// resultsExportCmd prints an experiment's runs as CSV or JSON.
type resultsExportCmd struct {
	Name string `arg:"" help:"The experiment."`
	CSV  bool   `name:"csv" xor:"as" help:"A line for each run and figure (the default)."`
	JSON bool   `name:"json" xor:"as" help:"The plan, and all tries of each run."`
}

// Run implements the command.
func (c resultsExportCmd) Run(r *resultsCmd, o *output) error {
	store, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer store.Close()
	if c.JSON {
		identity, err := store.Identity(c.Name)
		if err != nil {
			return err
		}
		results, err := store.Results(c.Name)
		if err != nil {
			return err
		}
		return o.printJSON(experiment.Export(identity, results))
	}
	a, err := analyse(store, c.Name)
	if err != nil {
		return err
	}
	return a.CSV(o.out)
}

// resultsForgetCmd deletes an experiment from a store.
type resultsForgetCmd struct {
	Name string `arg:"" help:"The experiment."`
}

// Run implements the command.
func (c resultsForgetCmd) Run(r *resultsCmd, o *output) error {
	store, err := openStore(r.Store, o)
	if err != nil {
		return err
	}
	defer store.Close()
	return store.Forget(c.Name)
}
