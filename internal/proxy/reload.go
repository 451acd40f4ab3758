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

// Reload is the result of reading the configuration again after a signal.
type Reload struct {
	Config *config.Platform
	Own    *config.Operator // nil if unchanged
	Err    error            // why the files can't be used; Config is then nil
}

// Reloads reads the configuration and the operator's file (ownPath; "" if there is none) again at each signal, and sends
// the result, valid or not. The discovery address from the environment applies only at the start: after a signal the
// address in the file takes precedence.
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

// reload applies a new configuration completely, or logs one line that says why not. cfg and own are those in
// force; it returns those in force afterwards.
func (p *parts) reload(cfg *config.Platform, own *config.Operator, next Reload, logger *slog.Logger) (*config.Platform, *config.Operator) {
	err := next.Err
	if err == nil {
		err = cfg.CheckReload(next.Config)
	}
	if err == nil && next.Own != nil {
		err = sources.CheckRegistry(next.Own.Registry)
	}
	if err == nil && next.Own != nil && !reflect.DeepEqual(own.Fleet, next.Own.Fleet) {
		logger.Info("reloaded: changes to [fleet] take effect at the next start", "event", "settings-later")
	}
	if err == nil {
		done := make(chan error, 1)
		p.engine.Post(func() { done <- p.applyReload(next) })
		select {
		case err = <-done:
		case <-p.engine.Done():
			return cfg, own
		}
	}
	// The line is logged before the metric changes, so that whoever waits for the metric finds the line.
	record := func(applied bool) {
		if p.counts != nil {
			p.counts.RecordSettings(applied)
		}
	}
	if err != nil {
		logger.Warn("not reloaded: "+err.Error(), "event", "settings-refused", "do", actionable.AdviceFor(err))
		record(false)
		return cfg, own
	}
	if p.member != nil { // the fleet decides on the settings
		logger.Info("reloaded: the settings are proposed to the fleet", "event", "settings-proposed")
		go p.member.propose(next.Config, logger, record)
		if next.Own == nil {
			return next.Config, own
		}
		return next.Config, next.Own
	}
	record(true)
	logger.Info(fmt.Sprintf("reloaded: %d classes, %d attempts", len(next.Config.Settings.Classes), next.Config.Settings.Caps.MaxAttempts), "event", "settings-taken")
	if next.Own == nil {
		return next.Config, own
	}
	if !reflect.DeepEqual(own.RPC, next.Own.RPC) {
		logger.Info("reloaded: changes to [rpc] take effect at the next start", "event", "settings-taken")
	}
	if own.LearnedState != next.Own.LearnedState {
		logger.Info("reloaded: changes to [memory] take effect at the next start", "event", "settings-taken")
	}
	return next.Config, next.Own
}

// applyReload applies a reload on the engine's goroutine. In a fleet it leaves the settings to the fleet.
func (p *parts) applyReload(next Reload) error {
	if p.member == nil {
		if err := p.engine.Reconfigure(next.Config.Settings); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		p.engine.SetMaxOpenCalls(next.Config.MaxOpenRequests)
		p.carrier.Reconfigure(next.Config.ReportNames)
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
