package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"strings"

	"github.com/rotisserie/eris"
)

func main() {
	file := flag.String("file", "KNOWN-RED.txt", "the list of known faults that are not fixed yet")
	check := flag.Bool("check", false, "only validate the list and check that its tests exist; run no test")
	race := flag.Bool("race", false, "passed on to go test")
	flag.Parse()
	own := []string{"-count=1"}
	if *race {
		own = append(own, "-race")
	}
	if err := conduct(context.Background(), *file, *check, own, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// conduct prints the entries and runs the tests of the packages that match the patterns, except the listed ones.
func conduct(ctx context.Context, file string, checkOnly bool, own, patterns []string) error {
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "reading the list of known faults")
	}
	entries, err := parseEntries(string(text))
	if err != nil {
		return eris.Wrap(err, file)
	}
	for _, e := range entries {
		fmt.Println("known red:", e)
	}
	runs, err := planRuns(ctx, entries, patterns)
	if err != nil {
		return eris.Wrap(err, file)
	}
	if checkOnly {
		return nil
	}
	failed := false
	for _, r := range runs {
		command := exec.CommandContext(ctx, "go", r.arguments(own)...)
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		failed = command.Run() != nil || failed
	}
	if failed {
		return eris.New("tests failed that are not listed as known red")
	}
	return nil
}

// planRuns decides which calls of go test to make. It lists the tests of the packages only if an entry names a test.
func planRuns(ctx context.Context, entries []entry, patterns []string) ([]run, error) {
	named := false
	for _, e := range entries {
		named = named || e.Test != ""
	}
	if !named {
		return []run{{Packages: patterns}}, nil
	}
	module, err := output(ctx, "list", "-m")
	if err != nil {
		return nil, err
	}
	listed, err := output(ctx, append([]string{"test", "-json", "-list", "."}, patterns...)...)
	if err != nil {
		return nil, err
	}
	tests, err := parseListing(listed)
	if err != nil {
		return nil, err
	}
	return plan(strings.TrimSpace(string(module)), tests, entries)
}

// parseListing parses the output of go test -json -list.
func parseListing(listed []byte) (suite, error) {
	tests := make(suite)
	events := json.NewDecoder(bytes.NewReader(listed))
	for {
		var event struct{ Package, Output string }
		err := events.Decode(&event)
		if errors.Is(err, io.EOF) {
			return tests, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "parsing the output of go test -list")
		}
		if event.Package == "" {
			continue
		}
		names := tests[event.Package]
		if name := strings.TrimSpace(event.Output); testName.MatchString(name) {
			names = append(names, name)
		}
		tests[event.Package] = names
	}
}

func output(ctx context.Context, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Stderr = os.Stderr
	text, err := command.Output()
	return text, eris.Wrapf(err, "go %s", strings.Join(arguments, " "))
}
