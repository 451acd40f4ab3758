package background

import (
	"math"
	"time"
)

// Priority says who goes first.
type Priority uint8

// The priorities.
const (
	Urgent Priority = iota // also in an overload and while the process shuts down
	Normal                 // neither in an overload nor while the process shuts down
	Idle                   // the same, behind the others
)

// Spec describes a job.
type Spec struct {
	Name          string
	Priority      Priority
	Interval      time.Duration // from the end of one run to the next; a quarter of jitter is added or taken off
	EstimatedCost time.Duration // CPU time of a run, until it is measured
	MaxDuration   time.Duration // a run that takes longer is logged and no longer counts as running; 0: Interval
}

// ID is a job's number.
type ID int

const (
	costRetention    = 0.7  // weight of the cost known so far in the average, with each run
	maxBackoffFactor = 8    // of Interval, after runs that failed
	jitter           = 0.25 // of Interval, either way
	overdueIntervals = 2    // a job that waits for more intervals than this is overdue, which is logged
)

type job struct {
	Spec
	dueAt        time.Duration
	startedAt    time.Duration
	running      bool
	exceeded     bool // it has run for longer than MaxDuration
	reservedCost time.Duration
	expectedCost time.Duration
	failures     int // in a row
	overdue      bool
}

// rank is what due jobs are ordered by, the lowest first: the priority, less one for each Interval that the job is
// past its time. So nothing waits for ever behind what is always more urgent.
func (j *job) rank(now time.Duration) float64 {
	return float64(j.Priority) - float64(now-j.dueAt)/float64(max(j.Interval, time.Millisecond))
}

// learnCost updates the expected cost by that of a run. One that took more than expected is believed at once.
func (j *job) learnCost(used time.Duration) {
	average := time.Duration(costRetention*float64(j.expectedCost) + (1-costRetention)*float64(used))
	j.expectedCost = max(average, used)
}

// finish ends a run; random is from 0 to 1, for the jitter.
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
