package httpproxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

// Carrier sends attempts to backends over HTTP/1.1. The engine's goroutine calls it
// and owns its pool; each exchange runs on its own goroutine.
type Carrier struct {
	engine      *engine.Engine
	dialect     *Dialect
	dial        func(ctx context.Context, address string) (net.Conn, error) // nil: net.Dialer
	loadMetrics []string                                                    // names of the values in a load report
	memory      *budget.Budget
	pool        pool
	lastOK      map[*engine.Backend]time.Duration // time of a backend's last OK answer
	ctx         context.Context                   // parent of all exchanges' contexts
	cancel      context.CancelFunc

	surplusAnswers atomic.Uint64
	onSurplus      func(from *engine.Backend, suspension time.Duration)
}

var (
	_ engine.Carrier       = (*Carrier)(nil)
	_ engine.HealthChecker = (*Carrier)(nil)
)

// NewCarrier returns a carrier with at most maxConnections connections. report names the values
// of backends' load reports, in the settings' order; buffered answers take their memory from memory.
func NewCarrier(e *engine.Engine, maxConnections int, report []string, memory *budget.Budget) *Carrier {
	caps := e.Settings().Caps
	utility := meanUtility(e.Settings())
	c := &Carrier{
		engine: e, memory: memory, loadMetrics: report, lastOK: map[*engine.Backend]time.Duration{},
		pool: pool{
			maxOpen: maxConnections, maxIdle: caps.ConnIdle - caps.ConnIdle/4, idle: map[*engine.Backend][]*backendConn{}, meanUtility: utility,
			model: connections.New(connections.DefaultConfig(utility, e.Settings().Prices.Handshake)),
		},
	}
	c.pool.onSurplus = c.recordSurplus
	c.onSurplus = func(*engine.Backend, time.Duration) {}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.SetDialect(platformDialect())
	return c
}

// SetDialect replaces the dialect. It may be called only before the first attempt.
func (c *Carrier) SetDialect(d *Dialect) {
	c.dialect = d
	c.pool.keepAlive = nil
	if d.Matches == nil {
		c.pool.keepAlive = connections.NewKeepAlive(connections.DefaultKeepAliveConfig())
	}
}

// OnSurplus sets the function that is called whenever a backend sends a surplus answer. If this starts a suspension, in
// which each connection to the backend carries only one request, suspension is its length; else it is 0. OnSurplus may be
// called only before the first attempt; notify is called on the engine's goroutine.
func (c *Carrier) OnSurplus(notify func(from *engine.Backend, suspension time.Duration)) {
	c.onSurplus = notify
}

// SurplusAnswers is the number of surplus answers: those that came from a backend on an idle connection or in the place of
// another answer. Any goroutine may call it.
func (c *Carrier) SurplusAnswers() uint64 { return c.surplusAnswers.Load() }

// recordSurplus counts and reports a surplus answer. It must run on the engine's goroutine.
func (c *Carrier) recordSurplus(from *engine.Backend) {
	c.surplusAnswers.Add(1)
	c.onSurplus(from, c.suspendReuse(from))
}

// suspendReuse suspends the reuse of connections to a backend, and returns for how long if the suspension begins now; else
// 0. It does nothing where answers carry ids, nor for a backend that has left the list, whose state was deleted.
func (c *Carrier) suspendReuse(from *engine.Backend) time.Duration {
	if c.pool.keepAlive == nil || !from.Ready() {
		return 0
	}
	length, began := c.pool.keepAlive.RecordSurplus(c.engine.Now(), uint32(from.ID))
	if !began {
		return 0
	}
	return length
}

// SetDialer replaces the dial function. It may be called only before the first attempt.
func (c *Carrier) SetDialer(dial func(ctx context.Context, address string) (net.Conn, error)) {
	c.dial = dial
}

// Close aborts all exchanges. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// StartAttempt implements engine.Carrier. The call's payload is a *Message.
func (c *Carrier) StartAttempt(a *engine.Attempt) {
	x := &exchange{backend: a.Backend, message: a.Call.Payload.(*Message), deadline: a.Deadline, permit: &a.Permit, attempt: a, clientConnected: a.Call.ClientConnected, receiving: a.Call.Receiving}
	class := &c.engine.Settings().Classes[a.Call.Class]
	request := connections.Request{Utility: class.Value, Large: len(x.message.Body) >= largeRequest || x.message.upload != nil}
	if class.Effect != balancer.Unsafe {
		request.Effect = connections.Delayed
	}
	a.Stop = c.startExchange(x, request, a.End)
}

