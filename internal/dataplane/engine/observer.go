package engine

import (
	"slices"
	"time"

	"marlreel/internal/balancer"
)

// Observer is notified of the engine's events, for metrics, captures and traces. The engine's goroutine calls it. It
// must not block, allocate on the path of a call, or call the engine. It may read its arguments only until it returns.
// Times are on the engine's clock.
type Observer interface {
	OnCallAccepted(now time.Duration, c *Call)
	OnAttemptStarted(now time.Duration, a *Attempt)
	OnAttemptEnded(now time.Duration, a *Attempt, end AttemptEnd)
	OnAnswered(now time.Duration, c *Call, a Answer)
	// OnStreamEnded reports the end of a streaming answer: it was sent to the client completely, or broke off.
	OnStreamEnded(now time.Duration, c *Call, complete bool)
	// OnClientGone reports that a call's client has disconnected before its answer.
	OnClientGone(now time.Duration, c *Call)
	OnMembership(now time.Duration, m *Membership)
	OnHealthCheck(now time.Duration, b *Backend, r balancer.Result, took time.Duration)
}

// Observers notifies several observers, in order.
type Observers []Observer

var _ Observer = Observers(nil)

// Join combines the observers that are not nil into one; it returns nil if there are none.
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
func (s Observers) OnMembership(now time.Duration, m *Membership) {
	for _, o := range s {
		o.OnMembership(now, m)
	}
}

// OnHealthCheck implements Observer.
func (s Observers) OnHealthCheck(now time.Duration, b *Backend, r balancer.Result, took time.Duration) {
	for _, o := range s {
		o.OnHealthCheck(now, b, r, took)
	}
}
