package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"marlreel/internal/rehearsal"
)

// runCmd plays a scenario and prints the report.
type runCmd struct {
	Scenario string `arg:"" optional:"" default:"morning" help:"A shipped scenario's name, or a file."`
	Seed     uint64 `help:"Seed of the schedule; default: that of the scenario."`
	Out      string `help:"Write report.json, report.html and the proxies' logs to this folder." placeholder:"DIR"`
	JSON     bool   `name:"json" help:"Print report.json instead of the table."`
	Marlreel string `help:"The daemon to test; default: the one beside this program, or on PATH." placeholder:"PATH"`
	Baseline string `help:"Test a stand-in proxy instead of the daemon: random." enum:",random" default:"" placeholder:"random"`
}

// Run implements the command.
func (r runCmd) Run(ctx context.Context, o *output) error {
	scenario, err := loadScenario(r.Scenario)
	if err != nil {
		return err
	}
	if r.Baseline != "" && r.Marlreel != "" {
		return eris.New("--baseline and --marlreel exclude each other: give one")
	}
	if r.Baseline != "" && scenario.RPC() {
		return eris.New("--baseline supports only HTTP, and " + scenario.Name + " has classes with protocol rpc")
	}
	proxy, err := findProxy(r.Marlreel, r.Baseline)
	if err != nil {
		return err
	}
	report, err := rehearsal.Run(ctx, scenario, rehearsal.Options{
		Seed: cmp.Or(r.Seed, scenario.Seed), Out: r.Out, Command: proxy.command, Name: proxy.name, Progress: o.progress(scenario.Name),
	})
	o.clearProgress()
	if err != nil {
		return err
	}
	if r.Out != "" {
		if err := report.Write(r.Out); err != nil {
			return err
		}
	}
	if err := r.print(o, report); err != nil {
		return err
	}
	return verdict(report)
}

func (r runCmd) print(o *output, report *rehearsal.Report) error {
	if r.JSON {
		return o.printJSON(report)
	}
	o.print(report.Text())
	if r.Out != "" {
		o.print(fmt.Sprintf("  report: %s\n", filepath.Join(r.Out, "report.html")))
	}
	return nil
}

// verdict returns an *exitError for a report that is void, or has a broken rule or a crash. A crash counts in a void run too.
func verdict(report *rehearsal.Report) error {
	switch {
	case report.Crashes > 0:
		return &exitError{exitBroken}
	case report.Void != "":
		return &exitError{exitVoid}
	case !report.OK():
		return &exitError{exitBroken}
	}
	return nil
}

// proxyProgram is the command that starts a proxy, and the proxy's name in reports.
type proxyProgram struct {
	command []string
	name    string
}

// findProxy returns the daemon at a path ("" searches for it), or this program as the baseline if one is named.
func findProxy(marlreel, baseline string) (proxyProgram, error) {
	if baseline != "" {
		self, err := os.Executable()
		return proxyProgram{[]string{self, "plain-proxy"}, "a proxy that picks at " + baseline}, err
	}
	path, err := rehearsal.FindMarlreel(marlreel)
	return proxyProgram{[]string{path}, "marlreel"}, err
}
