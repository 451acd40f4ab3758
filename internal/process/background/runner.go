package background

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Func is the work of a job. It must return when its context ends.
type Func func(context.Context) error

// Runner runs jobs in the order that a Scheduler decides. It is safe for concurrent use.
type Runner struct {
	logf      func(format string, args ...any)
	startedAt time.Time
	wake      chan struct{} // signals Run to check the scheduler again
	running   sync.WaitGroup

	mu        sync.Mutex
	scheduler *Scheduler
	functions map[ID]Func
	cancels   map[ID]context.CancelFunc // cancels the last run of each job
}

// NewRunner creates a runner; the caller must call Run. logf may be called from any goroutine.
func NewRunner(cfg Config, logf func(format string, args ...any)) *Runner {
	return &Runner{
		logf: logf, startedAt: time.Now(), wake: make(chan struct{}, 1),
		scheduler: New(cfg, 0, rand.Float64), functions: map[ID]Func{}, cancels: map[ID]context.CancelFunc{},
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// update changes the scheduler under the lock, writes its log lines and wakes Run.
func (r *Runner) update(change func()) {
	r.locked(change)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// locked calls a function under the lock, then writes the scheduler's log lines.
func (r *Runner) locked(do func()) {
	r.mu.Lock()
	do()
	lines := r.scheduler.TakeLogLines()
	r.mu.Unlock()
	for _, line := range lines {
		r.logf("background: %s", line)
	}
}

// Add adds a job.
func (r *Runner) Add(spec Spec, function Func) {
	r.update(func() { r.functions[r.scheduler.Add(r.now(), spec)] = function })
}

// SetOverloaded sets whether requests are being shed. During overload only Urgent jobs start.
func (r *Runner) SetOverloaded(on bool) { r.update(func() { r.scheduler.SetOverloaded(on) }) }

// Drain cancels the runs of jobs that are not Urgent and keeps these jobs from starting again.
func (r *Runner) Drain() {
	r.update(func() {
		for _, id := range r.scheduler.Drain() {
			r.cancels[id]()
		}
	})
}

// Run runs jobs until ctx ends. It then waits up to gracePeriod for running jobs, whose contexts end with ctx.
func (r *Runner) Run(ctx context.Context, gracePeriod time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(r.startDue(ctx))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
	}
	ended := make(chan struct{})
	go func() { // ends when the last run returns, possibly after gracePeriod
		defer close(ended)
		r.running.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		r.logf("background: jobs are still running after the grace period")
	}
}

// startDue starts the jobs that are due, and returns the time until the next one may start.
func (r *Runner) startDue(ctx context.Context) time.Duration {
	wait := time.Hour
	r.locked(func() {
		now := r.now()
		for _, id := range r.scheduler.StartDue(now) {
			r.start(ctx, id)
		}
		next := r.scheduler.NextStart(now)
		if next != 0 {
			wait = next - now
		}
	})
	return wait
}

// start starts a run. The caller holds the lock.
func (r *Runner) start(ctx context.Context, id ID) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels[id] = cancel
	function, name := r.functions[id], r.scheduler.jobs[id].Name
	r.running.Go(func() {
		defer cancel()
		used, err := runMeasured(ctx, function)
		failed := err != nil && ctx.Err() == nil
		if failed {
			r.logf("background: %s: %v", name, err)
		}
		r.update(func() { r.scheduler.OnRunEnded(r.now(), id, used, failed) })
	})
}

// runMeasured runs a job and returns the CPU time that it used. A panic is returned as an error.
func runMeasured(ctx context.Context, function Func) (used time.Duration, err error) {
	stopTimer := startThreadTimer()
	defer func() {
		recovered := recover()
		if recovered != nil {
			err = fmt.Errorf("panic: %v", recovered)
		}
		used = stopTimer()
	}()
	return 0, function(ctx)
}
