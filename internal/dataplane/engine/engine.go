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
	// MaxDeadlineMargin is by how much at most the engine's own answer comes before the client's deadline: a call's
	// margin is its time divided by deadlineMarginDivisor, up to this. An attempt ends as long before that, so that
	// the balancer hears of it first. A fixed margin would take most of the time of a client that waits for 40 ms.
	MaxDeadlineMargin     = 15 * time.Millisecond
	deadlineMarginDivisor = 20
	// housekeepingInterval is how often carriers close what has expired.
	housekeepingInterval = time.Second
	eventBuffer          = 1024 // posted events that wait before Post blocks
)

// Config is what an engine starts with.
type Config struct {
	Settings          balancer.Config
	Seed              uint64
	MaxOpenCalls      int // one more is rejected; 0 is no limit
	InitialMembership Membership
	Logf              func(format string, args ...any)
	OnFirstMembership func() // called once, when the first membership that is no cached one has come; may be nil
}

// Carrier takes attempts to backends over one protocol. The engine's goroutine calls
// all methods; none may block.
type Carrier interface {
	// StartAttempt starts an attempt. It sets a.Stop, and later, once, calls a.End on the
	// engine's goroutine.
	StartAttempt(a *Attempt)
	// ReleaseIdle closes the idle connections to a backend.
	ReleaseIdle(b *Backend)
	// RemoveBackend drops all that is kept for a backend that has left the membership.
	RemoveBackend(b *Backend)
	// CloseExpired closes idle connections that have outlived their time; now is on the engine's clock.
	CloseExpired(now time.Duration)
}

// HealthChecker asks a backend for its health: the one carrier that can.
type HealthChecker interface {
	// CheckHealth asks once. end is called once, on the engine's goroutine.
	CheckHealth(b *Backend, until time.Time, end func(AttemptEnd))
}

// Source is where memberships come from. The engine's goroutine calls it; no method may block.
type Source interface {
	// Watch starts to follow the membership, or stops.
	Watch(on bool)
	// Fetch asks for the complete membership once.
	Fetch()
}

// Engine is the state of the one goroutine that Run is. Make it with New, give it its carriers, its health checker and
// its source, then run it.
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
	recentNames       *recentNames // request IDs that clients gave
	lastID            balancer.RequestID
	onFirstMembership func()
	writtenAttempts   atomic.Uint64 // attempts written completely
	lease             *Lease        // on the settings in force; nil: they hold without one
	leased            leasedSettings
}

// New makes an engine. Invalid settings give an error that names the field.
func New(cfg Config) (*Engine, error) {
	e := &Engine{
		cfg: cfg, start: time.Now(), events: make(chan func(), eventBuffer), stopped: make(chan struct{}),
		calls: map[balancer.RequestID]*Call{}, onFirstMembership: cfg.OnFirstMembership, backends: newBackends(),
	}
	settings := cfg.Settings
	names := classNames(settings.Classes)
	e.classes = stableindex.New(max(maxClasses, 2*len(names)))
	if _, _, err := e.classes.Assign(0, names, nil); err != nil {
		return nil, fmt.Errorf("field Services: %w", err)
	}
	e.publishSettings(&settings)
	// Whatever is open has come within the longest timeout of a client.
	e.recentNames = newRecentNames(longestClientTimeout(&settings) + time.Second)
	b, err := balancer.New(cfg.Settings, cfg.Seed, host{e})
	if err != nil {
		return nil, err
	}
	e.balancer = b
	return e, nil
}

// SetMaxOpenCalls changes how many calls may be open; 0 is no limit. Only on the engine's goroutine.
func (e *Engine) SetMaxOpenCalls(limit int) { e.cfg.MaxOpenCalls = limit }

// AddCarrier adds a carrier. Only before Run.
func (e *Engine) AddCarrier(c Carrier) { e.carriers = append(e.carriers, c) }

// SetHealthChecker sets who carries health checks out. Only before Run.
func (e *Engine) SetHealthChecker(p HealthChecker) { e.healthChecker = p }

// SetSource sets where memberships come from. Only before Run.
func (e *Engine) SetSource(s Source) { e.source = s }

// SetObserver sets the observer; nil is none. Only before Run.
func (e *Engine) SetObserver(o Observer) { e.observer = o }

// Now is the time on the engine's clock. Any goroutine may call it.
func (e *Engine) Now() time.Duration { return ClockStart + time.Since(e.start) }

// WallTime is the time of day at which the engine's clock shows d.
func (e *Engine) WallTime(d time.Duration) time.Time { return e.start.Add(d - ClockStart) }

// Post hands the engine's goroutine an event, and drops it when the engine has ended. Any other goroutine may call it;
// it blocks while the engine's queue of events is full.
func (e *Engine) Post(event func()) {
	select {
	case e.events <- event:
	case <-e.stopped:
	}
}

// Defer queues an event that the current one causes, to be run right after it. Only on the engine's goroutine.
func (e *Engine) Defer(event func()) { e.deferred = append(e.deferred, event) }

// DeferredCount is how many deferred events have not run yet.
func (e *Engine) DeferredCount() int { return len(e.deferred) }

// WrittenAttempts is how many attempts have been written completely. Any goroutine may call it.
func (e *Engine) WrittenAttempts() uint64 { return e.writtenAttempts.Load() }

// BackendCount is how many backends the membership has. Only on the engine's goroutine.
func (e *Engine) BackendCount() int { return len(e.backends.byID) }

// EjectedCount is how many backends are ejected for now. Only on the engine's goroutine.
func (e *Engine) EjectedCount() int { return e.balancer.EjectedCount() }

// RetryStormState is the state of the detection of retry storms. Only on the engine's goroutine.
func (e *Engine) RetryStormState() retrystorm.State { return e.balancer.RetryStormState() }

// Done is closed when the engine has ended.
func (e *Engine) Done() <-chan struct{} { return e.stopped }

// Start starts the balancer with the initial membership and the watch of the membership.
func (e *Engine) Start() {
	e.balancer.Start(e.Now())
	initial := e.cfg.InitialMembership
	initial.Kind = balancer.MembershipCached
	e.ApplyMembership(initial)
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

// Dispatch runs an event, and then the events that it defers. Run does so by itself; a test that drives an engine by
// hand, without Run, calls it and takes what was posted from Events.
func (e *Engine) Dispatch(event func()) {
	e.runRecovered(event)
	for len(e.deferred) > 0 {
		event, e.deferred = e.deferred[0], e.deferred[1:]
		e.runRecovered(event)
	}
}

// Events are the posted events, for a test that drives an engine by hand.
func (e *Engine) Events() <-chan func() { return e.events }

// runRecovered keeps a panic in one event from ending the process, and with it all open calls. The call concerned is
// left to its deadline timer.
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
