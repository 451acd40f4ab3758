// Package proxy puts the decision module on real sockets: clients on one side,
// backends and discovery on the other. It carries decisions out and takes none.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"time"
)

const (
	// After the signal to stop, new connections go on coming for up to 0.4 s. One
	// that is closed unaccepted is a lost request.
	acceptLonger = 500 * time.Millisecond
	// What is open so long before the end of the drain is answered with a failure:
	// a request that the end of the process finds is lost.
	lastAnswers = 250 * time.Millisecond
	// A proxy that has no word from discovery takes its old list for good after this.
	oldListAfter = time.Second
)

// Run serves until ctx ends, then finishes what it has taken. Each new configuration
// that reloads brings is put in force without a break.
func Run(ctx context.Context, cfg *Config, logger *log.Logger, reloads <-chan *Config) error {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, cfg, logger, ln, reloads)
}

func serve(ctx context.Context, cfg *Config, logger *log.Logger, ln net.Listener, reloads <-chan *Config) error {
	defer ln.Close()
	var s *server
	l, err := newLoop(cfg, logger.Printf, func() { s.ready.Store(true) })
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s = newServer(cfg, l, logger)
	loopCtx, stopLoop := context.WithCancel(context.Background())
	go l.run(loopCtx)
	defer func() {
		stopLoop()
		<-l.stopped
	}()
	if cfg.Known != nil && len(cfg.Known.Instances) > 0 {
		time.AfterFunc(oldListAfter, func() { s.ready.Store(true) })
	}
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(newClients(ln, cfg.clientConns())) }()
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case next := <-reloads:
			l.post(func() { l.reload(next) })
		case <-ctx.Done():
		}
	}
	return s.drain(cfg)
}

// drain stops the server without losing a request: it goes on accepting while
// connections still come, ends each with its answer, and waits for what is in hand.
func (s *server) drain(cfg *Config) error {
	s.stopping.Store(true)
	time.Sleep(cfg.acceptLonger)
	for _, wait := range []time.Duration{cfg.longestGiveUp() - lastAnswers, lastAnswers} {
		ctx, cancel := context.WithTimeout(context.Background(), max(wait, 0))
		err := s.http.Shutdown(ctx)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("shutdown: %w", err)
		}
		s.loop.post(s.loop.failAll)
	}
	return nil
}
