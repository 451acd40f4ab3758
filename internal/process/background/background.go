// Package background says when work that is no request may run: by priority, within a share of a core, a few
// jobs at once, none for ever last. It owns the order and the budget, and never runs anything: Runner does.
// What must not wait (a list, a drain told, a request) is no job of its.
//
// It is pure: the time is passed in, and the random numbers of the jitter are.
package background

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Priority says who goes first.
type Priority uint8

// The priorities.
const (
	Urgent Priority = iota // also in an overload and while a stop is under way
	Normal                 // not in an overload
	Idle                   // the same, behind the others
)

// Spec is a job.
type Spec struct {
	Name          string
	Priority      Priority
	Interval      time.Duration // from the end of one run to the next; jitter of a quarter is added or taken off
	EstimatedCost time.Duration // of a core that a run is thought to take, until it is known
	MaxDuration   time.Duration // a run that takes longer by the clock is said, and no longer counts as one of those at once; 0 is Every
}

// Config is what jobs may take together.
type Config struct {
	Cores      float64       // of a core
	Burst      time.Duration // of a core, that may be saved up
	MaxRunning int           // at once
}

// ID is a job's number.
type ID int

const (
	costRetention    = 0.7 // of what was known of a job's cost, with each run
	maxBackoffFactor = 8   // times Every at most, after runs that failed
	jitter           = 0.25
	overdueIntervals = 2 // times Every: a job that waits for longer is late, and said to be
)

type job struct {
	Spec
	dueAt        time.Duration
	startedAt    time.Duration
	running      bool
	exceeded     bool // it runs for longer than Longest
	reservedCost time.Duration
	expectedCost time.Duration
	failures     int
	overdue      bool
}

// Scheduler is the state. Not safe for concurrent use.
type Scheduler struct {
	config     Config
	random     func() float64
	jobs       map[ID]*job
	lastID     ID
	cpuTokens  time.Duration // of a core
	refilledAt time.Duration
	overloaded bool
	draining   bool
	logLines   []string
}

// New makes a scheduler. random gives numbers from 0 to 1: proxies that start together must not have the same.
func New(cfg Config, now time.Duration, random func() float64) *Scheduler {
	return &Scheduler{config: cfg, random: random, jobs: map[ID]*job{}, refilledAt: now, cpuTokens: cfg.Burst}
}

// Add takes a job in. Its first run comes anywhere within Every: what starts together does not run together.
func (s *Scheduler) Add(now time.Duration, spec Spec) ID {
	s.lastID++
	if spec.MaxDuration <= 0 {
		spec.MaxDuration = spec.Interval
	}
	s.jobs[s.lastID] = &job{Spec: spec, expectedCost: spec.EstimatedCost, dueAt: now + time.Duration(s.random()*float64(spec.Interval))}
	return s.lastID
}

// SetOverloaded says whether there is more to serve than can be: then only what is Soon begins.
func (s *Scheduler) SetOverloaded(on bool) { s.overloaded = on }

