package scale

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Result is what a trial has measured.
type Result struct {
	Controls int `json:"controls"`
	Proxies  int `json:"proxies"`
	Backends int `json:"backends"`
	Models   int `json:"models"`
	Zones    int `json:"zones"`
	Routes   int `json:"routes"`

	// Idle is each role's load with nothing but heartbeats, leases and probes, Changing with
	// one change a second. Of several processes of a role it is the busiest one's.
	Idle     map[string]Load `json:"idle"`
	Changing map[string]Load `json:"changing"`

	// How long after its acknowledgement a change was at each proxy, and how long the
	// acknowledgement took.
	InForceMS     Spread `json:"in_force_ms"`
	AcknowledgeMS Spread `json:"acknowledge_ms"`
	// AfterLossMS is how long a change took to be in force everywhere that was sent when
	// the control process at the head had just been killed.
	AfterLossMS float64 `json:"after_loss_ms"`
}

// Spread is the middle and the end of many times.
type Spread struct {
	Median float64 `json:"p50"`
	Late   float64 `json:"p99"`
	Worst  float64 `json:"worst"`
}

func spreadOf(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	slices.Sort(times)
	at := func(part float64) float64 {
		return milliseconds(times[min(len(times)-1, int(part*float64(len(times))))])
	}
	return Spread{Median: at(0.5), Late: at(0.99), Worst: milliseconds(times[len(times)-1])}
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// Plan says how long a trial measures.
type Plan struct {
	Settle  time.Duration // before anything is measured
	Idle    time.Duration
	Changes int // one a second
}

const (
	changeEvery     = time.Second
	inForcePatience = 15 * time.Second
)

// Run plays one trial.
func Run(ctx context.Context, cfg Config, plan Plan) (*Result, error) {
	s, err := Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	r := &Result{
		Controls: cfg.Controls, Proxies: cfg.Proxies, Backends: cfg.Backends, Models: cfg.Models, Zones: cfg.Zones,
		Routes: cfg.Routes,
	}
	pause(ctx, plan.Settle)
	if r.Idle, err = s.loadDuring(func() error { pause(ctx, plan.Idle); return ctx.Err() }); err != nil {
		return nil, err
	}
	r.Changing, err = s.loadDuring(func() error { return s.playChanges(ctx, plan.Changes, r) })
	if err != nil {
		return nil, err
	}
	return r, s.playLoss(r)
}

// loadDuring is the load of each role while something goes on.
func (s *System) loadDuring(do func() error) (map[string]Load, error) {
	before, err := s.usages()
	if err != nil {
		return nil, err
	}
	if err := do(); err != nil {
		return nil, err
	}
	after, err := s.usages()
	if err != nil {
		return nil, err
	}
	loads := map[string]Load{}
	for role, list := range after {
		for i, u := range list {
			if load := between(before[role][i], u); load.Processor >= loads[role].Processor {
				loads[role] = load
			}
		}
	}
	return loads, nil
}

func (s *System) usages() (map[string][]usage, error) {
	all := map[string][]usage{}
	for role, processes := range s.processes {
		for _, p := range processes {
			u, err := p.usage()
			if err != nil {
				return nil, err
			}
			all[role] = append(all[role], u)
		}
	}
	return all, nil
}

// playChanges sends changes, and notes when they were acknowledged and in force.
func (s *System) playChanges(ctx context.Context, count int, r *Result) error {
	var inForce, acknowledged []time.Duration
	for range count {
		began := time.Now()
		at, err := s.Change()
		if err != nil {
			return err
		}
		acknowledged = append(acknowledged, at.Sub(began))
		if err := s.awaitVersion(); err != nil {
			return err
		}
		inForce = append(inForce, s.Lags(s.version, at)...)
		pause(ctx, changeEvery-time.Since(began))
	}
	r.InForceMS, r.AcknowledgeMS = spreadOf(inForce), spreadOf(acknowledged)
	return ctx.Err()
}

// awaitVersion waits until every reader has the newest version.
func (s *System) awaitVersion() error {
	const look = 5 * time.Millisecond
	for end := time.Now().Add(inForcePatience); s.missing(s.version) > 0; pause(s.ctx, look) {
		if time.Now().After(end) || s.ctx.Err() != nil {
			return eris.Errorf("version %d is missing at %d proxies after %v", s.version, s.missing(s.version), inForcePatience)
		}
	}
	return nil
}

// playLoss kills the first control process, which leads a chain of founders, and sends a
// change at once.
func (s *System) playLoss(r *Result) error {
	s.processes["control"][0].stop()
	began := time.Now()
	if _, err := s.Change(); err != nil {
		return err
	}
	if err := s.awaitVersion(); err != nil {
		return err
	}
	r.AfterLossMS = milliseconds(time.Since(began))
	return nil
}
