package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// The commands and flags are the recorded ones.
func TestCompatibilityCommandLine(t *testing.T) {
	var c cli
	parser, err := kong.New(&c, kong.Name("rehearse"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	commandLine(&got, parser.Model.Node, "rehearse")
	compareRecorded(t, "command-line.txt", []byte(got.String()))
}

// What check tells a program of a scenario, its schedule among it.
func TestCompatibilityCheckJSON(t *testing.T) {
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"check", "smoke", "--seed", "7", "--json"}, &out, &errs); code != 0 {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	compareRecorded(t, "check.json", out.Bytes())
}

// The keys of list --json.
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

// commandLine writes the commands, flags and arguments of a command line down: names, short forms, environment,
// defaults and what must be given, and no words for people.
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

// The files under testdata/compatibility hold what the tree at commit 6fb9894 wrote. They stay as they are: a
// difference is a change of a form that others read, not a reason to write them anew. The variable below wrote
// them; it only makes files that are not there.
const writeCompatibility = "MARLREEL_WRITE_COMPATIBILITY"

// compareRecorded compares bytes with a recorded file.
func compareRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(writeCompatibility) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got %s\nwant %s", name, got, want)
	}
}
