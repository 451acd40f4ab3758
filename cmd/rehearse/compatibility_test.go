package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"marlreel/internal/testing/recorded"
)

// The commands and flags don't change.
func TestCompatibilityCommandLine(t *testing.T) {
	var c cli
	parser, err := kong.New(&c, kong.Name("rehearse"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	commandLine(&got, parser.Model.Node, "rehearse")
	recorded.Check(t, "command-line.txt", got.String())
}

// The output of check --json doesn't change, including the digest of the schedule.
func TestCompatibilityCheckJSON(t *testing.T) {
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"check", "smoke", "--seed", "7", "--json"}, &out, &errs); code != 0 {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	recorded.Check(t, "check.json", out.String())
}

// The keys of list --json don't change.
func TestCompatibilityListJSON(t *testing.T) {
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"list", "--json"}, &out, &errs); code != 0 {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	var rows []map[string]any
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if keys := slices.Sorted(maps.Keys(row)); !slices.Equal(keys, []string{"about", "length_s", "name"}) {
			t.Errorf("keys %q", keys)
		}
	}
}

// commandLine writes the commands, flags and arguments of a command line: names, short forms, environment variables,
// defaults and which are required, but no help texts.
func commandLine(b *strings.Builder, n *kong.Node, path string) {
	fmt.Fprintf(b, "%s hidden=%v aliases=%q\n", path, n.Hidden, n.Aliases)
	for _, f := range n.Flags {
		short := ""
		if f.Short != 0 {
			short = string(f.Short)
		}
		fmt.Fprintf(b, "  --%s short=%q env=%q default=%q required=%v enum=%q bool=%v\n", f.Name, short, f.Envs, f.Default, f.Required, f.Enum, f.IsBool())
	}
	for _, p := range n.Positional {
		fmt.Fprintf(b, "  <%s> default=%q required=%v\n", p.Name, p.Default, p.Required)
	}
	for _, c := range n.Children {
		commandLine(b, c, path+" "+c.Name)
	}
}
