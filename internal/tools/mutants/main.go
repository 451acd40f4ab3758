// Command mutants checks the checkers: it takes single guards out of the code, one at a
// time, and runs the tests that should notice. It changes no file: the compiler is given
// the changed text in place of the file's.
//
//	go run ./internal/tools/mutants internal/controlplane/chain/testdata/mutants.toml
//
// With -run and -env it runs other tests than the file names, as drawn histories alone.
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

// mutant is one change of the code, and the tests that have to fail with it.
type mutant struct {
	Name    string   `toml:"name"`
	File    string   `toml:"file"`
	Find    string   `toml:"find"`
	Put     string   `toml:"put"`
	Package string   `toml:"package"`
	Run     string   `toml:"run"`
	Env     []string `toml:"env"`
}

// list is the file of mutants.
type list struct {
	Mutants []mutant `toml:"mutant"`
}

// override is what is run in place of what the file says.
type override struct {
	Run, Only string
	Env       []string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var instead override
	flag.StringVar(&instead.Run, "run", "", "the tests to run, in place of those that the file names")
	flag.StringVar(&instead.Only, "only", "", "a regular expression for the names of the mutants to be played")
	flag.Func("env", "a variable for the tests, NAME=VALUE; may be given more than once", func(value string) error {
		instead.Env = append(instead.Env, value)
		return nil
	})
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: mutants [-run TESTS] [-env NAME=VALUE] [-only MUTANTS] FILE")
		os.Exit(2)
	}
	alive, err := playAll(ctx, flag.Arg(0), instead, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if alive > 0 {
		os.Exit(1)
	}
}

// playAll plays all mutants of a file and says how many no test has noticed.
func playAll(ctx context.Context, path string, instead override, out io.Writer) (alive int, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, eris.Wrap(err, "reading the mutants")
	}
	var mutants list
	if err := toml.Unmarshal(data, &mutants); err != nil {
		return 0, eris.Wrap(err, "reading the mutants")
	}
	only, err := regexp.Compile(instead.Only)
	if err != nil {
		return 0, eris.Wrap(err, "reading -only")
	}
	for _, m := range mutants.Mutants {
		if !only.MatchString(m.Name) {
			continue
		}
		if instead.Run != "" {
			m.Run = instead.Run
		}
		m.Env = append(m.Env, instead.Env...)
		by, err := play(ctx, m)
		if err != nil {
			return alive, eris.Wrap(err, m.Name)
		}
		if by == "" {
			alive++
			by = "NOBODY"
		}
		fmt.Fprintf(out, "%-60s %s\n", m.Name, by)
	}
	return alive, nil
}

// NotRunError says that the tests of a mutant did not run.
type NotRunError struct{ Output string }

// Error implements error.
func (e *NotRunError) Error() string { return "the tests did not run: " + e.Output }

// Advice is what can be done about it.
func (e *NotRunError) Advice() string { return "see that the mutant compiles" }

// NotUniqueError says that the text that a mutant replaces is not there, or not alone.
type NotUniqueError struct {
	File  string
	Times int
}

// Error implements error.
func (e *NotUniqueError) Error() string {
	return fmt.Sprintf("%s holds %d times what is to be found", e.File, e.Times)
}

// Advice is what can be done about it.
func (e *NotUniqueError) Advice() string { return "let find name a text that is in the file once" }

// failed is a line of the test command on a test that failed.
var failed = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// play runs the tests with a mutant, and gives the first ones that fail.
func play(ctx context.Context, m mutant) (by string, err error) {
	folder, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return "", eris.Wrap(err, "making a folder")
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
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
		return "", eris.Wrap(err, "running the tests")
	}
	names := failed.FindAllStringSubmatch(string(output), -1)
	if len(names) == 0 {
		if strings.Contains(string(output), "panic:") {
			return "a panic", nil
		}
		return "", &NotRunError{Output: string(output)}
	}
	return fmt.Sprintf("%s (%d failed)", names[len(names)-1][1], len(names)), nil
}

// writeOverlay writes the changed file, and what tells the compiler of it.
func writeOverlay(folder string, m mutant) (path string, err error) {
	text, err := os.ReadFile(m.File)
	if err != nil {
		return "", eris.Wrap(err, "reading the code")
	}
	if strings.Count(string(text), m.Find) != 1 {
		return "", &NotUniqueError{File: m.File, Times: strings.Count(string(text), m.Find)}
	}
	changed := filepath.Join(folder, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.Find, m.Put, 1)), 0o600); err != nil {
		return "", eris.Wrap(err, "writing the changed code")
	}
	original, err := filepath.Abs(m.File)
	if err != nil {
		return "", eris.Wrap(err, "naming the code")
	}
	data, _ := json.Marshal(map[string]map[string]string{"Replace": {original: changed}}) // plain strings always marshal
	path = filepath.Join(folder, "overlay.json")
	return path, eris.Wrap(os.WriteFile(path, data, 0o600), "writing the overlay")
}
