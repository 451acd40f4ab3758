package background

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Config limits what all jobs together may use.
type Config struct {
	Cores      float64       // CPU share in cores, such as 0.02
	Burst      time.Duration // capacity of the token bucket, in CPU time
	MaxRunning int           // concurrent jobs
}

// Scheduler decides which jobs start and when. It is not safe for concurrent use. Times are durations since an
// origin that the caller chooses, and must not decrease.
type Scheduler struct {
	config     Config
	random     func() float64
	jobs       map[ID]*job
	lastID     ID
	cpuTokens  time.Duration // CPU time that may be spent; negative is a debt
	refilledAt time.Duration
	overloaded bool
	draining   bool
	logLines   []string
}

// New creates a scheduler. random returns numbers from 0 to 1, which must differ between processes that start
// together.
func New(cfg Config, now time.Duration, random func() float64) *Scheduler {
	return &Scheduler{config: cfg, random: random, jobs: map[ID]*job{}, refilledAt: now, cpuTokens: cfg.Burst}
}

// Add adds a job. Its first run is due at a random time within its interval, so that jobs added together don't run
// together.
func (s *Scheduler) Add(now time.Duration, spec Spec) ID {
	s.lastID++
	if spec.MaxDuration <= 0 {
		spec.MaxDuration = spec.Interval
	}
	dueAt := now + time.Duration(s.random()*float64(spec.Interval))
	s.jobs[s.lastID] = &job{Spec: spec, expectedCost: spec.EstimatedCost, dueAt: dueAt}
	return s.lastID
}

// SetOverloaded sets whether requests are being shed. During overload only Urgent jobs start.
func (s *Scheduler) SetOverloaded(on bool) { s.overloaded = on }

// Drain lets only Urgent jobs start from now on. It returns the other running jobs for the caller to cancel.
func (s *Scheduler) Drain() []ID {
	s.draining = true
	var running []ID
	for id, j := range s.jobs {
		if j.running && j.Priority != Urgent {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	return running
}

// refill adds the tokens that have accrued since the last refill.
func (s *Scheduler) refill(now time.Duration) {
	elapsed := now - s.refilledAt
	if elapsed > 0 {
		s.cpuTokens = min(s.config.Burst, s.cpuTokens+time.Duration(float64(elapsed)*s.config.Cores))
		s.refilledAt = now
	}
}

// mayStart reports whether a job's priority allows it to start at present.
func (s *Scheduler) mayStart(j *job) bool {
	return j.Priority == Urgent || !s.overloaded && !s.draining
}

// requiredTokens returns how many tokens a job needs to start. A job that costs more than Burst starts when the
// bucket is full, and leaves a debt.
func (s *Scheduler) requiredTokens(j *job) time.Duration {
	return min(j.expectedCost, s.config.Burst)
}

// StartDue returns the jobs that start now, in order of rank. The caller must report the end of each run with
// OnRunEnded.
func (s *Scheduler) StartDue(now time.Duration) []ID {
	s.refill(now)
	running := s.checkRunning(now)
	var started []ID
	for _, id := range s.dueByRank(now) {
		j := s.jobs[id]
		// A job that lacks tokens blocks those behind it, so that they don't spend the tokens that it waits for.
		if running >= s.config.MaxRunning || s.cpuTokens < s.requiredTokens(j) {
			break
		}
		running++
		s.cpuTokens -= j.expectedCost
		j.reservedCost = j.expectedCost
		j.running, j.exceeded, j.startedAt = true, false, now
		started = append(started, id)
	}
	return started
}

// checkRunning logs runs that have just exceeded their MaxDuration, and returns the number of other runs.
func (s *Scheduler) checkRunning(now time.Duration) int {
	running := 0
	for _, j := range s.jobs {
		if !j.running || j.exceeded {
			continue
		}
		if now-j.startedAt <= j.MaxDuration {
			running++
			continue
		}
		j.exceeded = true
		s.logf("%s has run for %v, longer than its limit of %v; it is not cancelled, and does not start again before it ends",
			j.Name, (now - j.startedAt).Round(time.Millisecond), j.MaxDuration)
	}
	return running
}

// dueByRank returns the due jobs in the order in which they start, and logs those that have become overdue.
func (s *Scheduler) dueByRank(now time.Duration) []ID {
	var due []ID
	for id, j := range s.jobs {
		if j.running || !s.mayStart(j) {
			continue
		}
		if now >= j.dueAt {
			due = append(due, id)
		}
		if !j.overdue && now-j.dueAt > overdueIntervals*j.Interval {
			j.overdue = true
			s.logf("%s is overdue by %v: background jobs are limited to %.0f%% of a core",
				j.Name, (now - j.dueAt).Round(time.Millisecond), 100*s.config.Cores)
		}
	}
	slices.SortFunc(due, func(a, b ID) int {
		return cmp.Or(cmp.Compare(s.jobs[a].rank(now), s.jobs[b].rank(now)), cmp.Compare(a, b))
	})
	return due
}

// OnRunEnded records the end of a run, the CPU time that it used and whether it failed. A second call for the same
// run is ignored.
func (s *Scheduler) OnRunEnded(now time.Duration, id ID, used time.Duration, failed bool) {
	s.refill(now)
	j := s.jobs[id]
	if j == nil || !j.running {
		return
	}
	used = max(0, used)
	s.cpuTokens += j.reservedCost - used
	j.learnCost(used)
	j.finish(now, failed, s.random())
}

// NextStart returns the time of the next event that StartDue handles, or 0 if there is none before a run ends or the
// scheduler is changed.
func (s *Scheduler) NextStart(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, j := range s.jobs {
		at, known := s.nextEvent(j)
		if !known {
			continue
		}
		at = max(at, now+time.Millisecond)
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}

// nextEvent returns when a job exceeds its MaxDuration or may start; false if time alone leads to neither.
func (s *Scheduler) nextEvent(j *job) (time.Duration, bool) {
	if j.running {
		return j.startedAt + j.MaxDuration + time.Millisecond, !j.exceeded
	}
	if !s.mayStart(j) {
		return 0, false
	}
	missing := s.requiredTokens(j) - s.cpuTokens
	if missing <= 0 {
		return j.dueAt, true
	}
	paidAt := s.refilledAt + time.Duration(float64(missing)/s.config.Cores) + 1
	return max(j.dueAt, paidAt), true
}

func (s *Scheduler) logf(format string, args ...any) {
	s.logLines = append(s.logLines, fmt.Sprintf(format, args...))
}

// TakeLogLines returns and clears the log lines collected since the last call.
func (s *Scheduler) TakeLogLines() []string {
	lines := s.logLines
	s.logLines = nil
	return lines
}
