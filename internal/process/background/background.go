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
	Soon  Priority = iota // also in an overload and while a stop is under way
	Usual                 // not in an overload
	Idle                  // the same, behind the others
)

// Spec is a job.
type Spec struct {
	Name     string
	Priority Priority
	Every    time.Duration // from the end of one run to the next; jitter of a quarter is added or taken off
	Cost     time.Duration // of a core that a run is thought to take, until it is known
	Longest  time.Duration // a run that takes longer by the clock is said, and no longer counts as one of those at once; 0 is Every
}

// Config is what jobs may take together.
type Config struct {
	Share float64       // of a core
	Burst time.Duration // of a core, that may be saved up
	Most  int           // at once
}

// ID is a job's number.
type ID int

const (
	costKeep  = 0.7 // of what was known of a job's cost, with each run
	backoff   = 8   // times Every at most, after runs that failed
	jitter    = 0.25
	lateAfter = 2 // times Every: a job that waits for longer is late, and said to be
)

type job struct {
	Spec
	due      time.Duration
	began    time.Duration
	running  bool
	stuck    bool // it runs for longer than Longest
	reserved time.Duration
	cost     time.Duration
	failures int
	late     bool
}

// Scheduler is the state. Not safe for concurrent use.
type Scheduler struct {
	cfg      Config
	random   func() float64
	jobs     map[ID]*job
	last     ID
	tokens   time.Duration // of a core
	at       time.Duration
	busy     bool
	draining bool
	lines    []string
}

// New makes a scheduler. random gives numbers from 0 to 1: proxies that start together must not have the same.
func New(cfg Config, now time.Duration, random func() float64) *Scheduler {
	return &Scheduler{cfg: cfg, random: random, jobs: map[ID]*job{}, at: now, tokens: cfg.Burst}
}

// Add takes a job in. Its first run comes anywhere within Every: what starts together does not run together.
func (s *Scheduler) Add(now time.Duration, spec Spec) ID {
	s.last++
	if spec.Longest <= 0 {
		spec.Longest = spec.Every
	}
	s.jobs[s.last] = &job{Spec: spec, cost: spec.Cost, due: now + time.Duration(s.random()*float64(spec.Every))}
	return s.last
}

// Busy says whether there is more to serve than can be: then only what is Soon begins.
func (s *Scheduler) Busy(on bool) { s.busy = on }

// Drain begins a stop: only what is Soon begins from now on. It gives those that run, to be called off.
func (s *Scheduler) Drain() (running []ID) {
	s.draining = true
	for id, j := range s.jobs {
		if j.running && j.Priority != Soon {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	return running
}

// earn adds what the time that has passed is worth.
func (s *Scheduler) earn(now time.Duration) {
	if d := now - s.at; d > 0 {
		s.tokens = min(s.cfg.Burst, s.tokens+time.Duration(float64(d)*s.cfg.Share))
		s.at = now
	}
}

// rank is what a job is ordered by: its priority, less one for each Every that it has waited beyond its time.
// So nothing waits for ever behind what is always more urgent.
func (j *job) rank(now time.Duration) float64 {
	return float64(j.Priority) - float64(now-j.due)/float64(max(j.Every, time.Millisecond))
}

// mayRun tells whether a job's kind runs as things are.
func (s *Scheduler) mayRun(j *job) bool { return j.Priority == Soon || !s.busy && !s.draining }

// Start gives the jobs that begin now. Each has to End.
func (s *Scheduler) Start(now time.Duration) (begin []ID) {
	s.earn(now)
	atOnce := 0
	var due []ID
	for id, j := range s.jobs {
		if j.running {
			if !j.stuck && now-j.began > j.Longest {
				j.stuck = true
				s.lines = append(s.lines, fmt.Sprintf("%s has run for %v, and %v is the most: it is left alone, and does not begin again before it ends",
					j.Name, (now-j.began).Round(time.Millisecond), j.Longest))
			}
			if !j.stuck {
				atOnce++
			}
			continue
		}
		if now >= j.due && s.mayRun(j) {
			due = append(due, id)
		}
		if s.mayRun(j) && !j.late && now-j.due > lateAfter*j.Every {
			j.late = true
			s.lines = append(s.lines, fmt.Sprintf("%s is late by %v: the work in the background has no more than %.0f%% of a core", j.Name, (now-j.due).Round(time.Millisecond), 100*s.cfg.Share))
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
		if atOnce >= s.cfg.Most || s.tokens < min(j.cost, s.cfg.Burst) {
			break
		}
		atOnce++
		j.running, j.stuck, j.began, j.reserved = true, false, now, j.cost
		s.tokens -= j.cost
		begin = append(begin, id)
	}
	return begin
}

// End takes in the end of a run, what it took of a core, and whether it failed.
func (s *Scheduler) End(now time.Duration, id ID, used time.Duration, failed bool) {
	s.earn(now)
	j := s.jobs[id]
	if j == nil || !j.running { // it ended before
		return
	}
	used = max(0, used)
	s.tokens += j.reserved - used
	if j.cost = time.Duration(costKeep*float64(j.cost) + (1-costKeep)*float64(used)); used > j.cost {
		j.cost = used // who takes more than was thought is believed at once
	}
	wait := float64(j.Every) * (1 - jitter + 2*jitter*s.random())
	if j.failures++; !failed {
		j.failures = 0
	}
	wait *= min(backoff, math.Exp2(float64(j.failures)))
	if j.late && !failed {
		j.late = false
	}
	j.running, j.stuck, j.due = false, false, now+time.Duration(wait)
}

// Next is when Start has something to do; 0 is not before something ends, or is said.
func (s *Scheduler) Next(now time.Duration) time.Duration {
	next := time.Duration(0)
	at := func(t time.Duration) {
		if t = max(t, now+time.Millisecond); next == 0 || t < next {
			next = t
		}
	}
	for _, j := range s.jobs {
		switch {
		case j.running && !j.stuck:
			at(j.began + j.Longest + time.Millisecond)
		case j.running || !s.mayRun(j):
		default:
			t := j.due
			if lack := min(j.cost, s.cfg.Burst) - s.tokens; lack > 0 {
				t = max(t, s.at+time.Duration(float64(lack)/s.cfg.Share)+1)
			}
			at(t)
		}
	}
	return next
}

// Lines are those for the log, since the last time.
func (s *Scheduler) Lines() []string {
	lines := s.lines
	s.lines = nil
	return lines
}
