package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// mutant is one change of the code and the tests of which at least one must fail with it.
type mutant struct {
	Name        string   `toml:"name"`
	File        string   `toml:"file"`
	Original    string   `toml:"find"` // a text that occurs exactly once in the file
	Replacement string   `toml:"put"`
	Package     string   `toml:"package"`
	Run         string   `toml:"run"` // a regular expression for go test -run
	Env         []string `toml:"env"` // NAME=VALUE
}

// mutantFile is the content of a mutants.toml.
type mutantFile struct {
	Mutants []mutant `toml:"mutant"`
}

// overrides are settings of the command line that replace or extend those of the file.
type overrides struct {
	Run         string   // "": use the value of the file
	NamePattern string   // a regular expression for the names of the mutants to run
	Env         []string // additional environment variables, NAME=VALUE
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var instead overrides
	flag.StringVar(&instead.Run, "run", "", "the tests to run instead of those that the file names")
	flag.StringVar(&instead.NamePattern, "only", "", "a regular expression for the names of the mutants to run")
	flag.Func("env", "an environment variable for the tests, NAME=VALUE; may be repeated", func(value string) error {
		instead.Env = append(instead.Env, value)
		return nil
	})
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: mutants [-run TESTS] [-env NAME=VALUE] [-only MUTANTS] FILE")
		os.Exit(2)
	}
	survivors, err := runAll(ctx, flag.Arg(0), instead, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if survivors > 0 {
		os.Exit(1)
	}
}

// runAll runs the tests with each mutant of a file. It returns the number of survivors: mutants with which no test failed.
func runAll(ctx context.Context, path string, instead overrides, out io.Writer) (int, error) {
	mutants, err := readMutants(path)
	if err != nil {
		return 0, err
	}
	name, err := regexp.Compile(instead.NamePattern)
	if err != nil {
		return 0, eris.Wrap(err, "compiling the pattern of -only")
	}
	survivors := 0
	for _, m := range mutants {
		if !name.MatchString(m.Name) {
			continue
		}
		if instead.Run != "" {
			m.Run = instead.Run
		}
		m.Env = append(m.Env, instead.Env...)
		noticedBy, err := runTests(ctx, m)
		if err != nil {
			return survivors, eris.Wrap(err, m.Name)
		}
		if noticedBy == "" {
			survivors++
			noticedBy = "NOBODY"
		}
		fmt.Fprintf(out, "%-60s %s\n", m.Name, noticedBy)
	}
	return survivors, nil
}

func readMutants(path string) ([]mutant, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the file of mutants")
	}
	var file mutantFile
	if err := toml.Unmarshal(data, &file); err != nil {
		return nil, eris.Wrap(err, "parsing the file of mutants")
	}
	return file.Mutants, nil
}

// NotRunError reports that go test failed before any test of a mutant ran.
type NotRunError struct{ Output string }

// Error implements error.
func (e *NotRunError) Error() string { return "the tests did not run: " + e.Output }

// Advice says what can be done about it.
func (e *NotRunError) Advice() string { return "make sure that the mutant compiles" }

// NotUniqueError reports that the text that a mutant replaces does not occur exactly once in the file.
type NotUniqueError struct {
	File  string
	Count int
}

// Error implements error.
func (e *NotUniqueError) Error() string {
	return fmt.Sprintf("%s contains the text to replace %d times, not once", e.File, e.Count)
}

// Advice says what can be done about it.
func (e *NotUniqueError) Advice() string {
	return "set find to a text that occurs exactly once in the file"
}

// failedTestLine matches the line that go test prints for a failed test.
var failedTestLine = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// runTests runs the tests with a mutant. It returns the last failed test and the number of failures, or "" if all passed.
func runTests(ctx context.Context, m mutant) (string, error) {
	folder, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return "", eris.Wrap(err, "creating a temporary folder")
	}
	defer os.RemoveAll(folder)
	overlay, err := writeOverlay(folder, m)
	if err != nil {
		return "", err
	}
	command := exec.CommandContext(ctx, "go", "test", "-count=1", "-failfast", "-overlay", overlay, "-run", m.Run, m.Package)
	command.Env = append(os.Environ(), m.Env...)
	output, err := command.CombinedOutput()
	if err == nil {
		return "", nil
	}
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return "", eris.Wrap(err, "starting go test")
	}
	return failures(string(output))
}

// failures finds the failed tests in the output of go test.
func failures(output string) (string, error) {
	failed := failedTestLine.FindAllStringSubmatch(output, -1)
	if len(failed) > 0 {
		return fmt.Sprintf("%s (%d failed)", failed[len(failed)-1][1], len(failed)), nil
	}
	if strings.Contains(output, "panic:") {
		return "a panic", nil
	}
	return "", &NotRunError{Output: output}
}

// writeOverlay writes the changed file and the overlay that makes the compiler read it, and returns the overlay's path.
func writeOverlay(folder string, m mutant) (string, error) {
	text, err := os.ReadFile(m.File)
	if err != nil {
		return "", eris.Wrap(err, "reading the source file")
	}
	count := strings.Count(string(text), m.Original)
	if count != 1 {
		return "", &NotUniqueError{File: m.File, Count: count}
	}
	changed := filepath.Join(folder, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.Original, m.Replacement, 1)), 0o600); err != nil {
		return "", eris.Wrap(err, "writing the changed source file")
	}
	original, err := filepath.Abs(m.File)
	if err != nil {
		return "", eris.Wrap(err, "resolving the path of the source file")
	}
	data, _ := json.Marshal(map[string]map[string]string{"Replace": {original: changed}}) // plain strings always marshal
	path := filepath.Join(folder, "overlay.json")
	return path, eris.Wrap(os.WriteFile(path, data, 0o600), "writing the overlay file")
}
