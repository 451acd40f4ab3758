// Package connectionfailure says what a run of broken connections, or of attempts without an answer,
// tells of a backend: whether it has died, or whether connections just break here.
//
// Where connections break by themselves (a middlebox, a restart of something between), a
// living backend has several breaks in a row now and then, and taking each such run for a
// death would put all backends out. So the share of attempts that break though their
// backend lives is learnt: a break that an answer follows was a false alarm.
//
// It is pure: no goroutine, no clock, no input or output. It never says which backend is
// out: package balancer does.
package connectionfailure

import (
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

const (
	maxAliveProbability = 1e-5 // a run that a living backend has less often than this is a death's
	priorFailures       = 0.5  // breaks assumed of a living backend before any was seen,
	priorAttempts       = 25   // in so many attempts
)

// The bounds of DeathRun.
const (
	MinFailureRun = 3  // a shorter run is no death's
	MaxFailureRun = 12 // one of this length is, however usual breaks are
)

// Model learns how usual breaks are, over all backends. Not safe for concurrent use.
type Model struct {
	timeConstant         time.Duration
	falseAlarms, answers decay.Sum
}

// New gives a model that forgets within about the span.
func New(span time.Duration) *Model { return &Model{timeConstant: span} }

// SetTimeConstant lets it forget within another span.
func (m *Model) SetTimeConstant(span time.Duration) { m.timeConstant = span }

// RecordAnswer takes in an answer of a backend, behind so many broken attempts in a row.
func (m *Model) RecordAnswer(broken int, now time.Duration) {
	m.falseAlarms.Add(float64(broken), now, m.timeConstant)
	m.answers.Add(1, now, m.timeConstant)
}

// runProbability is how likely a living backend has so many breaks in a row.
func (m *Model) runProbability(run int, now time.Duration) float64 {
	alarms, answered := m.falseAlarms.Value(now, m.timeConstant), m.answers.Value(now, m.timeConstant)
	return math.Pow((alarms+priorFailures)/(alarms+answered+priorAttempts), float64(run))
}

// MayBeAlive tells whether a living backend may well have so many breaks in a row.
func (m *Model) MayBeAlive(run int, now time.Duration) bool {
	return m.runProbability(run, now) > maxAliveProbability
}

// FailureThreshold is how many unanswered attempts in a row a living backend hardly ever has.
func (m *Model) FailureThreshold(now time.Duration) int {
	n := MinFailureRun
	for n < MaxFailureRun && m.MayBeAlive(n, now) {
		n++
	}
	return n
}

// State gives the alarms and the answers that are remembered, for another process to go on with.
func (m *Model) State(now time.Duration) (alarms, answered float64) {
	return m.falseAlarms.Value(now, m.timeConstant), m.answers.Value(now, m.timeConstant)
}

// Resume goes on with what was remembered away ago.
func (m *Model) Resume(alarms, answered float64, away, now time.Duration) {
	m.falseAlarms, m.answers = decay.NewSum(alarms, now-away), decay.NewSum(answered, now-away)
}