// largeRequest is the body size in bytes from which the connection model counts a request as large: some failures affect
// only long requests.
const largeRequest = 16 << 10

// healthCheckRequest is a health check as the connection model sees it: a broken one counts against the backend, but is
// not worth a handshake.
var healthCheckRequest = connections.Request{Utility: 0.1, Effect: connections.Lost}

// meanUtility is the unweighted mean utility of the classes, as the frequency of each is not known beforehand.
func meanUtility(s *balancer.Config) float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Value
	}
	return sum / float64(max(1, len(s.Classes)))
}

// CheckHealth implements engine.HealthChecker.
func (c *Carrier) CheckHealth(b *engine.Backend, until time.Time, end func(engine.AttemptEnd)) {
	c.startExchange(&exchange{backend: b, message: c.dialect.HealthCheck(b), deadline: until, permit: new(engine.Permit)}, healthCheckRequest, end)
}

// ReleaseIdle implements engine.Carrier.
func (c *Carrier) ReleaseIdle(b *engine.Backend) { c.pool.closeIdle(b) }

// RemoveBackend implements engine.Carrier.
func (c *Carrier) RemoveBackend(b *engine.Backend) {
	c.pool.closeIdle(b)
	delete(c.lastOK, b)
	c.pool.model.Forget(uint32(b.ID))
	if c.pool.keepAlive != nil {
		c.pool.keepAlive.Forget(uint32(b.ID))
	}
}

// CloseExpired implements engine.Carrier.
func (c *Carrier) CloseExpired(now time.Duration) { c.pool.closeExpired(now) }

// SetMaxConnections changes the limit of connections. It must run on the engine's goroutine.
func (c *Carrier) SetMaxConnections(limit int) { c.pool.setMaxOpen(limit) }

// Reconfigure applies changed settings: report names the values of load reports, the rest comes from the engine's
// settings. It must run on the engine's goroutine.
func (c *Carrier) Reconfigure(report []string) {
	s := c.engine.Settings()
	c.loadMetrics, c.pool.meanUtility = report, meanUtility(s)
	c.pool.model.SetHandshakeCost(connections.DefaultConfig(c.pool.meanUtility, s.Prices.Handshake).HandshakeCost)
}

// LearnedState returns the learned state of the connection model, for the process that takes over. Like
// RestoreLearnedState, it must run on the engine's goroutine.
func (c *Carrier) LearnedState() connections.State { return c.pool.model.State(c.engine.Now()) }

// RestoreLearnedState restores the state that another process had learned; age is the time since then.
func (c *Carrier) RestoreLearnedState(s connections.State, age time.Duration) {
	c.pool.model.Resume(s, age, c.engine.Now())
}

// Connections is the number of open connections, including those being dialed.
func (c *Carrier) Connections() int { return c.pool.open }

// startExchange starts an exchange, and posts its outcome to the engine, which calls end. Its connection counts as open
// from here on. It returns the function that cancels the exchange, or nil if none was started.
func (c *Carrier) startExchange(x *exchange, request connections.Request, end func(engine.AttemptEnd)) (stop func()) {
	now, caps := c.engine.Now(), &c.engine.Settings().Caps
	c.pool.maxIdle = caps.ConnIdle - caps.ConnIdle/4
	use := connections.Use{New: true, Large: request.Large}
	if x.conn = c.pool.take(x.backend, now, request); x.conn != nil {
		use = connections.Use{Idle: now - x.conn.idleSince, Large: request.Large}
	} else if !c.pool.reserveDial() {
		c.engine.Defer(func() { end(engine.AttemptEnd{Result: balancer.ConnectFailed}) })
		return nil
	}
	x.memory, x.dialect, x.dial = c.memory, c.dialect, c.dial
	x.holdback = c.holdback(x, now)
	ctx, cancel := context.WithCancel(c.ctx)
	loadMetrics := c.loadMetrics
	go func() {
		defer cancel()
		r := x.run(ctx, caps.ConnectTimeout, loadMetrics)
		c.engine.Post(func() {
			if x.dialled {
				use.New = true // the pooled one turned out to be closed right before the write
			}
			c.recordOutcome(x.backend, use, now, &r)
			c.finishExchange(x, &r, end)
		})
	}()
	return cancel
}

