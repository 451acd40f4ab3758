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

// Carrier takes attempts to backends over HTTP/1.1. The engine's goroutine calls it
// and owns its pool; each exchange has a goroutine of its own.
type Carrier struct {
	engine      *engine.Engine
	dialect     *Dialect
	dial        func(ctx context.Context, address string) (net.Conn, error) // nil: the machine's own
	loadMetrics []string                                                    // names of the values of a load report
	memory      *budget.Budget
	pool        pool
	lastOK      map[*engine.Backend]time.Duration // a backend's last good answer
	ctx         context.Context                   // of all exchanges
	cancel      context.CancelFunc

	surplusAnswers atomic.Uint64
	onSurplus      func(from *engine.Backend, suspension time.Duration)
}

var (
	_ engine.Carrier       = (*Carrier)(nil)
	_ engine.HealthChecker = (*Carrier)(nil)
)

// NewCarrier makes a carrier with a bound on its connections. report names the values
// of backends' load reports, in the settings' order; answers are held by what memory there is.
func NewCarrier(e *engine.Engine, maxConnections int, report []string, memory *budget.Budget) *Carrier {
	caps := e.Settings().Caps
	worth := meanUtility(e.Settings())
	c := &Carrier{
		engine: e, memory: memory, loadMetrics: report, lastOK: map[*engine.Backend]time.Duration{},
		pool: pool{
			maxOpen: maxConnections, maxIdle: caps.ConnIdle - caps.ConnIdle/4, idle: map[*engine.Backend][]*backendConn{}, meanUtility: worth,
			model: connections.New(connections.DefaultConfig(worth, e.Settings().Prices.Handshake)),
		},
	}
	c.pool.onSurplus = c.recordSurplus
	c.onSurplus = func(*engine.Backend, time.Duration) {}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.SetDialect(platformDialect())
	return c
}

// SetDialect has the carrier use another dialect. Only before its first attempt.
func (c *Carrier) SetDialect(d *Dialect) {
	c.dialect = d
	c.pool.keepAlive = nil
	if d.Matches == nil {
		c.pool.keepAlive = connections.NewKeepAlive(connections.DefaultKeepAliveConfig())
	}
}

// OnSurplus has the carrier tell whenever an answer came from a backend out of turn, and how long each connection to it is
// used for one request alone where that begins with this; else 0. Only before its first attempt; it
// is called on the engine's goroutine.
func (c *Carrier) OnSurplus(notify func(from *engine.Backend, suspension time.Duration)) {
	c.onSurplus = notify
}

// SurplusAnswers is how often an answer came from a backend out of turn: on an idle connection, or in the place of another.
// Any goroutine may call it.
func (c *Carrier) SurplusAnswers() uint64 { return c.surplusAnswers.Load() }

// recordSurplus takes in that an answer came from a backend out of turn. On the engine's goroutine.
func (c *Carrier) recordSurplus(from *engine.Backend) {
	c.surplusAnswers.Add(1)
	c.onSurplus(from, c.suspendReuse(from))
}

// suspendReuse suspends the reuse of connections to a backend, and tells for how long if that begins now. There is no
// need where answers carry ids; of a backend that has left the list, what was kept is forgotten.
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

// SetDialer has the carrier make connections otherwise. Only before its first attempt.
func (c *Carrier) SetDialer(dial func(ctx context.Context, address string) (net.Conn, error)) {
	c.dial = dial
}

// Close breaks all exchanges off. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// StartAttempt implements engine.Carrier. The call's payload is a *Message.
func (c *Carrier) StartAttempt(a *engine.Attempt) {
	x := &exchange{backend: a.Backend, message: a.Call.Payload.(*Message), deadline: a.Deadline, permit: &a.Permit, attempt: a, clientConnected: a.Call.ClientConnected, receiving: a.Call.Receiving}
	class := &c.engine.Settings().Classes[a.Call.Class]
	stake := connections.Request{Utility: class.Value, Large: len(x.message.Body) >= largeRequest || x.message.upload != nil}
	if class.Effect != balancer.Unsafe {
		stake.Effect = connections.Delayed
	}
	a.Stop = c.startExchange(x, stake, a.End)
}

// largeRequest is from where on a request may meet what only long ones do.
const largeRequest = 16 << 10

// healthCheckStake: a health check that breaks counts against a backend, and isn't worth a handshake.
var healthCheckStake = connections.Request{Utility: 0.1, Effect: connections.Lost}

// meanUtility is that of the classes; how often each comes is not known beforehand.
func meanUtility(s *balancer.Config) float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Value
	}
	return sum / float64(max(1, len(s.Classes)))
}

