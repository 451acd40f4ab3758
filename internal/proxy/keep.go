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

// saver keeps what this proxy learns in a file, where the operator has set a folder for it. It is beside all
// serving: the engine is asked for its state in small parts, and nobody waits for the disk.
type saver struct {
	store *statefile.File
	every time.Duration
	state func(context.Context) ([]byte, error)
	now   func() staleness.Timestamp
	logf  func(format string, args ...any)

	failed string // the last error, so that each is said once
	late   bool   // and that the disk is slower than the file is written
}

// remember reads what an earlier life has learnt, as far as it is still to be believed. Whatever is wrong with
// it is one line, and the proxy starts as it does without.
func remember(cfg config.LearnedState, s *statefile.File, name string, now staleness.Timestamp, logger *slog.Logger) *learnedstate.State {
	r, err := s.Load()
	if err != nil {
		logger.Info(fmt.Sprintf("memory: nothing is taken from it: %v", err), "event", "memory-refused")
		return nil
	}
	if r == nil {
		return nil
	}
	if r.State.ProxyName != name {
		logger.Info(fmt.Sprintf("memory: nothing is taken from %s: it is %q's, and this is %q", s.Path(), r.State.ProxyName, name), "event", "memory-refused")
		return nil
	}
	away, err := staleness.Age(r.WrittenAt, now)
	if err != nil {
		logger.Info(fmt.Sprintf("memory: nothing is taken from %s: %v", s.Path(), err), "event", "memory-refused")
		return nil
	}
	known := staleness.Discount(staleness.Config{MaxAge: cfg.MaxAge.D(), HalfLife: cfg.HalfLife.D()}, r.State, away, !r.ShutDown)
	if known == nil {
		logger.Info(fmt.Sprintf("memory: nothing is taken from %s: it is %v old, and %v is the most", s.Path(), away.Round(time.Second), cfg.MaxAge.D()), "event", "memory-refused")
		return nil
	}
	// From here on its age is counted by the wall's clock of this life, whatever the other life's said.
	known.TakenAt = now.Wall.Add(-away)
	return known
}

// budgetBurst is how much of a core work in the background may save up: one writing of the state of the
// largest fleet.
const budgetBurst = 50 * time.Millisecond

// overloadEvery is how often jobs are told whether there is more to serve than can be.
const overloadEvery = 500 * time.Millisecond

// background begins the work that is no request: the state is written down. What must not wait (lists, drains,
// requests) is the engine's, and probes and sweeps are the module's, whose health of backends rests on them.
func (p *parts) background(cfg config.Background, k *saver, logger *slog.Logger) *background.Runner {
	r := background.NewRunner(background.Config{Cores: cfg.MaxCores, Burst: budgetBurst, MaxRunning: cfg.MaxJobs}, logs.ForEvent(logger, "background"))
	r.Add(background.Spec{Name: "writing the memory", Priority: background.Idle, Interval: k.every, EstimatedCost: time.Millisecond, MaxDuration: max(10*time.Second, 2*k.every)},
		func(ctx context.Context) error {
			k.save(ctx, false)
			return nil
		})
	var look func()
	look = func() {
		s := p.engine.RetryStormState()
		r.SetOverloaded(s == retrystorm.Rising || s == retrystorm.Storm)
		p.engine.Schedule(p.engine.Now()+overloadEvery, look)
	}
	p.engine.Post(look)
	return r
}

// save writes the state down once.
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
		k.logf("memory: not written: %v (the next life starts with what was written before)", err)
	case err == nil && k.failed != "":
		k.failed = ""
		k.logf("memory: written again to %s", k.store.Path())
	case err == nil && took > k.every && !k.late:
		k.late = true
		k.logf("memory: writing it took %v, and it is written every %v: it falls behind", took.Round(time.Millisecond), k.every)
	case err == nil && took < k.every/2:
		k.late = false
	}
}
