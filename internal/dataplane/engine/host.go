package engine

import (
	"time"

	"marlreel/internal/balancer"
)

// healthCheckConnectTimeouts is the timeout of a health check as a multiple of the connect timeout.
const healthCheckConnectTimeouts = 1.25

// host implements balancer.Host. No method blocks or calls the balancer.
type host struct{ *Engine }

var _ balancer.Host = host{}

// Send starts an attempt. If the attempt is not allowed or not possible, it ends right after the current event.
func (e host) Send(id balancer.RequestID, to balancer.BackendID, timeout, writeDeadline time.Duration) {
	c := e.calls[id]
	if c == nil {
		e.cfg.Logf("attempt of request %d dropped: the request has already ended", id)
		return
	}
	a := &Attempt{Call: c, Index: len(c.attempts), startedAt: e.Now(), engine: e.Engine}
	c.attempts = append(c.attempts, a)
	c.pendingAttempts++
	if latest := c.Deadline - 2*c.deadlineMargin; timeout == 0 || timeout > latest || c.Receiving {
		timeout = latest
	}
	a.Backend = e.backends.byID[to]
	if result := e.checkSend(c, a, timeout); result != balancer.OK {
		if a.Backend == nil {
			a.Backend = &Backend{Backend: balancer.Backend{ID: to}}
		}
		a.Permit.Revoke()
		e.Defer(func() { a.End(AttemptEnd{Result: result}) })
		return
	}
	a.Deadline = e.WallTime(timeout)
	if writeDeadline > 0 {
		a.Permit.writeDeadline = e.WallTime(writeDeadline)
	}
	a.timeout = e.Schedule(timeout, a.expire)
	if e.observer != nil {
		e.observer.OnAttemptStarted(a.startedAt, a)
	}
	c.Carrier.StartAttempt(a)
}

// checkSend returns the result of an attempt that is not allowed or not possible, or OK if it may be sent.
func (e host) checkSend(c *Call, a *Attempt, timeout time.Duration) balancer.Result {
	switch {
	case e.lease != nil && !e.mayStart(c, a, timeout):
		return balancer.NotSent
	case c.answered || timeout <= a.startedAt || a.Index >= e.Settings().Caps.MaxAttempts:
		return balancer.NotSent
	case a.Backend == nil:
		return balancer.ConnectFailed
	}
	return balancer.OK
}

// Reject answers the call with Rejected: it was not executed.
func (e host) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if c := e.calls[id]; c != nil {
		e.answer(c, Answer{Verdict: Rejected, RetryAfter: retryAfter})
	}
}

// Fail answers the call with Failed: it may have been executed.
func (e host) Fail(id balancer.RequestID) {
	if c := e.calls[id]; c != nil {
		e.answer(c, Answer{Verdict: Failed, Reply: c.declinedReply})
	}
}

// Cancel cancels an attempt.
func (e host) Cancel(id balancer.RequestID, n int) {
	c := e.calls[id]
	if c == nil || n < 0 || n >= len(c.attempts) || c.attempts[n].ended {
		return
	}
	a := c.attempts[n]
	if !a.withdraw() {
		a.cancel(balancer.Cancelled)
	}
}

// CheckHealth sends a health check to a backend and reports its result to the balancer.
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

// Release closes the idle connections to a backend.
func (e host) Release(id balancer.BackendID) {
	if b := e.backends.byID[id]; b != nil {
		e.releaseIdle(b)
	}
}

// Watch starts or stops watching the membership.
func (e host) Watch(on bool) {
	if e.source != nil {
		e.source.Watch(on)
	}
}

// Fetch requests the complete membership once.
func (e host) Fetch() {
	if e.source != nil {
		e.source.Fetch()
	}
}

// SendToPeer logs and drops the message: the engine has no connection to other proxies, and the balancer sends them
// nothing.
func (e host) SendToPeer(peer uint32, body []byte) {
	e.cfg.Logf("message of %d bytes to peer %d dropped: the engine has no connection to peers", len(body), peer)
}

// StartTimer schedules a call of the balancer's OnTimer.
func (e host) StartTimer(d time.Duration, token uint64) {
	e.Schedule(e.Now()+d, func() { e.balancer.OnTimer(e.Now(), token) })
}

// Log writes a log line of the balancer, which does its own rate limiting.
func (e host) Log(line string) { e.cfg.Logf("%s", line) }
