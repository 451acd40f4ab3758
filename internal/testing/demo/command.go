// Package demo runs a small system on the loopback addresses of one machine: three control processes, two proxies with
// their agents, and fake backends with models. It is for a first look and not for production. cmd/marlreeldemo runs its
// command; so does cmd/marlreeltry, which is kept for one more version.
package demo

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
)

// NewCommand returns the command of a program with the given name. The roles log to logs.
func NewCommand(name string, logs io.Writer) *cobra.Command {
	once := false
	verbose := false
	command := &cobra.Command{
		Use: name, Short: "run a small system on loopback, with fake backends",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runDemo(ctx, command.OutOrStdout(), newLogger(logs, verbose), once)
		},
	}
	command.Flags().BoolVar(&once, "once", false, "request one stream, print it and exit")
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
