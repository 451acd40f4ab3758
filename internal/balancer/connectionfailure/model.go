// Package connectionfailure says whether a run of broken connections, or of attempts without an answer,
// means that a backend has crashed, or whether connections just break here.
//
// Where connections break by themselves (a middlebox, a restart of something between), a
// living backend has several breaks in a row now and then, and taking each such run for a
// crash would eject all backends. So the share of attempts that break though their
// backend lives is learned: a break that an answer follows was a false alarm.
//
// It is pure: no goroutine, no clock, no I/O. It never decides which backend is ejected:
// package balancer does, which owns the Model.
package connectionfailure

import (
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

const (
	maxAliveProbability = 1e-5 // a run that a living backend has with a lower probability is a crash
	priorFailures       = 0.5  // breaks assumed of a living backend before any was seen,
	priorAttempts       = 25   // in so many attempts
)

// The bounds of FailureThreshold.
const (
	MinFailureRun = 3  // a shorter run is no crash
	MaxFailureRun = 12 // a run of this length is one, however usual breaks are
)

// Model learns how usual breaks are, over all backends. Not safe for concurrent use.
type Model struct {
	timeConstant         time.Duration
	falseAlarms, answers decay.Sum
}

// New gives a model whose evidence decays to 1/e within the time constant.
func New(timeConstant time.Duration) *Model { return &Model{timeConstant: timeConstant} }

// SetTimeConstant changes the time constant; the evidence stays.
func (m *Model) SetTimeConstant(timeConstant time.Duration) { m.timeConstant = timeConstant }

// RecordAnswer takes in an answer of a backend that came after so many broken attempts in a row.
func (m *Model) RecordAnswer(broken int, now time.Duration) {
	m.falseAlarms.Add(float64(broken), now, m.timeConstant)
	m.answers.Add(1, now, m.timeConstant)
}

// runProbability is the probability, 0 to 1, that a living backend has so many breaks in a row.
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

// State gives the evidence for another process to go on with: breaks that were false alarms, and answers, decayed.
func (m *Model) State(now time.Duration) (alarms, answered float64) {
	return m.falseAlarms.Value(now, m.timeConstant), m.answers.Value(now, m.timeConstant)
}

// Resume goes on with the State of another process, away ago.
func (m *Model) Resume(alarms, answered float64, elapsed, now time.Duration) {
	m.falseAlarms, m.answers = decay.NewSum(alarms, now-elapsed), decay.NewSum(answered, now-elapsed)
}
