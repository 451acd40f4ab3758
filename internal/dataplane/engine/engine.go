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
	// Backstop is by how much at most the engine's own answer comes before the client's
	// time runs out: a call's own margin is a backstopShare of its time, up to this. An
	// attempt ends as long before that, so that the module hears of it first. Danger: a
	// fixed margin takes most of the time of a client that waits for 40 ms.
	Backstop      = 15 * time.Millisecond
	backstopShare = 20
	// housekeeping is how often carriers are told to retire what is old.
	housekeeping = time.Second
	eventBuffer  = 1024
)

// Config is what an engine is told at its start.
type Config struct {
	Settings balancer.Config
	Seed     uint64
	MaxOpen  int // open calls; one more is refused; 0 is no limit
	Known    List
	Logf     func(format string, args ...any)
	Listed   func() // called once, when the first list that is no old one has come; may be nil
}

// Carrier takes attempts to backends over one protocol. The engine's goroutine calls
// all methods; none may block.
type Carrier interface {
	// Begin starts an attempt. It sets a.Stop, and later, once, calls a.End on the
	// engine's goroutine.
	Begin(a *Attempt)
	// Release gives back what is kept for a backend without need: idle connections.
	Release(b *Backend)
	// Forget drops all that is kept for a backend that has left the list.
	Forget(b *Backend)
	// Retire closes what has grown old.
	Retire(now time.Duration)
}

// Prober asks a backend for its health: the one carrier that can.
type Prober interface {
	// Probe asks once. end is called once, on the engine's goroutine.
	Probe(b *Backend, until time.Time, end func(End))
}

// Source is where lists come from. The engine's goroutine calls it; nothing may block.
type Source interface {
	Watch(on bool) // follow the list from here on, or cease to
	Fetch()        // ask for the whole list once
}

// Engine is the one goroutine's state. Make it with New, give it its carriers, its
// prober and its source, then run it.
type Engine struct {
	cfg       Config
	start     time.Time
	balancer  *balancer.Balancer
	carriers  []Carrier
	prober    Prober
	source    Source
	observer  Observer
	events    chan func()
	stopped   chan struct{}
	later     []func() // what the current event causes: Host calls never call back
	timers    timerHeap
	lastTimer uint64
	backends  backends
	book      atomic.Pointer[Book]
	classes   *stableindex.Table // numbers of classes, which they keep while the settings change
	calls     map[balancer.RequestID]*Call
	asked     *recent // clients' names of calls
	lastID    balancer.RequestID
	listed    func()
	written   atomic.Uint64 // attempts, whole
	lease     *Lease        // on the settings in force; nil: they hold without one
	rules     rules
}

// New makes an engine. Settings that make no sense give an error that names them.
func New(cfg Config) (*Engine, error) {
	e := &Engine{
		cfg: cfg, start: time.Now(), events: make(chan func(), eventBuffer), stopped: make(chan struct{}),
		calls: map[balancer.RequestID]*Call{}, listed: cfg.Listed, backends: newBackends(),
	}
	settings := cfg.Settings
	names := make([]string, len(settings.Classes))
	for i, c := range settings.Classes {
		names[i] = c.Name
	}
	e.classes = stableindex.New(max(mostClasses, 2*len(names)))
	if _, _, err := e.classes.Assign(0, names, nil); err != nil {
		return nil, fmt.Errorf("field Services: %w", err)
	}
	e.write(&settings)
	// What is open has come within the longest wait.
	e.asked = newRecent(longestGiveUp(&settings) + time.Second)
	var err error
	e.balancer, err = balancer.New(cfg.Settings, cfg.Seed, host{e})
	return e, err
}

// SetMaxOpen puts another bound on open calls in force; 0 is none. Only on the engine's goroutine.
func (e *Engine) SetMaxOpen(most int) { e.cfg.MaxOpen = most }

// Carry adds a carrier. Only before Run.
func (e *Engine) Carry(c Carrier) { e.carriers = append(e.carriers, c) }

// ProbeWith sets who asks backends for their health. Only before Run.
func (e *Engine) ProbeWith(p Prober) { e.prober = p }

// Follow sets where lists come from. Only before Run.
func (e *Engine) Follow(s Source) { e.source = s }

// Observe sets who sees what happens; nil is nobody. Only before Run.
func (e *Engine) Observe(o Observer) { e.observer = o }

// Now is the time on the engine's clock. Any goroutine may call it.
func (e *Engine) Now() time.Duration { return ClockStart + time.Since(e.start) }

// Wall is the time of day at which the engine's clock shows d.
func (e *Engine) Wall(d time.Duration) time.Time { return e.start.Add(d - ClockStart) }

// Post hands the engine's goroutine an event. It gives up when the engine has ended.
// Any other goroutine may call it; it may wait where the engine is behind.
func (e *Engine) Post(event func()) {
	select {
	case e.events <- event:
	case <-e.stopped:
	}
}

// Later hands on an event that the current one causes. Only on the engine's goroutine.
func (e *Engine) Later(event func()) { e.later = append(e.later, event) }

// Caused is how many events that others caused are still to be carried out.
func (e *Engine) Caused() int { return len(e.later) }

// Written is how many attempts have been written whole. Any goroutine may call it.
func (e *Engine) Written() uint64 { return e.written.Load() }

// Listed is how many backends the list has, and Avoided how many of them get nothing but
// tries for now. Only on the engine's goroutine.
func (e *Engine) Listed() int { return len(e.backends.byID) }

// Avoided is described with Listed.
func (e *Engine) Avoided() int { return e.balancer.EjectedCount() }

// Storm is how things stand with retry storms. Only on the engine's goroutine.
func (e *Engine) Storm() retrystorm.State { return e.balancer.RetryStormState() }

// Done is closed when the engine has ended.
func (e *Engine) Done() <-chan struct{} { return e.stopped }

// Begin starts the module with the known list and the watch of the list.
func (e *Engine) Begin() {
	e.balancer.Start(e.Now())
	known := e.cfg.Known
	known.Kind = balancer.MembershipCached
	e.List(known)
	if !e.Settings().PollMembership && e.source != nil {
		e.source.Watch(true)
	}
	e.housekeep()
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	e.Do(e.Begin)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := e.Now()
		for len(e.timers) > 0 && e.timers[0].at <= now {
			e.Do(heap.Pop(&e.timers).(*Timer).event)
		}
		wait := time.Hour
		if len(e.timers) > 0 {
			wait = e.timers[0].at - e.Now()
		}
		wake.Reset(wait)
		select {
		case event := <-e.events:
			e.Do(event)
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

// Do carries an event out, and then what it causes. Run does so by itself; a test that
// moves an engine by hand, without Run, calls it and takes what was posted from Events.
func (e *Engine) Do(event func()) {
	e.guard(event)
	for len(e.later) > 0 {
		event, e.later = e.later[0], e.later[1:]
		e.guard(event)
	}
}

// Events are what was posted, for who moves an engine by hand.
func (e *Engine) Events() <-chan func() { return e.events }

// guard keeps one bad event from ending the process, and with it all calls in hand.
// The one concerned is left to its backstop.
func (e *Engine) guard(event func()) {
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
		c.Retire(now)
	}
	e.At(now+housekeeping, e.housekeep)
}
