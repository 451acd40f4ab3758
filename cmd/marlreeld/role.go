package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/go-logr/logr"

	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/logevent"
)

// runRole runs a role until its context ends.
type runRole func(ctx context.Context, machine *host.Host) error

// startRole runs a role until SIGTERM or SIGINT.
func startRole(parent context.Context, log logr.Logger, run runRole) error {
	ctx, reload, stop := handleSignals(parent) // first of all, as an unhandled signal ends the process
	defer stop()
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	log = log.WithValues(logevent.KeyNode, settings.NodeName)
	var background sync.WaitGroup
	background.Go(func() {
		settings.FollowChanges(ctx, os.Getenv(bootstrap.SettingsVariable), reload, log)
	})
	defer func() {
		stop()
		background.Wait()
	}()
	return run(ctx, host.New(settings, log))
}

// handleSignals returns a context that ends at SIGTERM or SIGINT, or when stop is called, and a channel for SIGHUP. The
// signals stay handled until the process has ended: one more of them, while it shuts down or exits, must not end it with
// another status.
func handleSignals(parent context.Context) (ctx context.Context, reload <-chan os.Signal, stop context.CancelFunc) {
	hangups, terminations := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop = context.WithCancel(parent)
	go func() {
		select {
		case <-terminations:
			stop()
		case <-ctx.Done():
		}
	}()
	return ctx, hangups, stop
}

// newLogger returns a logger that writes one line of text per event.
func newLogger(out io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
}
