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
	exitUsage  = 2 // wrong use, an invalid scenario, or nothing could be started
	exitVoid   = 3 // the machine was too slow, or the run was interrupted: nothing is known of the proxy
)

const about = `Play a bad morning against real marlreel processes and see what service was kept.

Everything runs on this machine's loopback addresses: stand-in auction nodes whose
service is modelled in time, a discovery service, clients, and the proxies as real
processes. An auditor checks the four rules from what clients and nodes saw.

  rehearse                        plays the scenario "morning"
  rehearse run calm --out report  plays "calm", and leaves report/report.html
  rehearse run --baseline random  the same against a proxy that picks at random
  rehearse compare a b            two report folders, or two marlreel binaries
  rehearse experiment compare     many days as one question ('rehearse experiment' lists more)
  rehearse up                     a small fleet and one proxy to try with curl

Exit codes: 0 all rules kept, 1 a rule broken or a proxy crashed, 2 wrong use or
nothing could be started, 3 the run is void (machine too slow, or broken off).`

// cli is the command line. Its field names are names of commands and flags.
type cli struct {
	List       listCmd       `cmd:"" help:"List the scenarios that are shipped."`
	Check      checkCmd      `cmd:"" help:"Check a scenario file without playing it, and print its schedule's digest."`
	Run        runCmd        `cmd:"" default:"withargs" help:"Play a scenario (default: morning) and report."`
	Compare    compareCmd    `cmd:"" help:"Compare two report folders, or two marlreel binaries played in turn on one scenario."`
	Experiment experimentCmd `cmd:"" help:"Ask one question of many days: tables and charts."`
	Results    resultsCmd    `cmd:"" help:"What experiments found: list, show, export, forget."`
	Up         upCmd         `cmd:"" help:"Stand a small fleet and one proxy up, and stay until Ctrl-C."`
	PlainProxy plainProxyCmd `cmd:"" hidden:"" help:"Be the proxy that picks at random (started by run --baseline random)."`
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

// run carries a command line out and returns the program's exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	helpCode := -1 // set where the parser has printed the help in place of returning
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
		fmt.Fprintf(stderr, "rehearse: %v (rehearse -h says more)\n", err)
		return exitUsage
	}
	return exitCode(command.Run(), stderr)
}

// exitCode turns a command's error into an exit code, and tells people about it.
func exitCode(err error, stderr io.Writer) int {
	var exit *exitError
	switch {
	case err == nil:
		return exitKept
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(stderr, "rehearse: broken off; all that it started has ended")
		return exitVoid
	default:
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitUsage
	}
}
