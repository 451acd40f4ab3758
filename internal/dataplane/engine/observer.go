package engine

import (
	"slices"
	"time"

	"marlreel/internal/balancer"
)

// Observer sees what happens: metrics, captures and the table of open calls hang on
// it. The engine's goroutine calls it. It must not block, must not allocate on the
// path of a call, and must not call the engine back; what it is given it may read
// only until it returns.
type Observer interface {
	Taken(now time.Duration, c *Call)
	Sent(now time.Duration, a *Attempt)
	Ended(now time.Duration, a *Attempt, end End)
	Answered(now time.Duration, c *Call, a Answer)
	// Streamed is the end of an answer that Answered called a stream: the whole of it
	// has gone to the client, or it broke off.
	Streamed(now time.Duration, c *Call, whole bool)
	Left(now time.Duration, c *Call) // its client went away unanswered
	Listed(now time.Duration, l *List)
	Probed(now time.Duration, b *Backend, r balancer.Result, took time.Duration)
}

// Observers are several as one.
type Observers []Observer

// Join makes one observer of those that are not nil; nil where none is left.
func Join(all ...Observer) Observer {
	all = slices.DeleteFunc(all, func(o Observer) bool { return o == nil })
	switch len(all) {
	case 0:
		return nil
	case 1:
		return all[0]
	}
	return Observers(all)
}

// Taken implements Observer.
func (s Observers) Taken(now time.Duration, c *Call) {
	for _, o := range s {
		o.Taken(now, c)
	}
}

// Sent implements Observer.
func (s Observers) Sent(now time.Duration, a *Attempt) {
	for _, o := range s {
		o.Sent(now, a)
	}
}

// Ended implements Observer.
func (s Observers) Ended(now time.Duration, a *Attempt, end End) {
	for _, o := range s {
		o.Ended(now, a, end)
	}
}

// Answered implements Observer.
func (s Observers) Answered(now time.Duration, c *Call, a Answer) {
	for _, o := range s {
		o.Answered(now, c, a)
	}
}

// Streamed implements Observer.
func (s Observers) Streamed(now time.Duration, c *Call, whole bool) {
	for _, o := range s {
		o.Streamed(now, c, whole)
	}
}

// Left implements Observer.
func (s Observers) Left(now time.Duration, c *Call) {
	for _, o := range s {
		o.Left(now, c)
	}
}

// Listed implements Observer.
func (s Observers) Listed(now time.Duration, l *List) {
	for _, o := range s {
		o.Listed(now, l)
	}
}

// Probed implements Observer.
func (s Observers) Probed(now time.Duration, b *Backend, r balancer.Result, took time.Duration) {
	for _, o := range s {
		o.Probed(now, b, r, took)
	}
}
