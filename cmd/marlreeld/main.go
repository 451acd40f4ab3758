// Command marlreeld is the router and placer for many models: one program with a
// subcommand for each role.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"marlreel/internal/advice"
	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/dataplane/gateway"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
)

func main() {
	if err := newCommand(os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, advice.Line(err))
		os.Exit(1)
	}
}

// run is what a role does until its context ends.
type run func(ctx context.Context, machine *host.Host) error

// newCommand makes the command line; logs go to out.
func newCommand(out io.Writer) *cobra.Command {
	verbose := false
	root := &cobra.Command{
		Use: "marlreeld", Short: "route requests to model backends, and place models on them",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.PersistentFlags().BoolVarP(&verbose, "verbose", "v", false, "log single decisions too")
	role := func(use, short string, run run) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return start(cmd.Context(), out, verbose, run)
		}}
	}
	root.AddCommand(
		role("proxy", "carry clients' requests to backends", gateway.Run),
		role("agent", "keep a proxy's link to control", agent.Run),
		role("control", "keep configuration, membership and the backends' heartbeats", controlplane.Run))
	root.AddCommand(newOperatorCommands()...)
	return root
}

// start runs a role until the platform ends it.
func start(parent context.Context, out io.Writer, verbose bool, run run) error {
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLogger(out, verbose).WithValues("node", settings.NodeName)
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	go settings.FollowChanges(ctx, os.Getenv(bootstrap.SettingsVariable), changes, log)
	return run(ctx, host.New(settings, log))
}

// newLogger writes one line of text an event.
func newLogger(out io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
}
