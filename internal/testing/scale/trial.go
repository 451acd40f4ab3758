package scale

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"marlreel/internal/process/timing"
)

const (
	// changeInterval is the time between two changes.
	changeInterval = time.Second
	// propagationTimeout bounds how long a change may take to be everywhere.
	propagationTimeout = 15 * time.Second
	// propagationPoll is how often that is looked at.
	propagationPoll = 5 * time.Millisecond
)

// Result is what a trial has measured.
type Result struct {
	Controls int `json:"controls"`
	Proxies  int `json:"proxies"`
	Backends int `json:"backends"`
	Models   int `json:"models"`
	Zones    int `json:"zones"`
	Routes   int `json:"routes"`

	// IdleUsage is each role's usage with nothing but heartbeats, leases and health checks, ChangingUsage with one
	// change a second. Of several processes of a role it is that of the one with the most CPU time.
	IdleUsage     map[string]ResourceUsage `json:"idle"`
	ChangingUsage map[string]ResourceUsage `json:"changing"`

	// PropagationMS is how long after its acknowledgement a change was at each proxy, AcknowledgementMS how long the
	// acknowledgement took.
	PropagationMS     Percentiles `json:"in_force_ms"`
	AcknowledgementMS Percentiles `json:"acknowledge_ms"`
	// FailoverMS is how long a change took to be in force everywhere that was sent when the control process at the
	// head had just been killed.
	FailoverMS float64 `json:"after_loss_ms"`
}

// Percentiles are the median, the 99th percentile and the maximum of durations, in milliseconds.
type Percentiles struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"worst"`
}

// percentilesOf sorts the durations.
func percentilesOf(durations []time.Duration) Percentiles {
	if len(durations) == 0 {
		return Percentiles{}
	}
	slices.Sort(durations)
	at := func(quantile float64) float64 {
		index := int(quantile * float64(len(durations)))
		return milliseconds(durations[min(len(durations)-1, index)])
	}
	return Percentiles{Median: at(0.5), P99: at(0.99), Max: milliseconds(durations[len(durations)-1])}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Plan says how long a trial measures.
type Plan struct {
	// WarmupTime is waited before anything is measured.
	WarmupTime time.Duration
	// IdleTime is how long it measures without changes.
	IdleTime time.Duration
	// Changes is how many there are, one a second.
	Changes int
}

// Run starts a system, measures it and stops it.
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
	timing.Sleep(ctx, plan.WarmupTime)
	r.IdleUsage, err = s.usageDuring(func() error {
		timing.Sleep(ctx, plan.IdleTime)
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	r.ChangingUsage, err = s.usageDuring(func() error { return s.measureChanges(ctx, plan.Changes, r) })
	if err != nil {
		return nil, err
	}
	return r, s.measureFailover(ctx, r)
}

// usageDuring returns the usage of each role while something is done.
func (s *System) usageDuring(do func() error) (map[string]ResourceUsage, error) {
	before, err := s.sampleAll()
	if err != nil {
		return nil, err
	}
	if err := do(); err != nil {
		return nil, err
	}
	after, err := s.sampleAll()
	if err != nil {
		return nil, err
	}
	usages := map[string]ResourceUsage{}
	for role, samples := range after {
		for i, sample := range samples {
			usage := usageBetween(before[role][i], sample)
			if usage.CPUPercent >= usages[role].CPUPercent {
				usages[role] = usage
			}
		}
	}
	return usages, nil
}

// sampleAll samples all processes, by role.
func (s *System) sampleAll() (map[string][]usageSample, error) {
	samples := map[string][]usageSample{}
	for role, processes := range s.processes {
		for _, p := range processes {
			sample, err := p.sample()
			if err != nil {
				return nil, err
			}
			samples[role] = append(samples[role], sample)
		}
	}
	return samples, nil
}

// measureChanges commits changes, and measures their acknowledgement and propagation.
func (s *System) measureChanges(ctx context.Context, count int, r *Result) error {
	var propagation, acknowledgement []time.Duration
	for range count {
		began := time.Now()
		acknowledged, err := s.ChangeConfiguration(ctx)
		if err != nil {
			return err
		}
		acknowledgement = append(acknowledgement, acknowledged.Sub(began))
		if err := s.awaitPropagation(ctx); err != nil {
			return err
		}
		propagation = append(propagation, s.PropagationDelays(s.version, acknowledged)...)
		timing.Sleep(ctx, changeInterval-time.Since(began))
	}
	r.PropagationMS = percentilesOf(propagation)
	r.AcknowledgementMS = percentilesOf(acknowledgement)
	return ctx.Err()
}

// awaitPropagation waits until every subscriber has the newest version.
func (s *System) awaitPropagation(ctx context.Context) error {
	deadline := time.Now().Add(propagationTimeout)
	for s.missing(s.version) > 0 {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return eris.Errorf("version %d is missing at %d proxies after %v", s.version, s.missing(s.version), propagationTimeout)
		}
		timing.Sleep(ctx, propagationPoll)
	}
	return nil
}

// measureFailover kills the first control process, which is the head of a chain of founders, and commits a change at
// once.
func (s *System) measureFailover(ctx context.Context, r *Result) error {
	s.processes["control"][0].kill()
	began := time.Now()
	if _, err := s.ChangeConfiguration(ctx); err != nil {
		return err
	}
	if err := s.awaitPropagation(ctx); err != nil {
		return err
	}
	r.FailoverMS = milliseconds(time.Since(began))
	return nil
}
