package machine

import "time"

// Job is what a request demands of a machine.
type Job struct {
	Work     time.Duration // of a reference core
	Wait     time.Duration // for other services, before the work; it occupies a slot and no core
	Deadline time.Duration // after which nobody waits for the request; 0 is none
}

// Admission is what becomes of a submitted job.
type Admission uint8

// The admissions. Of a rejected job nothing runs.
const (
	Accepted       Admission = iota // it is in service or queued
	QueueFull                       // rejected: all slots and queue places are occupied
	DeadlinePassed                  // rejected: its deadline has passed
	Unavailable                     // the machine has crashed, before the submission or by it
)

// Outcome tells how an accepted job ended.
type Outcome uint8

// The outcomes.
const (
	Completed        Outcome = iota
	DeadlineExceeded         // it may have run in part
	Killed                   // the machine crashed while it had the job
)

// Completion is the end of an accepted job.
type Completion struct {
	ID      uint64
	At      time.Duration
	Outcome Outcome
	Started bool // it had left the queue
}

type phase uint8

const (
	queued phase = iota
	waiting
	computing
)

// workEpsilon, in seconds of a reference core, is below the nanosecond to which times are rounded.
const workEpsilon = 1e-9

// job is an accepted job that has not ended.
type job struct {
	Job
	id        uint64
	phase     phase
	readyAt   time.Duration // when its wait is over
	remaining float64       // work, in seconds of a reference core
}

func (j *job) started() bool { return j.phase != queued }

// outcome tells how the job ends at now, if it does.
func (j *job) outcome(now time.Duration) (Outcome, bool) {
	if j.Deadline != 0 && j.Deadline <= now {
		return DeadlineExceeded, true
	}
	return Completed, j.phase == computing && j.remaining <= workEpsilon
}
