package main

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"marlreel/internal/rehearsal"
	"marlreel/scenarios"
)

// isPath reports whether a name is the path of a file, and not the name of a shipped one.
func isPath(name string) bool {
	return strings.ContainsAny(name, "/\\") || strings.HasSuffix(name, ".toml")
}

// loadScenario loads a scenario by the path of its file, or by its name if it is shipped.
func loadScenario(name string) (*rehearsal.Scenario, error) {
	if isPath(name) {
		return rehearsal.Load(name)
	}
	data, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		return nil, eris.Errorf("no scenario %q is shipped ('rehearse list' lists them; a file needs its path, such as ./%s.toml)", name, name)
	}
	return rehearsal.Parse(name+".toml", data)
}

// listCmd prints the shipped scenarios.
type listCmd struct {
	JSON bool `name:"json" help:"For programs."`
}

// Run implements the command.
func (l listCmd) Run(o *output) error {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil {
		return err
	}
	type row struct {
		Name   string  `json:"name"`
		About  string  `json:"about"`
		Length float64 `json:"length_s"`
	}
	var rows []row
	for _, e := range entries {
		s, err := loadScenario(strings.TrimSuffix(e.Name(), ".toml"))
		if err != nil {
			return err
		}
		rows = append(rows, row{s.Name, s.About, s.Length.D().Seconds()})
	}
	if l.JSON {
		return o.printJSON(rows)
	}
	for _, r := range rows {
		o.print(fmt.Sprintf("%-14s %3.0f s  %s\n", r.Name, r.Length, r.About))
	}
	return nil
}

// checkCmd checks a scenario and prints its schedule's digest.
type checkCmd struct {
	File string `arg:"" help:"A scenario file, or a shipped one's name."`
	Seed uint64 `help:"Seed of the schedule; default: that of the scenario."`
	JSON bool   `name:"json" help:"For programs."`
}

// Run implements the command.
func (c checkCmd) Run(o *output) error {
	scenario, err := loadScenario(c.File)
	if err != nil {
		return err
	}
	seed := cmp.Or(c.Seed, scenario.Seed)
	plan := rehearsal.Draw(scenario, seed)
	if c.JSON {
		return o.printJSON(map[string]any{
			"scenario": scenario.Name, "seed": seed, "schedule": plan.Digest(), "nodes": len(plan.Nodes),
			"requests": len(plan.Requests), "events": len(plan.Events), "length_s": scenario.Length.D().Seconds(),
		})
	}
	o.print(fmt.Sprintf("%s is valid: %d nodes, %d requests and %d events in %v\nseed %d, schedule %s\n", scenario.Name, len(plan.Nodes),
		len(plan.Requests), len(plan.Events), scenario.Length.D(), seed, plan.Digest()))
	return nil
}
