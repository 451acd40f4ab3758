package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	testedPackage        = "./cmd/marlreeld"
	otherProgramVariable = "MARLREELD_OTHER_PROGRAM" // read by the tests of cmd/marlreeld
	otherFirstVariable   = "MARLREELD_OTHER_FIRST"
)

// options are the command-line options.
type options struct {
	commit string
	tests  string
	times  int
}

func main() {
	var o options
	flag.StringVar(&o.commit, "commit", "HEAD~1", "the landed commit to run together with this checkout")
	flag.StringVar(&o.tests, "tests", "^(TestProcessesSurviveFaults|TestRollingUpgrade)$", "the tests to run, a pattern for go test -run")
	flag.IntVar(&o.times, "times", 1, "how often to run each order of the versions")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := play(ctx, o, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidebyside:", err)
		os.Exit(1)
	}
}

// play builds both test programs and runs the tests with either version first.
func play(ctx context.Context, o options, out io.Writer) (err error) {
	work, err := os.MkdirTemp("", "sidebyside")
	if err != nil {
		return eris.Wrap(err, "creating a temporary folder")
	}
	defer func() { err = errors.Join(err, os.RemoveAll(work)) }()
	tree, other, own := filepath.Join(work, "tree"), filepath.Join(work, "other.test"), filepath.Join(work, "own.test")
	if err := run(ctx, out, ".", nil, "git", "worktree", "add", "--quiet", "--detach", tree, o.commit); err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, run(context.WithoutCancel(ctx), out, ".", nil, "git", "worktree", "remove", "--force", tree))
	}()
	if err := run(ctx, out, tree, nil, "go", "test", "-c", "-o", other, testedPackage); err != nil {
		return err
	}
	if err := run(ctx, out, ".", nil, "go", "test", "-c", "-o", own, testedPackage); err != nil {
		return err
	}
	for range o.times {
		for _, order := range []string{"", "1"} {
			environment := []string{otherProgramVariable + "=" + other, otherFirstVariable + "=" + order}
			if err := run(ctx, out, testedPackage, environment, own, "-test.run", o.tests, "-test.v"); err != nil {
				return err
			}
		}
	}
	return nil
}

// run runs a command in a folder, with additional environment variables, and copies its output to out.
func run(ctx context.Context, out io.Writer, folder string, environment []string, name string, args ...string) error {
	command := exec.CommandContext(ctx, name, args...)
	command.Dir, command.Stdout, command.Stderr = folder, out, out
	command.Env = append(os.Environ(), environment...)
	return eris.Wrapf(command.Run(), "%s %s", name, strings.Join(args, " "))
}
