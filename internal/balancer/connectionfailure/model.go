// Package connectionfailure decides whether a run of broken connections, or of attempts without an answer, means that a
// backend has crashed, or whether connections break this often anyway.
//
// Where connections break for other reasons (a middlebox, a restart of something on the path), a live backend has
// several breaks in a row now and then. Taking each such run for a crash would eject all backends. So the model learns
// the share of attempts that break although their backend is alive: a break that is followed by an answer was a false
// alarm.
//
// The package is pure: no goroutine, no clock, no I/O. Package balancer, which owns the Model, decides which backend is
// ejected.
package connectionfailure

import (
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

const (
	maxAliveProbability = 1e-5 // a run that is less probable than this at a live backend counts as a crash
	priorFailures       = 0.5  // breaks at live backends assumed before any was seen,
	priorAttempts       = 25   // in this many attempts
)

// The bounds of FailureThreshold.
const (
	MinFailureRun = 3  // a shorter run never counts as a crash
	MaxFailureRun = 12 // a run of this length always does, however often connections break
)

// Model learns how often connections break, over all backends. Not safe for concurrent use.
type Model struct {
	timeConstant         time.Duration
	falseAlarms, answers decay.Sum
}

// New returns a model whose evidence decays to 1/e within the time constant.
func New(timeConstant time.Duration) *Model { return &Model{timeConstant: timeConstant} }

// SetTimeConstant changes the time constant; the evidence stays.
func (m *Model) SetTimeConstant(timeConstant time.Duration) { m.timeConstant = timeConstant }

// RecordAnswer records an answer of a backend that came after the given number of broken attempts in a row.
func (m *Model) RecordAnswer(broken int, now time.Duration) {
	m.falseAlarms.Add(float64(broken), now, m.timeConstant)
	m.answers.Add(1, now, m.timeConstant)
}

// runProbability is the probability, 0 to 1, that a live backend has this many breaks in a row.
func (m *Model) runProbability(run int, now time.Duration) float64 {
	alarms, answered := m.falseAlarms.Value(now, m.timeConstant), m.answers.Value(now, m.timeConstant)
	return math.Pow((alarms+priorFailures)/(alarms+answered+priorAttempts), float64(run))
}

// MayBeAlive reports whether a live backend could plausibly have this many breaks in a row.
func (m *Model) MayBeAlive(run int, now time.Duration) bool {
	return m.runProbability(run, now) > maxAliveProbability
}

// FailureThreshold returns how many unanswered attempts in a row are very improbable at a live backend, within
// MinFailureRun and MaxFailureRun.
func (m *Model) FailureThreshold(now time.Duration) int {
	n := MinFailureRun
	for n < MaxFailureRun && m.MayBeAlive(n, now) {
		n++
	}
	return n
}

// State returns the evidence for another process to resume: breaks that were false alarms, and answers, both decayed.
func (m *Model) State(now time.Duration) (alarms, answered float64) {
	return m.falseAlarms.Value(now, m.timeConstant), m.answers.Value(now, m.timeConstant)
}

// Resume continues with the State that another process had, elapsed ago.
func (m *Model) Resume(alarms, answered float64, elapsed, now time.Duration) {
	m.falseAlarms, m.answers = decay.NewSum(alarms, now-elapsed), decay.NewSum(answered, now-elapsed)
}
