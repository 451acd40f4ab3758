package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/balancer/staleness"
	"marlreel/internal/config"
	"marlreel/internal/process/background"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/statefile"
	"marlreel/internal/process/logs"
)

// saver saves the learned state to a file if the operator has configured a directory for it. It does not delay
// requests: the engine collects its state in small parts, and nothing waits for the disk.
type saver struct {
	store *statefile.File
	every time.Duration
	state func(context.Context) ([]byte, error)
	now   func() staleness.Timestamp
	logf  func(format string, args ...any)

	failed string // the last error, so that it is logged only once
	late   bool   // saving takes longer than the interval, and that was logged
}

// loadState loads the state that an earlier process of this proxy saved, discounted by its age. If the file can't be
// used it logs one line and returns nil, and the proxy starts without it.
func loadState(cfg config.LearnedState, s *statefile.File, name string, now staleness.Timestamp, logger *slog.Logger) *learnedstate.State {
	r, err := s.Load()
	if err != nil {
		logger.Info(fmt.Sprintf("memory: the saved state is not used: %v", err), "event", "memory-refused")
		return nil
	}
	if r == nil {
		return nil
	}
	if r.State.ProxyName != name {
		logger.Info(fmt.Sprintf("memory: %s is not used: it belongs to proxy %q, and this is %q", s.Path(), r.State.ProxyName, name), "event", "memory-refused")
		return nil
	}
	age, err := staleness.Age(r.WrittenAt, now)
	if err != nil {
		logger.Info(fmt.Sprintf("memory: %s is not used: %v", s.Path(), err), "event", "memory-refused")
		return nil
	}
	known := staleness.Discount(staleness.Config{MaxAge: cfg.MaxAge.D(), HalfLife: cfg.HalfLife.D()}, r.State, age, !r.ShutDown)
	if known == nil {
		logger.Info(fmt.Sprintf("memory: %s is not used: it is %v old, and the maximum is %v", s.Path(), age.Round(time.Second), cfg.MaxAge.D()), "event", "memory-refused")
		return nil
	}
	// From here on its age is measured by this process's wall clock, whatever the wall clock was when it was saved.
	known.TakenAt = now.Wall.Add(-age)
	return known
}

// budgetBurst is how much CPU time background work may accumulate: enough to save the state of the largest fleet once.
const budgetBurst = 50 * time.Millisecond

// overloadCheckInterval is how often the background runner is told whether the proxy is overloaded.
const overloadCheckInterval = 500 * time.Millisecond

// background creates the runner for background jobs; the only one is saving the learned state. Work that must not wait
// (lists, drains, requests) stays with the engine, and health checks and sweeps with the balancer, which decides the
// health of backends by them.
func (p *parts) background(cfg config.Background, k *saver, logger *slog.Logger) *background.Runner {
	r := background.NewRunner(background.Config{Cores: cfg.MaxCores, Burst: budgetBurst, MaxRunning: cfg.MaxJobs}, logs.ForEvent(logger, "background"))
	r.Add(background.Spec{Name: "writing the memory", Priority: background.Idle, Interval: k.every, EstimatedCost: time.Millisecond, MaxDuration: max(10*time.Second, 2*k.every)},
		func(ctx context.Context) error {
			k.save(ctx, false)
			return nil
		})
	var check func()
	check = func() {
		s := p.engine.RetryStormState()
		r.SetOverloaded(s == retrystorm.Rising || s == retrystorm.Storm)
		p.engine.Schedule(p.engine.Now()+overloadCheckInterval, check)
	}
	p.engine.Post(check)
	return r
}

// save saves the state once.
func (k *saver) save(ctx context.Context, stopped bool) {
	at := k.now()
	state, err := k.state(ctx)
	if err == nil {
		err = k.store.Save(at, stopped, state)
	}
	switch took := k.now().Wall.Sub(at.Wall); {
	case ctx.Err() != nil && errors.Is(err, ctx.Err()):
		return
	case err != nil && err.Error() != k.failed:
		k.failed = err.Error()
		k.logf("memory: state not saved: %v (the next start uses the last saved state)", err)
	case err == nil && k.failed != "":
		k.failed = ""
		k.logf("memory: state saved again to %s", k.store.Path())
	case err == nil && took > k.every && !k.late:
		k.late = true
		k.logf("memory: saving the state took %v, longer than the interval of %v", took.Round(time.Millisecond), k.every)
	case err == nil && took < k.every/2:
		k.late = false
	}
}