// CheckHealth implements engine.HealthChecker.
func (c *Carrier) CheckHealth(b *engine.Backend, until time.Time, end func(engine.AttemptEnd)) {
	c.startExchange(&exchange{backend: b, message: c.dialect.HealthCheck(b), deadline: until, permit: new(engine.Permit)}, healthCheckStake, end)
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

// SetMaxConnections puts another bound on connections in force. Only on the engine's goroutine.
func (c *Carrier) SetMaxConnections(limit int) { c.pool.setMaxOpen(limit) }

// Reconfigure puts other settings in force: the names of the values of a load report are given, the rest is the engine's.
// Only on the engine's goroutine.
func (c *Carrier) Reconfigure(report []string) {
	s := c.engine.Settings()
	c.loadMetrics, c.pool.meanUtility = report, meanUtility(s)
	c.pool.model.SetHandshakeCost(connections.DefaultConfig(c.pool.meanUtility, s.Prices.Handshake).HandshakeCost)
}

// LearnedState is what was learnt of connections, for the process that takes over. Only on the
// engine's goroutine, like Restore.
func (c *Carrier) LearnedState() connections.State { return c.pool.model.State(c.engine.Now()) }

// RestoreLearnedState goes on with what another process had learnt of them, away ago.
func (c *Carrier) RestoreLearnedState(s connections.State, away time.Duration) {
	c.pool.model.Resume(s, away, c.engine.Now())
}

// Connections is how many are open, those being dialled among them.
func (c *Carrier) Connections() int { return c.pool.open }

// startExchange starts an exchange and brings its end back to the engine. The connection is counted from here on, and
// until end has it. It returns what cancels the exchange; nil where none was started.
func (c *Carrier) startExchange(x *exchange, stake connections.Request, end func(engine.AttemptEnd)) (stop func()) {
	now, caps := c.engine.Now(), &c.engine.Settings().Caps
	c.pool.maxIdle = caps.ConnIdle - caps.ConnIdle/4
	use := connections.Use{New: true, Large: stake.Large}
	if x.conn = c.pool.take(x.backend, now, stake); x.conn != nil {
		use = connections.Use{Idle: now - x.conn.idleSince, Large: stake.Large}
	} else if !c.pool.reserveDial() {
		c.engine.Defer(func() { end(engine.AttemptEnd{Result: balancer.ConnectFailed}) })
		return nil
	}
	x.memory, x.dialect, x.dial = c.memory, c.dialect, c.dial
	x.holdback = c.pool.model.Holdback(now, uint32(x.backend.ID), x.backend.Zone)
	ctx, cancel := context.WithCancel(c.ctx)
	loadMetrics := c.loadMetrics
	go func() {
		defer cancel()
		r := x.run(ctx, caps.ConnectTimeout, loadMetrics)
		c.engine.Post(func() {
			if x.dialled {
				use.New = true // the one from the pool was found dead at the last look
			}
			c.recordOutcome(x.backend, use, now, &r)
			c.finishExchange(x, &r, end)
		})
	}()
	return cancel
}

// finishExchange gives the connection back and reports the end. On the engine's goroutine.
func (c *Carrier) finishExchange(x *exchange, r *Reply, end func(engine.AttemptEnd)) {
	if r.conn != nil {
		r.conn.lastRejected = r.result == balancer.Rejected
		c.restAfterQuickAnswer(x.backend, r)
	}
	if r.surplus {
		c.recordSurplus(x.backend)
		if r.conn != nil {
			r.conn.surplus = false // it is counted
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

// restAfterQuickAnswer has a connection rest whose answer came so soon that it may not have been the request's.
func (c *Carrier) restAfterQuickAnswer(from *engine.Backend, r *Reply) {
	if c.pool.keepAlive == nil || r.result != balancer.OK || !from.Ready() {
		return
	}
	if rest := c.pool.keepAlive.RecordAnswer(uint32(from.ID), r.conn.answerTime); rest > 0 {
		r.conn.restUntil = c.engine.Now() + rest
	}
}

// minSilentDropIdle is from which idle time on an answer that doesn't come may mean that
// something between has dropped the connection without a word.
const minSilentDropIdle = 500 * time.Millisecond

// recordOutcome tells the model how a use of a connection ended.
func (c *Carrier) recordOutcome(to *engine.Backend, use connections.Use, sent time.Duration, r *Reply) {
	if !to.Ready() {
		return // it drains or has left: what was kept for it is forgotten, and stays so
	}
	now := c.engine.Now()
	switch r.result {
	case balancer.OK:
		c.lastOK[to] = now
	case balancer.Reset:
	case balancer.Timeout:
		// A backend that is slow is slow on all connections. One that has answered others
		// since, while this long idle one is silent, is not to blame.
		if use.New || use.Idle < minSilentDropIdle || c.lastOK[to] <= sent {
			return
		}
		r.connOutcome = connections.Outcome{Broken: true, After: now - sent, Complete: true}
	case balancer.NotSent:
		if !r.brokeEarly {
			return
		}
	case balancer.Error, balancer.Rejected, balancer.Unprocessable:
	default: // it says nothing of the connection
		return
	}
	if !use.New && use.Idle < restTime {
		return // it had no rest: what closes right behind an answer is no matter of age
	}
	c.pool.model.RecordOutcome(now, uint32(to.ID), to.Zone, use, r.connOutcome)
}

func forwardedHeader(h http.Header) http.Header {
	h = endToEnd(h)
	h.Del(headerLoad)
	return h
}
