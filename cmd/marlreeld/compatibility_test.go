package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility must not be regenerated to make a test pass (see package recorded). Those named
// sent-… are inputs in the formats of commit 6fb9894.

// flagLine matches a flag in a command's help: its names, the type of its value, and its default.
var flagLine = regexp.MustCompile(`(?m)^ +((?:-\w, )?--[\w-]+(?: \w+)?) {3}.*?(\(default [^)]*\))?$`)

// describe writes a command with its flags, followed by its subcommands.
func describe(command *cobra.Command, out *strings.Builder) {
	fmt.Fprintf(out, "%s | %s\n", command.CommandPath(), command.Use)
	for _, scope := range []struct{ name, flags string }{
		{"below too", command.PersistentFlags().FlagUsages()},
		{"own", command.LocalNonPersistentFlags().FlagUsages()},
	} {
		for _, found := range flagLine.FindAllStringSubmatch(scope.flags, -1) {
			fmt.Fprintf(out, "  %s: %s %s\n", scope.name, found[1], found[2])
		}
	}
	children := command.Commands()
	slices.SortFunc(children, func(a, b *cobra.Command) int { return strings.Compare(a.Name(), b.Name()) })
	for _, child := range children {
		describe(child, out)
	}
}

// Operators and the deploy file rely on the subcommands and flags, which must stay the recorded ones.
func TestCompatibilityOfCommandLine(t *testing.T) {
	root := newCommand(&bytes.Buffer{})
	later, _, err := root.Find([]string{"subscribers"}) // added after commands.txt was recorded
	if err != nil {
		t.Fatal(err)
	}
	var out, added strings.Builder
	describe(later, &added)
	recorded.Check(t, "commands-subscribers.txt", added.String())
	root.RemoveCommand(later)
	describe(root, &out)
	recorded.Check(t, "commands.txt", out.String())
}

// The deploy file has only keys that the platform reads, and starts subcommands that exist.
func TestCompatibilityOfDeployFile(t *testing.T) {
	data, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	type role struct {
		Run    string   `toml:"run"`
		On     string   `toml:"on"`
		Share  float64  `toml:"share"`
		Serves []string `toml:"serves"`
	}
	var file struct {
		Build    string          `toml:"build"`
		Packages []string        `toml:"packages"`
		Roles    map[string]role `toml:"roles"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(file.Build, "-o target/ ./cmd/marlreeld") {
		t.Errorf("the build command is %q", file.Build)
	}
	want := map[string]role{
		"proxy":   {"target/marlreeld proxy", "edge", 1, []string{"edge"}},
		"agent":   {"target/marlreeld agent", "edge", 1, nil},
		"control": {"target/marlreeld control", "core", 1, []string{"control"}},
	}
	if len(file.Roles) != len(want) {
		t.Errorf("%d roles", len(file.Roles))
	}
	for name, expected := range want {
		got := file.Roles[name]
		if got.Run != expected.Run || got.On != expected.On || got.Share != expected.Share || !slices.Equal(got.Serves, expected.Serves) {
			t.Errorf("role %s is %v", name, got)
		}
		command, rest, err := newCommand(&bytes.Buffer{}).Find(strings.Fields(expected.Run)[1:])
		if err != nil || len(rest) > 0 || command.Name() != name {
			t.Errorf("%q starts %v", expected.Run, err)
		}
	}
}

// The output and errors of commands that need no control process match the recorded ones.
func TestCompatibilityOfPrints(t *testing.T) {
	configuration := filepath.Join("testdata", "compatibility", "sent-configuration.json")
	faulty := filepath.Join("testdata", "compatibility", "sent-faulty.json")
	var out strings.Builder
	for _, args := range [][]string{
		{"config", "check", configuration},
		{"config", "check", faulty},
		{"config", "diff", configuration, faulty},
		{"config", "diff", "--json", configuration, faulty},
		{"route", "explain", "a.example", "/chat/1", "--file", configuration},
	} {
		printed, err := execute(t, args...)
		fmt.Fprintf(&out, "== %s\n%s-> %v\n", strings.Join(args, " "), printed, err)
	}
	recorded.Check(t, "prints.txt", out.String())
}

// Commands that call control send the recorded calls, and print the recorded output for a recorded status and answers.
func TestCompatibilityOfOperatorCommands(t *testing.T) {
	status, err := os.ReadFile(filepath.Join("testdata", "compatibility", "sent-status.json"))
	if err != nil {
		t.Fatal(err)
	}
	configuration := filepath.Join("testdata", "compatibility", "sent-configuration.json")
	var calls []string
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, fmt.Sprintf("%s %s base %q", r.Method, r.URL.Path, r.Header.Get("Base-Version")))
		switch {
		case r.URL.Path == "/marlreel/status":
			if _, err := w.Write(status); err != nil {
				t.Error(err)
			}
		case r.Header.Get("Base-Version") == "6":
			w.WriteHeader(http.StatusPreconditionFailed)
			fmt.Fprint(w, `{"code":300,"result":"version conflict","error_cause":"version 7 is current","advice":"read the configuration and build on it"}`)
		default:
			fmt.Fprint(w, "{}")
		}
	}))
	defer control.Close()
	address := strings.TrimPrefix(control.URL, "http://")
	var out strings.Builder
	for _, args := range [][]string{
		{"status"},
		{"status", "--json"},
		{"config", "read"},
		{"config", "apply", configuration},
		{"config", "apply", "--base", "7", "--modify", configuration},
		{"config", "apply", "--base", "6", configuration},
		{"zone", "evacuate", "east"},
		{"zone", "restore", "east"},
	} {
		calls = nil
		printed, err := execute(t, append(args, "--control", address)...)
		fmt.Fprintf(&out, "== %s\n%s\n%s-> %v\n", strings.Join(args, " "), strings.Join(calls, "\n"), printed, err)
	}
	recorded.Check(t, "operator-commands.txt", out.String())
}
