// Package engine runs the decision module: it owns the Balancer, the table of open
// calls, the attempts, the backends and the timers, all on one goroutine. It carries
// decisions out and takes none, and it knows no wire protocol: requests come from
// fronts as Calls with an opaque payload, and go out through Carriers.
//
// What each part promises the others:
//
//   - A front hands a Call over with Take and gets exactly one Answer for it, before
//     the call's deadline. It may withdraw the call with Gone.
//   - A Carrier is asked to begin an attempt, and ends it exactly once with what
//     happened. It takes the attempt's Permit before the first byte that a backend
//     could act on; from the moment at which the engine has revoked that permit,
//     nothing of the attempt may be written.
//   - A Source tells whole lists and changes. Backends are reconciled in place.
//   - An Observer sees all of it, from the engine's goroutine.
//
// Everything that carriers, fronts and sources do to the engine they do on its
// goroutine, which they reach with Post. Methods say where they may be called.
package engine

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/balancer/stableindex"
)

const (
	// ClockStart is where the engine's clock starts, so that starts of backends from
	// before this process's own stay above 0, which means long ago.
	ClockStart = time.Hour
	// MaxDeadlineMargin is by how much at most the engine's own answer comes before the client's
	// time runs out: a call's own margin is a backstopShare of its time, up to this. An
	// attempt ends as long before that, so that the module hears of it first. Danger: a
	// fixed margin takes most of the time of a client that waits for 40 ms.
	MaxDeadlineMargin     = 15 * time.Millisecond
	deadlineMarginDivisor = 20
	// housekeepingInterval is how often carriers are told to retire what is old.
	housekeepingInterval = time.Second
	eventBuffer          = 1024
)

// Config is what an engine is told at its start.
type Config struct {
	Settings          balancer.Config
	Seed              uint64
	MaxOpenCalls      int // open calls; one more is refused; 0 is no limit
	InitialMembership Membership
	Logf              func(format string, args ...any)
	OnFirstMembership func() // called once, when the first list that is no old one has come; may be nil
}

// Carrier takes attempts to backends over one protocol. The engine's goroutine calls
// all methods; none may block.
type Carrier interface {
	// StartAttempt starts an attempt. It sets a.Stop, and later, once, calls a.End on the
	// engine's goroutine.
	StartAttempt(a *Attempt)
	// ReleaseIdle gives back what is kept for a backend without need: idle connections.
	ReleaseIdle(b *Backend)
	// RemoveBackend drops all that is kept for a backend that has left the list.
	RemoveBackend(b *Backend)
	// CloseExpired closes what has grown old.
	CloseExpired(now time.Duration)
}

// HealthChecker asks a backend for its health: the one carrier that can.
type HealthChecker interface {
	// CheckHealth asks once. end is called once, on the engine's goroutine.
	CheckHealth(b *Backend, until time.Time, end func(AttemptEnd))
}

// Source is where lists come from. The engine's goroutine calls it; nothing may block.
type Source interface {
	Watch(on bool) // follow the list from here on, or cease to
	Fetch()        // ask for the whole list once
}

// Engine is the one goroutine's state. Make it with New, give it its carriers, its
// prober and its source, then run it.
type Engine struct {
	cfg               Config
	start             time.Time
	balancer          *balancer.Balancer
	carriers          []Carrier
	healthChecker     HealthChecker
	source            Source
	observer          Observer
	events            chan func()
	stopped           chan struct{}
	deferred          []func() // what the current event causes: Host calls never call back
	timers            timerHeap
	lastTimer         uint64
	backends          backends
	snapshot          atomic.Pointer[SettingsSnapshot]
	classes           *stableindex.Table // numbers of classes, which they keep while the settings change
	calls             map[balancer.RequestID]*Call
	recentNames       *recentNames // clients' names of calls
	lastID            balancer.RequestID
	onFirstMembership func()
	writtenAttempts   atomic.Uint64 // attempts, whole
	lease             *Lease        // on the settings in force; nil: they hold without one
	leased            leasedSettings
}

// New makes an engine. Settings that make no sense give an error that names them.
func New(cfg Config) (*Engine, error) {
	e := &Engine{
		cfg: cfg, start: time.Now(), events: make(chan func(), eventBuffer), stopped: make(chan struct{}),
		calls: map[balancer.RequestID]*Call{}, onFirstMembership: cfg.OnFirstMembership, backends: newBackends(),
	}
	settings := cfg.Settings
	names := make([]string, len(settings.Classes))
	for i, c := range settings.Classes {
		names[i] = c.Name
	}
	e.classes = stableindex.New(max(maxClasses, 2*len(names)))
	if _, _, err := e.classes.Assign(0, names, nil); err != nil {
		return nil, fmt.Errorf("field Services: %w", err)
	}
	e.publishSettings(&settings)
	// What is open has come within the longest wait.
	e.recentNames = newRecentNames(longestClientTimeout(&settings) + time.Second)
	var err error
	e.balancer, err = balancer.New(cfg.Settings, cfg.Seed, host{e})
	return e, err
}

