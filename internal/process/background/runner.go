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

	mu    sync.Mutex
	s     *Scheduler
	began time.Time
	does  map[ID]func(context.Context) error
	stops map[ID]context.CancelFunc
	wake  chan struct{}
	runs  sync.WaitGroup
}

// NewRunner makes one.
func NewRunner(cfg Config, logf func(format string, args ...any)) *Runner {
	return &Runner{
		logf: logf, s: New(cfg, 0, rand.Float64), began: time.Now(), does: map[ID]func(context.Context) error{},
		stops: map[ID]context.CancelFunc{}, wake: make(chan struct{}, 1),
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.began) }

// do changes the scheduler, and has it looked at.
func (r *Runner) do(how func()) {
	r.mu.Lock()
	how()
	lines := r.s.Lines()
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
	r.do(func() { r.does[r.s.Add(r.now(), spec)] = what })
}

// Busy says whether there is more to serve than can be.
func (r *Runner) Busy(on bool) { r.do(func() { r.s.Busy(on) }) }

// Drain begins a stop: what is not Soon is called off, and does not begin again.
func (r *Runner) Drain() {
	r.do(func() {
		for _, id := range r.s.Drain() {
			r.stops[id]()
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
		for _, id := range r.s.Start(now) {
			r.begin(ctx, id)
		}
		next = r.s.Next(now)
		lines := r.s.Lines()
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
	go func() { defer close(ended); r.runs.Wait() }()
	select {
	case <-ended:
	case <-time.After(patience):
		r.logf("background: a job does not end")
	}
}

// begin starts a run. Under the lock.
func (r *Runner) begin(ctx context.Context, id ID) {
	ctx, stop := context.WithCancel(ctx)
	r.stops[id] = stop
	what, name := r.does[id], r.s.jobs[id].Name
	r.runs.Go(func() {
		defer stop()
		used, err := measured(ctx, what)
		if err != nil && ctx.Err() == nil {
			r.logf("background: %s: %v", name, err)
		}
		r.do(func() { r.s.End(r.now(), id, used, err != nil && ctx.Err() == nil) })
	})
}

// measured runs a job and gives what it took of a core. A panic is its error.
func measured(ctx context.Context, what func(context.Context) error) (used time.Duration, err error) {
	done := threadTime()
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("it panicked: %v", p)
		}
		used = done()
	}()
	return 0, what(ctx)
}
