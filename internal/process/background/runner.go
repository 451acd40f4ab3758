package background

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Runner runs jobs as a Scheduler says.
type Runner struct {
	logf func(format string, args ...any)

	mu        sync.Mutex
	scheduler *Scheduler
	startedAt time.Time
	functions map[ID]func(context.Context) error
	cancels   map[ID]context.CancelFunc
	wake      chan struct{}
	running   sync.WaitGroup
}

// NewRunner makes one.
func NewRunner(cfg Config, logf func(format string, args ...any)) *Runner {
	return &Runner{
		logf: logf, scheduler: New(cfg, 0, rand.Float64), startedAt: time.Now(), functions: map[ID]func(context.Context) error{},
		cancels: map[ID]context.CancelFunc{}, wake: make(chan struct{}, 1),
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// update changes the scheduler, and has it looked at.
func (r *Runner) update(how func()) {
	r.mu.Lock()
	how()
	lines := r.scheduler.TakeLogLines()
	r.mu.Unlock()
	for _, l := range lines {
		r.logf("background: %s", l)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Add takes a job in. What it does has to end when its context does.
func (r *Runner) Add(spec Spec, what func(context.Context) error) {
	r.update(func() { r.functions[r.scheduler.Add(r.now(), spec)] = what })
}

// SetOverloaded says whether there is more to serve than can be.
func (r *Runner) SetOverloaded(on bool) { r.update(func() { r.scheduler.SetOverloaded(on) }) }

// Drain begins a stop: what is not Soon is called off, and does not begin again.
func (r *Runner) Drain() {
	r.update(func() {
		for _, id := range r.scheduler.Drain() {
			r.cancels[id]()
		}
	})
}

// Run runs jobs until ctx ends, then calls off those that run, and waits for those that heed it, for a while.
func (r *Runner) Run(ctx context.Context, patience time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		var next time.Duration
		r.mu.Lock()
		now := r.now()
		for _, id := range r.scheduler.StartDue(now) {
			r.start(ctx, id)
		}
		next = r.scheduler.NextStart(now)
		lines := r.scheduler.TakeLogLines()
		r.mu.Unlock()
		for _, l := range lines {
			r.logf("background: %s", l)
		}
		if next == 0 {
			next = now + time.Hour
		}
		timer.Reset(next - now)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
	}
	ended := make(chan struct{})
	go func() { defer close(ended); r.running.Wait() }()
	select {
	case <-ended:
	case <-time.After(patience):
		r.logf("background: a job does not end")
	}
}

// start starts a run. Under the lock.
func (r *Runner) start(ctx context.Context, id ID) {
	ctx, stop := context.WithCancel(ctx)
	r.cancels[id] = stop
	what, name := r.functions[id], r.scheduler.jobs[id].Name
	r.running.Go(func() {
		defer stop()
		used, err := runMeasured(ctx, what)
		if err != nil && ctx.Err() == nil {
			r.logf("background: %s: %v", name, err)
		}
		r.update(func() { r.scheduler.OnRunEnded(r.now(), id, used, err != nil && ctx.Err() == nil) })
	})
}

// runMeasured runs a job and gives what it took of a core. A panic is its error.
func runMeasured(ctx context.Context, what func(context.Context) error) (used time.Duration, err error) {
	done := startThreadTimer()
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("it panicked: %v", p)
		}
		used = done()
	}()
	return 0, what(ctx)
}
