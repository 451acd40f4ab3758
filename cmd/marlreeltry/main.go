// Command marlreeltry runs a small system on the loopback addresses of one machine: three control processes, two
// proxies with their agents, and fake backends with models. It is for a first look; nothing of it is for production.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand(os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// newCommand returns the command line. Processes log to logs.
func newCommand(logs io.Writer) *cobra.Command {
	once := false
	verbose := false
	command := &cobra.Command{
		Use: "marlreeltry", Short: "run a small system on loopback, with stand-in backends",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runDemo(ctx, command.OutOrStdout(), newLogger(logs, verbose), once)
		},
	}
	command.Flags().BoolVar(&once, "once", false, "ask for one stream, print it and end")
	command.Flags().BoolVarP(&verbose, "verbose", "v", false, "print the roles' logs")
	return command
}

func newLogger(out io.Writer, verbose bool) logr.Logger {
	level := slog.LevelWarn
	if verbose {
		level = slog.LevelInfo
	}
	return logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
}
