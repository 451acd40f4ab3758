package proxy

import (
	"context"
	"fmt"
	"log"
	"os"

	"marlreel/internal/config"
)

// Reload is what a signal to read the configuration again came to.
type Reload struct {
	Config *config.Platform
	Err    error // why the file can't be used; Config is nil then
}

// Reloads reads the configuration again at each signal and hands on what it finds, good or
// bad. The environment's address of discovery is the one of the start: from the first
// signal on the file's goes before it.
func Reloads(ctx context.Context, signals <-chan os.Signal, path string, getenv func(string) string) <-chan Reload {
	found := make(chan Reload)
	fileFirst := func(name string) string {
		if name == config.EnvDiscovery {
			return ""
		}
		return getenv(name)
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			cfg, err := config.LoadPlatform(path, fileFirst)
			select {
			case found <- Reload{cfg, err}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return found
}

// reload puts a new configuration in force, whole, or says in one line why not. cfg is the
// one in force; what it gives is that from now on.
func (p *parts) reload(cfg *config.Platform, next Reload, logger *log.Logger) *config.Platform {
	err := next.Err
	if err == nil {
		err = cfg.CheckNext(next.Config)
	}
	if err == nil {
		done := make(chan error, 1)
		p.engine.Post(func() { done <- p.retune(next.Config) })
		select {
		case err = <-done:
		case <-p.engine.Done():
			return cfg
		}
	}
	if p.counts != nil {
		p.counts.Settings(err == nil)
	}
	if err != nil {
		logger.Printf("not reloaded: %v", err)
		return cfg
	}
	logger.Printf("reloaded: %d classes, %d attempts", len(next.Config.Settings.Classes), next.Config.Settings.Caps.MaxAttempts)
	return next.Config
}

// retune is the part of a reload that the engine's goroutine does.
func (p *parts) retune(next *config.Platform) error {
	if err := p.engine.Reconfigure(next.Settings); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if p.counts != nil {
		p.counts.SetClasses(p.engine.Settings().Classes)
	}
	p.source.Reload(next.Discovery)
	return nil
}
