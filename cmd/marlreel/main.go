// Marlreel is the proxy: it reads its configuration from $NODE_CONFIG and serves
// until it is told to stop. SIGHUP makes it read the configuration again.
package main

import (
	"context"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"marlreel/internal/config"
	"marlreel/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "marlreel:", err)
		os.Exit(1)
	}
}

func run() error {
	// Before anything else: until then the signal ends the process. One signal in
	// hand is enough, as the file is read after it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.LoadPlatform(os.Getenv("NODE_CONFIG"), os.Getenv)
	if err != nil {
		return err
	}
	// The runtime sees the machine's cores and memory, not this process's part of them.
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 4 * 3)
	}
	logger := log.New(os.Stderr, "", log.Ltime|log.Lmicroseconds)
	return proxy.Run(ctx, cfg, logger, proxy.Reloads(ctx, reload, os.Getenv("NODE_CONFIG"), os.Getenv, logger))
}
