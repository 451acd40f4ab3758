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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all, as an unhandled SIGHUP ends the process
	defer signal.Stop(reload)
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	log = log.WithValues(logevent.KeyNode, settings.NodeName)
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
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

// newLogger returns a logger that writes one line of text per event.
func newLogger(out io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
}
