// Package proxy makes one proxy of its parts: the engine, the front and the carrier of
// each protocol, and discovery. It owns their start, readiness, reload and drain, and
// nothing of what they do.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/discovery"
	"marlreel/internal/engine"
	"marlreel/internal/httpproxy"
)

const (
	// What is open so long before the end of the drain is answered with a failure:
	// a request that the end of the process finds is lost.
	lastAnswers = 250 * time.Millisecond
	// A proxy that has no word from discovery takes its old list for good after this.
	oldListAfter = time.Second
)

// Run serves until ctx ends, then finishes what it has taken. Each new configuration
// that reloads brings is put in force without a break.
func Run(ctx context.Context, cfg *config.Platform, logger *log.Logger, reloads <-chan *config.Platform) error {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, cfg, logger, ln, reloads)
}

// parts is a proxy put together.
type parts struct {
	engine  *engine.Engine
	source  *discovery.Source
	carrier *httpproxy.Carrier
	front   *httpproxy.Front
}

// assemble puts a proxy together. Nothing runs yet.
func assemble(cfg *config.Platform, logger *log.Logger) (*parts, error) {
	p := &parts{}
	known, version := engine.List{}, uint32(0)
	if cfg.Known != nil {
		entries, err := cfg.Known.Check(cfg.Names)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		known, version = cfg.Known.Engine(0, entries), cfg.Known.Generation
	}
	var err error
	p.engine, err = engine.New(engine.Config{Settings: cfg.Settings, Seed: cfg.Seed, MaxOpen: cfg.MaxOpen, Known: known,
		Logf: logger.Printf, Listed: func() { p.front.SetReady(true) }})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.source = discovery.New(discovery.Config{Addr: cfg.Discovery, OnRequest: cfg.Settings.OnRequest, Names: cfg.Names,
		Logf: logger.Printf}, version, p.engine)
	p.carrier = httpproxy.NewCarrier(p.engine, cfg.UpstreamConns(), cfg.Report)
	p.front = httpproxy.NewFront(p.engine, p.carrier, logger)
	p.engine.Carry(p.carrier)
	p.engine.ProbeWith(p.carrier)
	p.engine.Follow(p.source)
	return p, nil
}

func serve(ctx context.Context, cfg *config.Platform, logger *log.Logger, ln net.Listener, reloads <-chan *config.Platform) error {
	defer ln.Close()
	p, err := assemble(cfg, logger)
	if err != nil {
		return err
	}
	engineCtx, stopEngine := context.WithCancel(context.Background())
	go p.engine.Run(engineCtx)
	defer func() {
		stopEngine()
		p.source.Close()
		p.carrier.Close()
		<-p.engine.Done()
	}()
	if cfg.Known != nil && len(cfg.Known.Instances) > 0 {
		time.AfterFunc(oldListAfter, func() { p.front.SetReady(true) })
	}
	failed := make(chan error, 1)
	go func() { failed <- p.front.Serve(ln, cfg.ClientConns()) }()
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case next := <-reloads:
			p.engine.Post(func() { p.source.Reload(next.Discovery) })
		case <-ctx.Done():
		}
	}
	return p.drain(cfg)
}

// drain stops the front without losing a request: it goes on accepting while
// connections still come, ends each with its answer, and waits for what is in hand.
func (p *parts) drain(cfg *config.Platform) error {
	p.front.Stop()
	time.Sleep(cfg.AcceptLonger)
	for _, wait := range []time.Duration{cfg.LongestGiveUp() - lastAnswers, lastAnswers} {
		ctx, cancel := context.WithTimeout(context.Background(), max(wait, 0))
		err := p.front.Shutdown(ctx)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("shutdown: %w", err)
		}
		p.engine.Post(p.engine.FailAll)
	}
	return nil
}
