// Package slowstart says how much backends that have all just started may be sent, where there is no warm one to
// compare them with, as after a power loss: what any backend bears that can meet the latency targets at all, and then
// more by what they answer.
//
// It is pure, and reads no clock. It never decides where a request goes: package balancer does, which owns the Model.
package slowstart

import (
	"math"
	"time"
)

// Config is what the settings say of backends that start.
type Config struct {
	OverloadMultiple float64       // of its capacity, beyond which a warming backend is overloaded
	OverloadWindow   time.Duration // for so long
	LatencyTarget    time.Duration // the shortest one of all classes
	SafetyFactor     float64       // part of what would overload it that is used
}

const (
	// Steps of a window: growth is judged so often in it.
	stepsPerWindow = 3
	// GrowthFactor is by how much the rate may rise in a step that went well. A backend is overloaded by what it is sent
	// over a whole window. At 1.6 a step the window's mean is under two thirds of its last step, so what was well
	// answered a step ago, at no more than capacity, is followed by at most 1.6 x (1 + 1/1.6 + 1/2.56)/3 = 1.08
	// times capacity before the next look, and a step that was not looked at in time by 1.7 times: under 2.5.
	GrowthFactor = 1.6
	maxFactor    = 4096 // of the factor: beyond it the comparison with warm ones has long taken over
)

// MinRate is how many requests of mean work a second any backend bears at a part of its capacity, 0 to 1, from all
// proxies together. One that meets the shortest latency target at all does a request in it when it is warm.
func (c Config) MinRate(capacity float64) float64 {
	window := max(c.OverloadWindow, time.Second).Seconds()
	target := c.LatencyTarget.Seconds()
	if target <= 0 {
		return 1 / window
	}
	return max(1/window, c.SafetyFactor*c.OverloadMultiple*capacity/target)
}

// Model is what warming backends have answered recently. Not safe for concurrent use.
type Model struct {
	cfg                 Config
	factor              float64
	stepStarted         time.Duration
	successes, failures int
}

// Configure puts settings in force.
func (m *Model) Configure(cfg Config) {
	m.cfg = cfg
	if m.factor < 1 {
		m.factor = 1
	}
}

// Rate is how many requests of mean work a second a warming backend may be sent by all proxies together, at a part of
// its capacity that it has at least. Where some are warm it is one a window: the caller compares with those.
func (m *Model) Rate(now time.Duration, capacity float64, warm bool) float64 {
	if warm {
		m.factor, m.stepStarted, m.successes, m.failures = 1, now, 0, 0
		return 1 / max(m.cfg.OverloadWindow, time.Second).Seconds()
	}
	return m.cfg.MinRate(capacity) * m.Factor(now)
}

// RecordOutcome takes what became of an attempt at a warming backend: inTime is an answer within its latency target;
// a rejected, late or lost one is not.
func (m *Model) RecordOutcome(now time.Duration, inTime bool) {
	m.advance(now)
	if inTime {
		m.successes++
	} else {
		m.failures++
	}
}

// Factor is by how much more than MinRate each may be sent now.
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

// Stagger spreads proxies evenly over 0 to 1 by their ranks, in another order for each backend: the part of a turn
// that each waits before its first request there.
func Stagger(rank int, backend uint64) float64 {
	_, p := math.Modf(float64(rank)*0.6180339887498949 + float64(backend)*0.7548776662466927)
	return p
}
