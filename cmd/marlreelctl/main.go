package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"marlreel/internal/actionable"
	"marlreel/internal/config"
	"marlreel/internal/discovery/registry"
)

const about = `Keep the list of nodes in a registry, and the settings on which a fleet of proxies agrees.

It finds the registry, and the fleet's folder on this machine, in the file that the proxies have (--config).
Every write to a registry counts only if nobody else wrote the entry meanwhile; of two proposals to a fleet one
wins, and the other is told by whom.

Exit codes: 0 done, 1 refused, or who was asked can't be reached, 2 wrong use.`

// cli is the command line. kong derives the names of commands and flags from the field names.
type cli struct {
	Config string        `help:"The file with [registry], as the proxies have it." placeholder:"FILE"`
	Within time.Duration `default:"15s" help:"How long it may take."`

	Discovery discoveryCmd `cmd:"" help:"Whose list a proxy goes by, how old it is, what is held and what can't be read."`
	Nodes     nodesCmd     `cmd:"" help:"The nodes: list, put, drain, remove, confirm."`
	Fleet     fleetCmd     `cmd:"" help:"The fleet of proxies: who lives, which settings they agree on, and who keeps them."`
}

// site holds the registry that a command works on, and its output.
type site struct {
	ctx      context.Context
	registry registry.Writer // nil for commands that ask a proxy
	out      io.Writer
}

// The exit codes, which the help lists.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes a command and returns its exit code. An error is printed as one line on errOut.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var options cli
	helpExit := -1 // set if help was printed
	parser, err := kong.New(&options, kong.Name("marlreelctl"), kong.Description(about), kong.Writers(out, errOut),
		kong.Exit(func(code int) { helpExit = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errOut, "marlreelctl:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if helpExit >= 0 {
		return helpExit
	}
	code := exitUsage
	if err != nil {
		err = &UsageError{err.Error()}
	} else {
		ctx, cancel := context.WithTimeout(ctx, options.Within)
		defer cancel()
		code, err = runCommand(ctx, command, &options, out)
	}
	if err != nil {
		fmt.Fprintf(errOut, "marlreelctl: %s\n", strings.Join(strings.Fields(actionable.Message(err)), " "))
	}
	return code
}

// runCommand opens the registry or the fleet that a command works on, and runs the command.
func runCommand(ctx context.Context, command *kong.Context, options *cli, out io.Writer) (int, error) {
	switch {
	case strings.HasPrefix(command.Command(), "discovery"):
		return exitCode(command.Run(&site{ctx: ctx, out: out}))
	case strings.HasPrefix(command.Command(), "fleet"):
		fleet, err := openFleet(ctx, options.Config, options.Fleet.Socket, out)
		if err != nil {
			return exitUsage, err
		}
		return exitCode(command.Run(fleet, options))
	}
	writer, err := openRegistry(options.Config)
	if err != nil {
		return exitUsage, err
	}
	defer writer.NextEndpoint()
	return exitCode(command.Run(&site{ctx: ctx, registry: writer, out: out}))
}

func exitCode(err error) (int, error) {
	if err != nil {
		return exitFailed, err
	}
	return exitDone, nil
}

func openRegistry(path string) (registry.Writer, error) {
	if path == "" {
		return nil, &UsageError{"--config is missing: give the proxies' configuration file, which has the section [registry]"}
	}
	operator, err := config.LoadOperator(path)
	if err != nil {
		return nil, err
	}
	if !operator.Registry.Enabled() {
		return nil, &UsageError{path + ": registry.kind is not set: there is no registry"}
	}
	return registry.NewWriter(operator.Registry)
}
