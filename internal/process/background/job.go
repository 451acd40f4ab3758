package background

import (
	"math"
	"time"
)

// Priority is a job's priority; lower values start first.
type Priority uint8

// The priorities.
const (
	Urgent Priority = iota // starts even during overload and shutdown
	Normal                 // starts neither during overload nor during shutdown
	Idle                   // as Normal, but after Normal jobs
)

// Spec describes a job.
type Spec struct {
	Name          string
	Priority      Priority
	Interval      time.Duration // from the end of one run to the start of the next, with up to 25% jitter either way
	EstimatedCost time.Duration // CPU time of a run, used until a run has been measured
	MaxDuration   time.Duration // a run that takes longer is logged and no longer counts as running; 0 means Interval
}

// ID identifies a job.
type ID int

const (
	costRetention    = 0.7  // weight of the previous average when a run updates the expected cost
	maxBackoffFactor = 8    // upper bound of the backoff after failed runs, in Intervals
	jitter           = 0.25 // fraction of Interval, either way
	overdueIntervals = 2    // a job that is late by more intervals than this is logged as overdue
)

type job struct {
	Spec
	dueAt        time.Duration
	startedAt    time.Duration
	running      bool
	exceeded     bool // the current run has taken longer than MaxDuration
	reservedCost time.Duration
	expectedCost time.Duration
	failures     int // consecutive
	overdue      bool
}

// rank orders due jobs, lowest first: the priority minus the number of Intervals by which the job is late. This
// ageing keeps jobs of a low priority from starving.
func (j *job) rank(now time.Duration) float64 {
	return float64(j.Priority) - float64(now-j.dueAt)/float64(max(j.Interval, time.Millisecond))
}

// learnCost updates the expected cost with that of a run. A higher cost than the average replaces it at once.
func (j *job) learnCost(used time.Duration) {
	average := time.Duration(costRetention*float64(j.expectedCost) + (1-costRetention)*float64(used))
	j.expectedCost = max(average, used)
}

// finish records the end of a run and schedules the next one; random, from 0 to 1, sets the jitter.
func (j *job) finish(now time.Duration, failed bool, random float64) {
	if failed {
		j.failures++
	} else {
		j.failures = 0
		j.overdue = false
	}
	wait := float64(j.Interval) * (1 - jitter + 2*jitter*random)
	wait *= min(maxBackoffFactor, math.Exp2(float64(j.failures)))
	j.running, j.exceeded = false, false
	j.dueAt = now + time.Duration(wait)
}
