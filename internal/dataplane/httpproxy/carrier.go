package httpproxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/connections"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

// Carrier takes attempts to backends over HTTP/1.1. The engine's goroutine calls it
// and owns its pool; each exchange has a goroutine of its own.
type Carrier struct {
	engine *engine.Engine
	speaks *Dialect
	dial   func(ctx context.Context, address string) (net.Conn, error) // nil: the machine's own
	report []string                                                    // names of the values of a load report
	room   *budget.Budget
	pool   pool
	lastOK map[*engine.Backend]time.Duration // a backend's last good answer
	ctx    context.Context                   // of all exchanges
	cancel context.CancelFunc
}

// NewCarrier makes a carrier with a bound on its connections. report names the values
// of backends' load reports, in the settings' order; answers are held by what room there is.
func NewCarrier(e *engine.Engine, most int, report []string, room *budget.Budget) *Carrier {
	caps := e.Settings().Caps
	worth := meanWorth(e.Settings())
	c := &Carrier{
		engine: e, speaks: platformDialect(), room: room, report: report, lastOK: map[*engine.Backend]time.Duration{},
		pool: pool{
			most: most, maxIdle: caps.ConnIdle - caps.ConnIdle/4, idle: map[*engine.Backend][]*conn{}, worth: worth,
			model: connections.New(connections.DefaultConfig(worth, e.Settings().Prices.Handshake)),
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Speak has the carrier use another dialect. Only before its first attempt.
func (c *Carrier) Speak(d *Dialect) { c.speaks = d }

// DialWith has the carrier make connections otherwise. Only before its first attempt.
func (c *Carrier) DialWith(dial func(ctx context.Context, address string) (net.Conn, error)) {
	c.dial = dial
}

// Close breaks all exchanges off. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// StartAttempt implements engine.Carrier. The call's payload is a *Message.
func (c *Carrier) StartAttempt(a *engine.Attempt) {
	x := &exchange{to: a.Backend, msg: a.Call.Payload.(*Message), until: a.Deadline, permit: &a.Permit, attempt: a, here: a.Call.ClientConnected, coming: a.Call.Receiving}
	class := &c.engine.Settings().Classes[a.Call.Class]
	stake := connections.Request{Utility: class.Value, Large: len(x.msg.Body) >= largeBody || x.msg.up != nil}
	if class.Effect != balancer.Unsafe {
		stake.Effect = connections.Delayed
	}
	a.Stop = c.launch(x, stake, a.End)
}

// largeBody is from where on a request may meet what only long ones do.
const largeBody = 16 << 10

// probeStake: a probe that breaks speaks ill of a backend, and is worth no handshake.
var probeStake = connections.Request{Utility: 0.1, Effect: connections.Lost}

// meanWorth is that of the classes; how often each comes is not known beforehand.
func meanWorth(s *balancer.Config) float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Value
	}
	return sum / float64(max(1, len(s.Classes)))
}

// CheckHealth implements engine.HealthChecker.
func (c *Carrier) CheckHealth(b *engine.Backend, until time.Time, end func(engine.AttemptEnd)) {
	c.launch(&exchange{to: b, msg: c.speaks.Probe(b), until: until, permit: new(engine.Permit)}, probeStake, end)
}

// ReleaseIdle implements engine.Carrier.
func (c *Carrier) ReleaseIdle(b *engine.Backend) { c.pool.release(b) }

// RemoveBackend implements engine.Carrier.
func (c *Carrier) RemoveBackend(b *engine.Backend) {
	c.pool.release(b)
	delete(c.lastOK, b)
	c.pool.model.Forget(uint32(b.ID))
}

// CloseExpired implements engine.Carrier.
func (c *Carrier) CloseExpired(now time.Duration) { c.pool.retire(now) }

// SetMost puts another bound on connections in force. Only on the engine's goroutine.
func (c *Carrier) SetMost(most int) { c.pool.setMost(most) }

// Tune puts other settings in force: the names of the values of a load report are told, the rest is the engine's.
// Only on the engine's goroutine.
func (c *Carrier) Tune(report []string) {
	s := c.engine.Settings()
	c.report, c.pool.worth = report, meanWorth(s)
	c.pool.model.SetHandshakeCost(connections.DefaultConfig(c.pool.worth, s.Prices.Handshake).HandshakeCost)
}

// Learnt is what was learnt of connections, for the process that takes over. Only on the
// engine's goroutine, like Restore.
func (c *Carrier) Learnt() connections.State { return c.pool.model.State(c.engine.Now()) }

// Restore goes on with what another process had learnt of them, away ago.
func (c *Carrier) Restore(s connections.State, away time.Duration) {
	c.pool.model.Resume(s, away, c.engine.Now())
}

// Connections is how many are open, those being dialled among them.
func (c *Carrier) Connections() int { return c.pool.open }

// launch starts an exchange and brings its end back to the engine. The connection is
// counted from here on, and until end has it.
func (c *Carrier) launch(x *exchange, stake connections.Request, end func(engine.AttemptEnd)) (stop func()) {
	now, caps := c.engine.Now(), &c.engine.Settings().Caps
	c.pool.maxIdle = caps.ConnIdle - caps.ConnIdle/4
	use := connections.Use{New: true, Large: stake.Large}
	if x.conn = c.pool.take(x.to, now, stake); x.conn != nil {
		use = connections.Use{Idle: now - x.conn.idleSince, Large: stake.Large}
	} else if !c.pool.mayDial() {
		c.engine.Defer(func() { end(engine.AttemptEnd{Result: balancer.ConnectFailed}) })
		return nil
	}
	x.room, x.speaks, x.dial = c.room, c.speaks, c.dial
	x.hold = c.pool.model.Holdback(now, uint32(x.to.ID), x.to.Zone)
	ctx, cancel := context.WithCancel(c.ctx)
	report := c.report
	go func() {
		defer cancel()
		r := x.run(ctx, caps.ConnectTimeout, report)
		c.engine.Post(func() {
			if x.dialled {
				use.New = true // the one from the pool was dead when it was looked at last
			}
			c.learn(x.to, use, now, &r)
			if r.conn != nil {
				r.conn.turnedAway = r.result == balancer.Rejected
			}
			e := engine.AttemptEnd{Result: r.result, Load: r.load, ClientGone: r.left}
			if r.result == balancer.OK || c.speaks.KeepsFailures && (r.result == balancer.Error || r.result == balancer.Unprocessable) {
				e.Reply = &r
			}
			if r.stream != nil {
				e.Streaming = true
				r.stream.done = func(left *conn) {
					c.engine.Post(func() { c.pool.put(x.to, left, c.engine.Now()) })
				}
			} else {
				c.pool.put(x.to, r.conn, c.engine.Now())
			}
			end(e)
			if !r.claimed {
				r.release(c.room)
			}
		})
	}()
	return cancel
}

// silentIdle is from which idle time on an answer that doesn't come may mean that
// something between has dropped the connection without a word.
const silentIdle = 500 * time.Millisecond

// learn tells the model how a use of a connection ended.
func (c *Carrier) learn(to *engine.Backend, use connections.Use, sent time.Duration, r *Reply) {
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
		if use.New || use.Idle < silentIdle || c.lastOK[to] <= sent {
			return
		}
		r.end = connections.Outcome{Broken: true, After: now - sent, Complete: true}
	case balancer.NotSent:
		if !r.early {
			return
		}
	case balancer.Error, balancer.Rejected, balancer.Unprocessable:
	default: // it says nothing of the connection
		return
	}
	if !use.New && use.Idle < restFor {
		return // it had no rest: what closes right behind an answer is no matter of age
	}
	c.pool.model.RecordOutcome(now, uint32(to.ID), to.Zone, use, r.end)
}

func passedOn(h http.Header) http.Header {
	h = endToEnd(h)
	h.Del(headerLoad)
	return h
}
