package engine

import (
	"slices"
	"time"

	"marlreel/internal/balancer"
)

// Observer is notified of what happens: metrics, captures and traces use it. The engine's goroutine calls it. It must
// not block, must not allocate on the path of a call, and must not call the engine back; what it is given it may read
// only until it returns. Times are on the engine's clock.
type Observer interface {
	OnCallAccepted(now time.Duration, c *Call)
	OnAttemptStarted(now time.Duration, a *Attempt)
	OnAttemptEnded(now time.Duration, a *Attempt, end AttemptEnd)
	OnAnswered(now time.Duration, c *Call, a Answer)
	// OnStreamEnded is the end of a streaming answer: all of it has gone to the client, or it broke off.
	OnStreamEnded(now time.Duration, c *Call, complete bool)
	// OnClientGone is that a call's client has disconnected before its answer.
	OnClientGone(now time.Duration, c *Call)
	OnMembership(now time.Duration, l *Membership)
	OnHealthCheck(now time.Duration, b *Backend, r balancer.Result, took time.Duration)
}

// Observers notify each of several, in order.
type Observers []Observer

var _ Observer = Observers(nil)

// Join makes one observer of those that are not nil; nil where there is none.
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

// OnCallAccepted implements Observer.
func (s Observers) OnCallAccepted(now time.Duration, c *Call) {
	for _, o := range s {
		o.OnCallAccepted(now, c)
	}
}

// OnAttemptStarted implements Observer.
func (s Observers) OnAttemptStarted(now time.Duration, a *Attempt) {
	for _, o := range s {
		o.OnAttemptStarted(now, a)
	}
}

// OnAttemptEnded implements Observer.
func (s Observers) OnAttemptEnded(now time.Duration, a *Attempt, end AttemptEnd) {
	for _, o := range s {
		o.OnAttemptEnded(now, a, end)
	}
}

// OnAnswered implements Observer.
func (s Observers) OnAnswered(now time.Duration, c *Call, a Answer) {
	for _, o := range s {
		o.OnAnswered(now, c, a)
	}
}

// OnStreamEnded implements Observer.
func (s Observers) OnStreamEnded(now time.Duration, c *Call, complete bool) {
	for _, o := range s {
		o.OnStreamEnded(now, c, complete)
	}
}

// OnClientGone implements Observer.
func (s Observers) OnClientGone(now time.Duration, c *Call) {
	for _, o := range s {
		o.OnClientGone(now, c)
	}
}

// OnMembership implements Observer.
func (s Observers) OnMembership(now time.Duration, l *Membership) {
	for _, o := range s {
		o.OnMembership(now, l)
	}
}

// OnHealthCheck implements Observer.
func (s Observers) OnHealthCheck(now time.Duration, b *Backend, r balancer.Result, took time.Duration) {
	for _, o := range s {
		o.OnHealthCheck(now, b, r, took)
	}
}