// holdback returns how long the byte with which a request may run is held back. Where that is the last byte of the head, a
// long request on a used connection is always held back for a moment: it takes far longer than that wait, and a connection
// that was closed while idle is noticed before the request counts as one that may have run.
func (c *Carrier) holdback(x *exchange, now time.Duration) time.Duration {
	model := c.pool.model
	long := x.message.upload != nil || len(x.message.Body) > maxBufferedBody
	if x.conn != nil && long && x.dialect.ExecutionStart == StartsAfterHead {
		return model.CurrentHoldback()
	}
	return model.Holdback(now, uint32(x.backend.ID), x.backend.Zone)
}

// finishExchange returns the connection to the pool and reports the outcome. It must run on the engine's goroutine.
func (c *Carrier) finishExchange(x *exchange, r *Reply, end func(engine.AttemptEnd)) {
	if r.conn != nil {
		r.conn.lastRejected = r.result == balancer.Rejected
		c.restAfterQuickAnswer(x.backend, r)
	}
	if r.surplus {
		c.recordSurplus(x.backend)
		if r.conn != nil {
			r.conn.surplus = false // counted now
		}
	}
	e := engine.AttemptEnd{Result: r.result, Load: r.load, ClientGone: r.clientGone}
	failed := r.result == balancer.Error || r.result == balancer.Unprocessable
	if r.result == balancer.OK || failed && c.dialect.ForwardsFailures {
		e.Reply = r
	}
	if r.stream != nil {
		e.Streaming = true
		r.stream.returnConn = func(left *backendConn) {
			c.engine.Post(func() { c.pool.put(x.backend, left, c.engine.Now()) })
		}
	} else {
		c.pool.put(x.backend, r.conn, c.engine.Now())
	}
	end(e)
	if !r.claimed {
		r.release(c.memory)
	}
}

// restAfterQuickAnswer sets restUntil on a connection whose answer came so quickly that it may have belonged to an earlier
// request.
func (c *Carrier) restAfterQuickAnswer(from *engine.Backend, r *Reply) {
	if c.pool.keepAlive == nil || r.result != balancer.OK || !from.Ready() {
		return
	}
	if rest := c.pool.keepAlive.RecordAnswer(uint32(from.ID), r.conn.answerTime); rest > 0 {
		r.conn.restUntil = c.engine.Now() + rest
	}
}

// minSilentDropIdle is the idle time from which a missing answer may mean that a middlebox, such as
// a NAT or a firewall, has silently dropped the connection.
const minSilentDropIdle = 500 * time.Millisecond

// recordOutcome reports to the connection model how a use of a connection ended.
func (c *Carrier) recordOutcome(to *engine.Backend, use connections.Use, sent time.Duration, r *Reply) {
	if !to.Ready() {
		return // the backend is draining or has left: its state was deleted and must not be created again
	}
	now := c.engine.Now()
	switch r.result {
	case balancer.OK:
		c.lastOK[to] = now
	case balancer.Reset:
	case balancer.Timeout:
		// A slow backend is slow on all connections. If it has answered on others since, and this
		// connection had been idle for long, the connection is to blame and not the backend.
		if use.New || use.Idle < minSilentDropIdle || c.lastOK[to] <= sent {
			return
		}
		r.connOutcome = connections.Outcome{Broken: true, After: now - sent, Complete: true}
	case balancer.NotSent:
		if !r.brokeEarly {
			return
		}
	case balancer.Error, balancer.Rejected, balancer.Unprocessable:
	default: // says nothing about the connection
		return
	}
	if !use.New && use.Idle < restTime {
		return // used again within restTime: a close right after an answer is not caused by the idle time
	}
	c.pool.model.RecordOutcome(now, uint32(to.ID), to.Zone, use, r.connOutcome)
}

func forwardedHeader(h http.Header) http.Header {
	h = endToEnd(h)
	h.Del(headerLoad)
	return h
}
