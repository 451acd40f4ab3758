package httpproxy

import (
	"context"
	"net/http"
	"time"

	"marlreel"
	"marlreel/internal/engine"
)

// Carrier takes attempts to backends over HTTP/1.1. The engine's goroutine calls it
// and owns its pool; each exchange has a goroutine of its own.
type Carrier struct {
	engine         *engine.Engine
	connectTimeout time.Duration
	report         []string // names of the values of a load report
	pool           pool
	ctx            context.Context // of all exchanges
	cancel         context.CancelFunc
}

// NewCarrier makes a carrier with a bound on its connections. report names the values
// of backends' load reports, in the settings' order.
func NewCarrier(e *engine.Engine, most int, report []string) *Carrier {
	caps := e.Settings().Caps
	c := &Carrier{engine: e, connectTimeout: caps.ConnectTimeout, report: report,
		pool: pool{most: most, maxIdle: caps.ConnIdle - caps.ConnIdle/4, idle: map[*engine.Backend][]*conn{}}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close breaks all exchanges off. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// Begin implements engine.Carrier. The call's payload is a *message.
func (c *Carrier) Begin(a *engine.Attempt) {
	x := &exchange{to: a.Backend, msg: a.Call.Payload.(*message), until: a.Until, permit: &a.Permit}
	a.Stop = c.launch(x, a.End)
}

// Probe implements engine.Prober.
func (c *Carrier) Probe(b *engine.Backend, until time.Time, end func(engine.End)) {
	c.launch(&exchange{to: b, msg: probeMessage(b.Addr), until: until, permit: new(engine.Permit)}, end)
}

// Release implements engine.Carrier.
func (c *Carrier) Release(b *engine.Backend) { c.pool.release(b) }

// Forget implements engine.Carrier.
func (c *Carrier) Forget(b *engine.Backend) { c.pool.release(b) }

// Retire implements engine.Carrier.
func (c *Carrier) Retire(now time.Duration) { c.pool.retire(now) }

// Connections is how many are open, those being dialled among them.
func (c *Carrier) Connections() int { return c.pool.open }

// launch starts an exchange and brings its end back to the engine. The connection is
// counted from here on, and until end has it.
func (c *Carrier) launch(x *exchange, end func(engine.End)) (stop func()) {
	if x.conn = c.pool.take(x.to, c.engine.Now()); x.conn == nil && !c.pool.mayDial() {
		c.engine.Later(func() { end(engine.End{Result: marlreel.ConnectFailed}) })
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	go func() {
		defer cancel()
		r := x.run(ctx, c.connectTimeout, c.report)
		c.engine.Post(func() {
			c.pool.put(x.to, r.conn, c.engine.Now())
			e := engine.End{Result: r.result, Load: r.load}
			if r.result == marlreel.OK {
				e.Reply = &r
			}
			end(e)
		})
	}()
	return cancel
}

func probeMessage(addr string) *message {
	return &message{method: http.MethodGet, head: []byte("GET /health HTTP/1.1\r\nHost: " + addr + "\r\n")}
}

func passedOn(h http.Header) http.Header {
	h = endToEnd(h)
	h.Del(headerLoad)
	return h
}