// Drain begins a stop: only what is Soon begins from now on. It gives those that run, to be called off.
func (s *Scheduler) Drain() (running []ID) {
	s.draining = true
	for id, j := range s.jobs {
		if j.running && j.Priority != Urgent {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	return running
}

// refill adds what the time that has passed is worth.
func (s *Scheduler) refill(now time.Duration) {
	if d := now - s.refilledAt; d > 0 {
		s.cpuTokens = min(s.config.Burst, s.cpuTokens+time.Duration(float64(d)*s.config.Cores))
		s.refilledAt = now
	}
}

// rank is what a job is ordered by: its priority, less one for each Every that it has waited beyond its time.
// So nothing waits for ever behind what is always more urgent.
func (j *job) rank(now time.Duration) float64 {
	return float64(j.Priority) - float64(now-j.dueAt)/float64(max(j.Interval, time.Millisecond))
}

// mayRun tells whether a job's kind runs as things are.
func (s *Scheduler) mayRun(j *job) bool { return j.Priority == Urgent || !s.overloaded && !s.draining }

// StartDue gives the jobs that begin now. Each has to End.
func (s *Scheduler) StartDue(now time.Duration) (begin []ID) {
	s.refill(now)
	atOnce := 0
	var due []ID
	for id, j := range s.jobs {
		if j.running {
			if !j.exceeded && now-j.startedAt > j.MaxDuration {
				j.exceeded = true
				s.logLines = append(s.logLines, fmt.Sprintf("%s has run for %v, and %v is the most: it is left alone, and does not begin again before it ends",
					j.Name, (now-j.startedAt).Round(time.Millisecond), j.MaxDuration))
			}
			if !j.exceeded {
				atOnce++
			}
			continue
		}
		if now >= j.dueAt && s.mayRun(j) {
			due = append(due, id)
		}
		if s.mayRun(j) && !j.overdue && now-j.dueAt > overdueIntervals*j.Interval {
			j.overdue = true
			s.logLines = append(s.logLines, fmt.Sprintf("%s is late by %v: the work in the background has no more than %.0f%% of a core", j.Name, (now-j.dueAt).Round(time.Millisecond), 100*s.config.Cores))
		}
	}
	slices.SortFunc(due, func(a, b ID) int {
		x, y := s.jobs[a].rank(now), s.jobs[b].rank(now)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return int(a - b)
	})
	for _, id := range due {
		j := s.jobs[id]
		// Who is first and can't pay yet keeps the others from spending what he waits for. One that costs more
		// than can be saved up begins when all of that is there, and leaves a debt.
		if atOnce >= s.config.MaxRunning || s.cpuTokens < min(j.expectedCost, s.config.Burst) {
			break
		}
		atOnce++
		j.running, j.exceeded, j.startedAt, j.reservedCost = true, false, now, j.expectedCost
		s.cpuTokens -= j.expectedCost
		begin = append(begin, id)
	}
	return begin
}

// OnRunEnded takes in the end of a run, what it took of a core, and whether it failed.
func (s *Scheduler) OnRunEnded(now time.Duration, id ID, used time.Duration, failed bool) {
	s.refill(now)
	j := s.jobs[id]
	if j == nil || !j.running { // it ended before
		return
	}
	used = max(0, used)
	s.cpuTokens += j.reservedCost - used
	if j.expectedCost = time.Duration(costRetention*float64(j.expectedCost) + (1-costRetention)*float64(used)); used > j.expectedCost {
		j.expectedCost = used // who takes more than was thought is believed at once
	}
	wait := float64(j.Interval) * (1 - jitter + 2*jitter*s.random())
	if j.failures++; !failed {
		j.failures = 0
	}
	wait *= min(maxBackoffFactor, math.Exp2(float64(j.failures)))
	if j.overdue && !failed {
		j.overdue = false
	}
	j.running, j.exceeded, j.dueAt = false, false, now+time.Duration(wait)
}

// NextStart is when Start has something to do; 0 is not before something ends, or is said.
func (s *Scheduler) NextStart(now time.Duration) time.Duration {
	next := time.Duration(0)
	at := func(t time.Duration) {
		if t = max(t, now+time.Millisecond); next == 0 || t < next {
			next = t
		}
	}
	for _, j := range s.jobs {
		switch {
		case j.running && !j.exceeded:
			at(j.startedAt + j.MaxDuration + time.Millisecond)
		case j.running || !s.mayRun(j):
		default:
			t := j.dueAt
			if lack := min(j.expectedCost, s.config.Burst) - s.cpuTokens; lack > 0 {
				t = max(t, s.refilledAt+time.Duration(float64(lack)/s.config.Cores)+1)
			}
			at(t)
		}
	}
	return next
}

// TakeLogLines are those for the log, since the last time.
func (s *Scheduler) TakeLogLines() []string {
	lines := s.logLines
	s.logLines = nil
	return lines
}
