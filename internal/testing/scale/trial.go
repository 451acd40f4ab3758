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

	// IdleUsage is each role's load with nothing but heartbeats, leases and probes, Changing with
	// one change a second. Of several processes of a role it is the busiest one's.
	IdleUsage     map[string]ResourceUsage `json:"idle"`
	ChangingUsage map[string]ResourceUsage `json:"changing"`

	// How long after its acknowledgement a change was at each proxy, and how long the
	// acknowledgement took.
	PropagationMS     Percentiles `json:"in_force_ms"`
	AcknowledgementMS Percentiles `json:"acknowledge_ms"`
	// FailoverMS is how long a change took to be in force everywhere that was sent when
	// the control process at the head had just been killed.
	FailoverMS float64 `json:"after_loss_ms"`
}

// Percentiles is the middle and the end of many times.
type Percentiles struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"worst"`
}

func spreadOf(times []time.Duration) Percentiles {
	if len(times) == 0 {
		return Percentiles{}
	}
	slices.Sort(times)
	at := func(part float64) float64 {
		return milliseconds(times[min(len(times)-1, int(part*float64(len(times))))])
	}
	return Percentiles{Median: at(0.5), P99: at(0.99), Max: milliseconds(times[len(times)-1])}
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// Plan says how long a trial measures.
type Plan struct {
	WarmupTime time.Duration // before anything is measured
	IdleTime   time.Duration
	Changes    int // one a second
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
	pause(ctx, plan.WarmupTime)
	if r.IdleUsage, err = s.loadDuring(func() error { pause(ctx, plan.IdleTime); return ctx.Err() }); err != nil {
		return nil, err
	}
	r.ChangingUsage, err = s.loadDuring(func() error { return s.playChanges(ctx, plan.Changes, r) })
	if err != nil {
		return nil, err
	}
	return r, s.playLoss(r)
}

// loadDuring is the load of each role while something goes on.
func (s *System) loadDuring(do func() error) (map[string]ResourceUsage, error) {
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
	loads := map[string]ResourceUsage{}
	for role, list := range after {
		for i, u := range list {
			if load := between(before[role][i], u); load.CPUPercent >= loads[role].CPUPercent {
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
		at, err := s.ChangeConfiguration()
		if err != nil {
			return err
		}
		acknowledged = append(acknowledged, at.Sub(began))
		if err := s.awaitVersion(); err != nil {
			return err
		}
		inForce = append(inForce, s.PropagationDelays(s.version, at)...)
		pause(ctx, changeEvery-time.Since(began))
	}
	r.PropagationMS, r.AcknowledgementMS = spreadOf(inForce), spreadOf(acknowledged)
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
	if _, err := s.ChangeConfiguration(); err != nil {
		return err
	}
	if err := s.awaitVersion(); err != nil {
		return err
	}
	r.FailoverMS = milliseconds(time.Since(began))
	return nil
}
