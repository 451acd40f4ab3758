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
	// ClockStart is the initial reading of the engine's clock. It is above 0 so that backends that started before this
	// process have positive start times: 0 means long ago.
	ClockStart = time.Hour
	// MaxDeadlineMargin is the longest time before the client's deadline at which the engine answers by itself. A
	// call's margin is its timeout divided by deadlineMarginDivisor, up to this maximum. Attempts time out one more
	// margin earlier, so that the balancer is notified first. A fixed margin would use up most of a 40 ms timeout.
	MaxDeadlineMargin     = 15 * time.Millisecond
	deadlineMarginDivisor = 20
	// housekeepingInterval is how often carriers close expired connections.
	housekeepingInterval = time.Second
	eventBuffer          = 1024 // number of queued events above which Post blocks
)

// Config is the initial configuration of an engine.
type Config struct {
	Settings          balancer.Config
	Seed              uint64
	MaxOpenCalls      int // calls above this limit are rejected; 0 means no limit
	InitialMembership Membership
	Logf              func(format string, args ...any)
	OnFirstMembership func() // called once, after the first membership that is not a cached one; may be nil
}

// Carrier sends attempts to backends over one protocol. The engine's goroutine calls all methods; none may block.
type Carrier interface {
	// StartAttempt starts an attempt. It sets a.Stop, and later calls a.End once, on the engine's goroutine.
	StartAttempt(a *Attempt)
	// ReleaseIdle closes the idle connections to a backend.
	ReleaseIdle(b *Backend)
	// RemoveBackend drops all state of a backend that has left the membership.
	RemoveBackend(b *Backend)
	// CloseExpired closes idle connections that have exceeded their lifetime; now is on the engine's clock.
	CloseExpired(now time.Duration)
}

// HealthChecker sends health checks to backends. Only one of the carriers can.
type HealthChecker interface {
	// CheckHealth sends one health check. It calls end once, on the engine's goroutine.
	CheckHealth(b *Backend, until time.Time, end func(AttemptEnd))
}

// Source provides memberships. The engine's goroutine calls it; no method may block.
type Source interface {
	// Watch starts or stops watching the membership.
	Watch(on bool)
	// Fetch requests the complete membership once.
	Fetch()
}

// Engine is the state of the goroutine that executes Run. Create it with New, set its carriers, its health checker and
// its source, then call Run.
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
	deferred          []func() // run after the current event, as methods of Host must not call the balancer
	timers            timerHeap
	lastTimer         uint64
	backends          backends
	snapshot          atomic.Pointer[SettingsSnapshot]
	classes           *stableindex.Table // indexes of classes, which stay the same when the settings change
	calls             map[balancer.RequestID]*Call
	recentIDs         *recentIDs // request IDs set by clients
	lastID            balancer.RequestID
	onFirstMembership func()
	writtenAttempts   atomic.Uint64 // attempts of which so much was written that they may run
	lease             *Lease        // on the settings in force; nil if they never expire
	leased            leasedSettings
}

// New creates an engine. For invalid settings it returns an error that names the field.
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
	// Every open call has arrived within the longest client timeout.
	e.recentIDs = newRecentIDs(longestClientTimeout(&settings) + time.Second)
	b, err := balancer.New(cfg.Settings, cfg.Seed, host{e})
	if err != nil {
		return nil, err
	}
	e.balancer = b
	return e, nil
}

// SetMaxOpenCalls changes how many calls may be open; 0 means no limit. Only on the engine's goroutine.
func (e *Engine) SetMaxOpenCalls(limit int) { e.cfg.MaxOpenCalls = limit }

// AddCarrier adds a carrier. Only before Run.
func (e *Engine) AddCarrier(c Carrier) { e.carriers = append(e.carriers, c) }

// SetHealthChecker sets the health checker. Only before Run.
func (e *Engine) SetHealthChecker(h HealthChecker) { e.healthChecker = h }

// SetSource sets the source of memberships. Only before Run.
func (e *Engine) SetSource(s Source) { e.source = s }

// SetObserver sets the observer, or none if o is nil. Only before Run.
func (e *Engine) SetObserver(o Observer) { e.observer = o }

// Now returns the time on the engine's clock. Any goroutine may call it.
func (e *Engine) Now() time.Duration { return ClockStart + time.Since(e.start) }

// WallTime converts d, a time on the engine's clock, to wall-clock time.
func (e *Engine) WallTime(d time.Duration) time.Time { return e.start.Add(d - ClockStart) }

// Post queues an event for the engine's goroutine, or drops it if the engine has stopped. It blocks while the queue is
// full, so only other goroutines may call it.
func (e *Engine) Post(event func()) {
	select {
	case e.events <- event:
	case <-e.stopped:
	}
}

// Defer queues an event to be run right after the current one. Only on the engine's goroutine.
func (e *Engine) Defer(event func()) { e.deferred = append(e.deferred, event) }

// DeferredCount returns how many deferred events have not run yet.
func (e *Engine) DeferredCount() int { return len(e.deferred) }

// WrittenAttempts returns of how many attempts so much has been written that they may run. Any goroutine may call it.
func (e *Engine) WrittenAttempts() uint64 { return e.writtenAttempts.Load() }

// BackendCount returns how many backends the membership has. Only on the engine's goroutine.
func (e *Engine) BackendCount() int { return len(e.backends.byID) }

// EjectedCount returns how many backends are currently ejected. Only on the engine's goroutine.
func (e *Engine) EjectedCount() int { return e.balancer.EjectedCount() }

// RetryStormState returns the state of the retry storm detection. Only on the engine's goroutine.
func (e *Engine) RetryStormState() retrystorm.State { return e.balancer.RetryStormState() }

// Done returns a channel that is closed when the engine has stopped.
func (e *Engine) Done() <-chan struct{} { return e.stopped }

// Start starts the balancer with the initial membership, and watches the membership unless the settings poll it.
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

// Run processes events and timers until ctx is done.
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

// Dispatch runs an event, and then the events that it defers. Run calls it; so do tests that drive an engine without
// Run, which receive posted events from Events.
func (e *Engine) Dispatch(event func()) {
	e.runRecovered(event)
	for len(e.deferred) > 0 {
		event, e.deferred = e.deferred[0], e.deferred[1:]
		e.runRecovered(event)
	}
}

// Events returns the queue of posted events, for tests that drive an engine without Run.
func (e *Engine) Events() <-chan func() { return e.events }

// runRecovered runs an event and logs a panic in it, which would otherwise end the process and with it all open calls.
// The deadline timer answers the call concerned.
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
