package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// healthCheckConnectTimeouts is how many connect time-outs a probe may take.
const healthCheckConnectTimeouts = 1.25

// host implements balancer.Host. No method blocks or calls the module.
type host struct{ *Engine }

// Send starts an attempt.
func (e host) Send(id balancer.RequestID, to balancer.BackendID, until, before time.Duration) {
	c := e.calls[id]
	if c == nil {
		e.cfg.Logf("send for request %d, which is over", id)
		return
	}
	a := &Attempt{Call: c, Index: len(c.attempts), startedAt: e.Now(), engine: e.Engine}
	c.attempts = append(c.attempts, a)
	c.pendingAttempts++
	if latest := c.Deadline - 2*c.deadlineMargin; until == 0 || until > latest || c.Receiving {
		until = latest
	}
	a.Backend = e.backends.byID[to]
	unsent := balancer.OK
	switch {
	case e.lease != nil && !e.mayStart(c, a, until):
		unsent = balancer.NotSent
	case c.answered || until <= a.startedAt || a.Index >= e.Settings().Caps.MaxAttempts:
		unsent = balancer.NotSent
	case a.Backend == nil:
		unsent = balancer.ConnectFailed
	}
	if unsent != balancer.OK {
		if a.Backend == nil {
			a.Backend = &Backend{Backend: balancer.Backend{ID: to}}
		}
		a.Permit.Revoke()
		e.Defer(func() { a.End(AttemptEnd{Result: unsent}) })
		return
	}
	a.Deadline = e.WallTime(until)
	if before > 0 {
		a.Permit.writeDeadline = e.WallTime(before)
	}
	a.timeout = e.Schedule(until, a.expire)
	if e.observer != nil {
		e.observer.OnAttemptStarted(a.startedAt, a)
	}
	c.Carrier.StartAttempt(a)
}

// Reject answers that coming again is harmless.
func (e host) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if c := e.calls[id]; c != nil {
		e.answer(c, Answer{Verdict: Rejected, RetryAfter: retryAfter})
	}
}

// Fail answers without a promise.
func (e host) Fail(id balancer.RequestID) {
	if c := e.calls[id]; c != nil {
		e.answer(c, Answer{Verdict: Failed, Reply: c.declinedReply})
	}
}

// Cancel calls an attempt off.
func (e host) Cancel(id balancer.RequestID, n int) {
	c := e.calls[id]
	if c == nil || n < 0 || n >= len(c.attempts) || c.attempts[n].ended {
		return
	}
	a := c.attempts[n]
	if a.Permit.Revoke() {
		a.stop()
		e.Defer(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
		return
	}
	a.cancel(balancer.Cancelled)
}

// CheckHealth asks for a backend's health.
func (e host) CheckHealth(id balancer.BackendID) {
	b := e.backends.byID[id]
	sent := e.Now()
	end := func(r AttemptEnd) {
		now := e.Now()
		if e.observer != nil && b != nil {
			e.observer.OnHealthCheck(now, b, r.Result, now-sent)
		}
		e.balancer.OnHealthCheck(now, balancer.HealthCheckResult{Backend: id, Result: r.Result, Took: now - sent, Load: r.Load})
	}
	if b == nil || e.healthChecker == nil {
		e.Defer(func() { end(AttemptEnd{Result: balancer.NotSent}) })
		return
	}
	wait := time.Duration(healthCheckConnectTimeouts * float64(e.Settings().Caps.ConnectTimeout))
	e.healthChecker.CheckHealth(b, time.Now().Add(wait), end)
}

// Release closes what is idle at a backend.
func (e host) Release(id balancer.BackendID) {
	if b := e.backends.byID[id]; b != nil {
		e.releaseIdle(b)
	}
}

// Watch follows the list, or ceases to.
func (e host) Watch(on bool) {
	if e.source != nil {
		e.source.Watch(on)
	}
}

// Fetch asks for the whole list once.
func (e host) Fetch() {
	if e.source != nil {
		e.source.Fetch()
	}
}

// SendToPeer would reach other proxies. The module has nothing to tell them.
func (e host) SendToPeer(peer uint32, body []byte) {
	e.cfg.Logf("%d bytes for peer %d dropped: there is no way to it", len(body), peer)
}

// StartTimer asks for a Timer event.
func (e host) StartTimer(d time.Duration, token uint64) {
	e.Schedule(e.Now()+d, func() { e.balancer.OnTimer(e.Now(), token) })
}

// Log writes a line of the module's; it is sparing by itself.
func (e host) Log(line string) { e.cfg.Logf("%s", line) }
