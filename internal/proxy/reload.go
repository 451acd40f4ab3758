package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"reflect"

	"marlreel/internal/actionable"
	"marlreel/internal/config"
	"marlreel/internal/discovery/sources"
)

// Reload is what a signal to read the configuration again came to.
type Reload struct {
	Config *config.Platform
	Own    *config.Operator // nil: as it was
	Err    error            // why the files can't be used; Config is nil then
}

// Reloads reads the configuration again at each signal, and what the operator sets beside it (ownPath; "" is
// nothing), and hands on what it finds, good or bad. The environment's address of discovery is the one of the
// start: from the first signal on the file's goes before it.
func Reloads(ctx context.Context, signals <-chan os.Signal, path, ownPath string, getenv func(string) string) <-chan Reload {
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
			var own *config.Operator
			cfg, err := config.LoadPlatform(path, fileFirst)
			if err == nil && ownPath != "" {
				own, err = config.LoadOperator(ownPath)
			}
			if err != nil {
				cfg, own = nil, nil
			}
			select {
			case found <- Reload{cfg, own, err}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return found
}

// reload puts a new configuration in force, whole, or says in one line why not. cfg and own are those in
// force; what it gives is that from now on.
func (p *parts) reload(cfg *config.Platform, own *config.Operator, next Reload, logger *slog.Logger) (*config.Platform, *config.Operator) {
	err := next.Err
	if err == nil {
		err = cfg.CheckReload(next.Config)
	}
	if err == nil && next.Own != nil {
		err = sources.CheckRegistry(next.Own.Registry)
	}
	if err == nil && next.Own != nil && !reflect.DeepEqual(own.Fleet, next.Own.Fleet) {
		logger.Info("reloaded: what has changed of fleet counts at the next start", "event", "settings-later")
	}
	if err == nil {
		done := make(chan error, 1)
		p.engine.Post(func() { done <- p.retune(next) })
		select {
		case err = <-done:
		case <-p.engine.Done():
			return cfg, own
		}
	}
	// The line comes before the figure: whoever waits for the figure finds the line.
	taken := func(yes bool) {
		if p.counts != nil {
			p.counts.RecordSettings(yes)
		}
	}
	if err != nil {
		logger.Warn("not reloaded: "+err.Error(), "event", "settings-refused", "do", actionable.AdviceFor(err))
		taken(false)
		return cfg, own
	}
	if p.member != nil { // the settings are the fleet's to decide
		logger.Info("reloaded: the settings are put to the fleet", "event", "settings-proposed")
		go p.member.propose(next.Config, logger, taken)
		if next.Own == nil {
			return next.Config, own
		}
		return next.Config, next.Own
	}
	taken(true)
	logger.Info(fmt.Sprintf("reloaded: %d classes, %d attempts", len(next.Config.Settings.Classes), next.Config.Settings.Caps.MaxAttempts), "event", "settings-taken")
	if next.Own == nil {
		return next.Config, own
	}
	if !reflect.DeepEqual(own.RPC, next.Own.RPC) {
		logger.Info("reloaded: what has changed of rpc counts at the next start", "event", "settings-taken")
	}
	if own.LearnedState != next.Own.LearnedState {
		logger.Info("reloaded: what has changed of memory counts at the next start", "event", "settings-taken")
	}
	return next.Config, next.Own
}

// retune is the part of a reload that the engine's goroutine does.
func (p *parts) retune(next Reload) error {
	if p.member == nil {
		if err := p.engine.Reconfigure(next.Config.Settings); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		p.engine.SetMaxOpenCalls(next.Config.MaxOpenRequests)
		p.carrier.Tune(next.Config.ReportNames)
		if p.counts != nil {
			p.counts.SetClasses(p.engine.Settings().Classes)
		}
	}
	p.source.Reload(next.Config.DiscoveryAddress, next.Config.Names)
	if next.Own != nil {
		return p.source.SetRegistry(next.Own.Registry)
	}
	return nil
}
