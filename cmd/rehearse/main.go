package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// The exit codes, for scripts.
const (
	exitKept   = 0
	exitBroken = 1 // a rule was broken, or a proxy crashed
	exitUsage  = 2 // usage error, invalid scenario, or the run could not start
	exitVoid   = 3 // the machine was too slow, or the run was interrupted: no result about the proxy
)

const about = `Play a scenario with faults against real marlreel processes, and report the service they delivered.

Everything runs on this machine's loopback addresses: stand-in auction nodes whose
service times are modelled, a discovery service, clients, and the proxies as real
processes. An audit checks the four rules from what clients and nodes saw.

  rehearse                        plays the scenario "morning"
  rehearse run calm --out report  plays "calm", and writes report/report.html
  rehearse run --baseline random  plays against a proxy that picks nodes at random
  rehearse compare a b            compares two report folders, or two marlreel binaries
  rehearse experiment compare     plays an experiment of many runs ('rehearse experiment' lists more)
  rehearse up                     starts a small fleet and one proxy to try with curl

Exit codes: 0 all rules kept, 1 a rule broken or a proxy crashed, 2 usage error or
the run could not start, 3 the run is void (machine too slow, or interrupted).`

// cli is the command line. Its field names define the names of commands and flags.
type cli struct {
	List       listCmd       `cmd:"" help:"List the scenarios that are shipped."`
	Check      checkCmd      `cmd:"" help:"Check a scenario file without playing it, and print its schedule's digest."`
	Run        runCmd        `cmd:"" default:"withargs" help:"Play a scenario (default: morning) and report."`
	Compare    compareCmd    `cmd:"" help:"Compare two report folders, or two marlreel binaries played in turn on one scenario."`
	Experiment experimentCmd `cmd:"" help:"Play an experiment of many runs, and print tables and charts."`
	Results    resultsCmd    `cmd:"" help:"List, show, export or delete the results of experiments."`
	Up         upCmd         `cmd:"" help:"Start a small fleet and one proxy, and keep them running until Ctrl-C."`
	PlainProxy plainProxyCmd `cmd:"" hidden:"" help:"Run the proxy that picks nodes at random (started by run --baseline random)."`
}

// exitError ends the program with an exit code and without a message.
type exitError struct{ code int }

// Error implements error.
func (e *exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line and returns the program's exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	helpCode := -1 // set if the parser has printed the help
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description(about), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { helpCode = code }), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(newOutput(stdout, stderr)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if helpCode >= 0 {
		return helpCode
	}
	if err != nil {
		fmt.Fprintf(stderr, "rehearse: %v (see rehearse -h)\n", err)
		return exitUsage
	}
	return exitCode(command.Run(), stderr)
}

// exitCode converts a command's error to an exit code, and prints the error.
func exitCode(err error, stderr io.Writer) int {
	var exit *exitError
	switch {
	case err == nil:
		return exitKept
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(stderr, "rehearse: interrupted; everything it started has stopped")
		return exitVoid
	default:
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitUsage
	}
}
