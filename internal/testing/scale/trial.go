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
	// propagationTimeout limits the propagation of a change to all proxies.
	propagationTimeout = 15 * time.Second
	// propagationPoll is the interval at which propagation is checked.
	propagationPoll = 5 * time.Millisecond
)

// Result holds the figures of a trial.
type Result struct {
	Controls int `json:"controls"`
	Proxies  int `json:"proxies"`
	Backends int `json:"backends"`
	Models   int `json:"models"`
	Zones    int `json:"zones"`
	Routes   int `json:"routes"`

	// IdleUsage is each role's usage with only heartbeats, leases and health checks; ChangingUsage is the usage with one
	// change per second. For a role with several processes it is the one that uses the most CPU time.
	IdleUsage     map[string]ResourceUsage `json:"idle"`
	ChangingUsage map[string]ResourceUsage `json:"changing"`

	// PropagationMS is the time from the acknowledgement of a change to its arrival at each proxy. AcknowledgementMS is
	// the time from sending a change to its acknowledgement.
	PropagationMS     Percentiles `json:"in_force_ms"`
	AcknowledgementMS Percentiles `json:"acknowledge_ms"`
	// FailoverMS is the time until a change is in force at all proxies when it is sent immediately after the control
	// process at the head was killed.
	FailoverMS float64 `json:"after_loss_ms"`
}

// Percentiles are the median, the 99th percentile and the maximum of durations, in milliseconds.
type Percentiles struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"worst"`
}

// percentilesOf returns the percentiles of durations, which it sorts in place.
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

// Plan describes the phases of a trial.
type Plan struct {
	// WarmupTime is the time before the first measurement.
	WarmupTime time.Duration
	// IdleTime is the length of the measurement without changes.
	IdleTime time.Duration
	// Changes is the number of changes, one per second.
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

// usageDuring runs do and returns the usage of each role during it.
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

// measureChanges commits changes and measures their acknowledgement and propagation times.
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

// awaitPropagation waits until every subscriber has received the newest version.
func (s *System) awaitPropagation(ctx context.Context) error {
	deadline := time.Now().Add(propagationTimeout)
	for s.missing(s.version) > 0 {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return eris.Errorf("version %d has not reached %d proxies after %v", s.version, s.missing(s.version), propagationTimeout)
		}
		timing.Sleep(ctx, propagationPoll)
	}
	return nil
}

// measureFailover kills the first control process, which is the head of the chain of initial members, and immediately
// commits a change.
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