// SetMaxOpenCalls puts another bound on open calls in force; 0 is none. Only on the engine's goroutine.
func (e *Engine) SetMaxOpenCalls(limit int) { e.cfg.MaxOpenCalls = limit }

// AddCarrier adds a carrier. Only before Run.
func (e *Engine) AddCarrier(c Carrier) { e.carriers = append(e.carriers, c) }

// SetHealthChecker sets who asks backends for their health. Only before Run.
func (e *Engine) SetHealthChecker(p HealthChecker) { e.healthChecker = p }

// SetSource sets where lists come from. Only before Run.
func (e *Engine) SetSource(s Source) { e.source = s }

// SetObserver sets who sees what happens; nil is nobody. Only before Run.
func (e *Engine) SetObserver(o Observer) { e.observer = o }

// Now is the time on the engine's clock. Any goroutine may call it.
func (e *Engine) Now() time.Duration { return ClockStart + time.Since(e.start) }

// WallTime is the time of day at which the engine's clock shows d.
func (e *Engine) WallTime(d time.Duration) time.Time { return e.start.Add(d - ClockStart) }

// Post hands the engine's goroutine an event. It gives up when the engine has ended.
// Any other goroutine may call it; it may wait where the engine is behind.
func (e *Engine) Post(event func()) {
	select {
	case e.events <- event:
	case <-e.stopped:
	}
}

// Defer hands on an event that the current one causes. Only on the engine's goroutine.
func (e *Engine) Defer(event func()) { e.deferred = append(e.deferred, event) }

// DeferredCount is how many events that others caused are still to be carried out.
func (e *Engine) DeferredCount() int { return len(e.deferred) }

// WrittenAttempts is how many attempts have been written whole. Any goroutine may call it.
func (e *Engine) WrittenAttempts() uint64 { return e.writtenAttempts.Load() }

// BackendCount is how many backends the list has, and Avoided how many of them get nothing but
// tries for now. Only on the engine's goroutine.
func (e *Engine) BackendCount() int { return len(e.backends.byID) }

// EjectedCount is described with Listed.
func (e *Engine) EjectedCount() int { return e.balancer.EjectedCount() }

// RetryStormState is how things stand with retry storms. Only on the engine's goroutine.
func (e *Engine) RetryStormState() retrystorm.State { return e.balancer.RetryStormState() }

// Done is closed when the engine has ended.
func (e *Engine) Done() <-chan struct{} { return e.stopped }

// Start starts the module with the known list and the watch of the list.
func (e *Engine) Start() {
	e.balancer.Start(e.Now())
	known := e.cfg.InitialMembership
	known.Kind = balancer.ListCached
	e.ApplyMembership(known)
	if !e.Settings().PollMembership && e.source != nil {
		e.source.Watch(true)
	}
	e.housekeep()
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	e.Dispatch(e.Start)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := e.Now()
		for len(e.timers) > 0 && e.timers[0].at <= now {
			e.Dispatch(heap.Pop(&e.timers).(*Timer).event)
		}
		wait := time.Hour
		if len(e.timers) > 0 {
			wait = e.timers[0].at - e.Now()
		}
		wake.Reset(wait)
		select {
		case event := <-e.events:
			e.Dispatch(event)
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

// Dispatch carries an event out, and then what it causes. Run does so by itself; a test that
// moves an engine by hand, without Run, calls it and takes what was posted from Events.
func (e *Engine) Dispatch(event func()) {
	e.runRecovered(event)
	for len(e.deferred) > 0 {
		event, e.deferred = e.deferred[0], e.deferred[1:]
		e.runRecovered(event)
	}
}

// Events are what was posted, for who moves an engine by hand.
func (e *Engine) Events() <-chan func() { return e.events }

// runRecovered keeps one bad event from ending the process, and with it all calls in hand.
// The one concerned is left to its backstop.
func (e *Engine) runRecovered(event func()) {
	defer func() {
		if p := recover(); p != nil {
			e.cfg.Logf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	event()
}

func (e *Engine) housekeep() {
	now := e.Now()
	for _, c := range e.carriers {
		c.CloseExpired(now)
	}
	e.Schedule(now+housekeepingInterval, e.housekeep)
}
