// Package slowstart limits how much backends that have all just started may be sent, where there is no warm backend to
// compare them with, as after a power loss: at first what any backend can take that is able to meet the latency targets
// at all, then more according to what they answer.
//
// The package is pure and reads no clock. Package balancer, which owns the Model, decides where a request goes.
package slowstart

import (
	"math"
	"time"
)

// Config holds the settings for backends that start.
type Config struct {
	OverloadMultiple float64       // multiple of its capacity beyond which a warming backend is overloaded,
	OverloadWindow   time.Duration // if it gets that much for so long
	LatencyTarget    time.Duration // the shortest of all classes
	SafetyFactor     float64       // part of the overloading rate that is used
}

const (
	// Steps per overload window: the rate is adjusted this often in it.
	stepsPerWindow = 3
	// GrowthFactor is by how much the rate may rise after a step without failures. A backend is overloaded by what it
	// is sent over a whole window. At 1.6 per step the window's mean is under two thirds of its last step. So a step
	// that was answered well, at no more than capacity, is followed by a mean of at most
	// 1.6 x (1 + 1/1.6 + 1/2.56)/3 = 1.08 times capacity before the next decision, and of 1.7 times if a step is not
	// judged in time: under 2.5.
	GrowthFactor = 1.6
	maxFactor    = 4096 // bound of the factor: long before it, the comparison with warm backends takes over
)

// MinRate returns how many requests of mean work a second any backend can take from all proxies together, at a part of
// its capacity from 0 to 1. A backend that meets the shortest latency target at all finishes a request within it when
// it is warm.
func (c Config) MinRate(capacity float64) float64 {
	window := max(c.OverloadWindow, time.Second).Seconds()
	target := c.LatencyTarget.Seconds()
	if target <= 0 {
		return 1 / window
	}
	return max(1/window, c.SafetyFactor*c.OverloadMultiple*capacity/target)
}

// Model tracks what warming backends have answered recently. Not safe for concurrent use.
type Model struct {
	cfg                 Config
	factor              float64
	stepStarted         time.Duration
	successes, failures int
}

// Configure replaces the settings.
func (m *Model) Configure(cfg Config) {
	m.cfg = cfg
	if m.factor < 1 {
		m.factor = 1
	}
}

// Rate returns how many requests of mean work a second all proxies together may send to a warming backend that has at
// least the given part of its capacity. If there are warm backends it is one per overload window: the caller then
// compares with those.
func (m *Model) Rate(now time.Duration, capacity float64, warm bool) float64 {
	if warm {
		m.factor, m.stepStarted, m.successes, m.failures = 1, now, 0, 0
		return 1 / max(m.cfg.OverloadWindow, time.Second).Seconds()
	}
	return m.cfg.MinRate(capacity) * m.Factor(now)
}

// RecordOutcome records the outcome of an attempt at a warming backend: inTime means an answer within its latency
// target; a rejected, late or lost attempt is not in time.
func (m *Model) RecordOutcome(now time.Duration, inTime bool) {
	m.advance(now)
	if inTime {
		m.successes++
	} else {
		m.failures++
	}
}

// Factor returns the multiple of MinRate that each warming backend may be sent now.
func (m *Model) Factor(now time.Duration) float64 {
	m.advance(now)
	return m.factor
}

func (m *Model) advance(now time.Duration) {
	if now-m.stepStarted < max(m.cfg.OverloadWindow, time.Second)/stepsPerWindow {
		return
	}
	switch {
	case m.failures > 0:
		m.factor = max(1, m.factor/2)
	case m.successes > 0:
		m.factor = min(m.factor*GrowthFactor, maxFactor)
	}
	m.stepStarted, m.successes, m.failures = now, 0, 0
}

// Stagger spreads proxies evenly over 0 to 1 by their ranks, in a different order for each backend. The result is the
// part of a turn that a proxy waits before its first request there.
func Stagger(rank int, backend uint64) float64 {
	_, p := math.Modf(float64(rank)*0.6180339887498949 + float64(backend)*0.7548776662466927)
	return p
}
