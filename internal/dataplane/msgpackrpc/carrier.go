package msgpackrpc

import (
	"context"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

const (
	// maxAbandoned is how many abandoned calls of a connection may still be unanswered. Beyond it, the connection gets
	// no new call.
	maxAbandoned = 256
	// maxUnknownReplies is how many replies without a matching call a connection may receive before it is closed.
	maxUnknownReplies = 16
	// writeTimeout is how long a backend may read nothing of what is written to it.
	writeTimeout = time.Second
)

// Carrier sends attempts to backends over MessagePack-RPC. Connections are shared: many calls can be pending on one,
// each with a msgid that is unique on it. The engine's goroutine calls the carrier and owns everything but the sockets;
// each connection has a goroutine that writes and one that reads, which end with it.
type Carrier struct {
	engine         *engine.Engine
	config         Backend
	limits         Limits
	connectTimeout time.Duration
	maxIdle        time.Duration // 0: no bound
	connections    map[*engine.Backend][]*backendConn
	openCount      int             // connections, including retired ones
	ctx            context.Context // of all connections
	cancel         context.CancelFunc
	counters       *Counters
}

var _ engine.Carrier = (*Carrier)(nil)

// NewCarrier returns a carrier. The configuration has been validated.
func NewCarrier(e *engine.Engine, cfg *Config, counters *Counters) *Carrier {
	caps := e.Settings().Caps
	c := &Carrier{
		engine: e, config: cfg.Backend, counters: counters,
		limits:         Limits{MaxMessageBytes: cfg.MaxMessageBytes, MaxDepth: cfg.MaxDepth},
		connectTimeout: caps.ConnectTimeout,
		maxIdle:        caps.ConnIdle - caps.ConnIdle/4, // before the backend closes it
		connections:    map[*engine.Backend][]*backendConn{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close closes all connections. It is safe to call from any goroutine.
func (c *Carrier) Close() { c.cancel() }

// Connections returns the number of open connections, including those being dialled.
func (c *Carrier) Connections() int { return c.openCount }

// StartAttempt implements engine.Carrier. The call's payload is a *payload.
func (c *Carrier) StartAttempt(a *engine.Attempt) {
	b := c.connectionFor(a.Backend)
	if b == nil {
		// Every connection is full: the attempt is rejected without having run.
		a.Permit.Revoke()
		c.engine.Defer(func() { a.End(engine.AttemptEnd{Result: balancer.Rejected}) })
		return
	}
	p := &pendingAttempt{attempt: a, payload: a.Call.Payload.(*payload), msgid: b.newMsgid()}
	b.pending[p.msgid] = p
	a.Stop = func() {
		b.abandon(p) // ends only the attempt, as other calls share the connection
		c.engine.Defer(func() { a.End(engine.AttemptEnd{Result: balancer.Cancelled}) })
	}
	b.enqueue(p)
}

// connectionFor returns the connection to a backend with the fewest calls pending, or a new one; nil if all are full. A
// connection that is at most half full is used before another one is opened.
func (c *Carrier) connectionFor(backend *engine.Backend) *backendConn {
	leastLoaded, usable := c.leastLoaded(backend)
	atBackendLimit := usable >= c.config.MaxConnections
	if leastLoaded != nil {
		overHalf := len(leastLoaded.pending) > int(leastLoaded.window)/2
		if !overHalf || atBackendLimit || c.openCount >= c.config.MaxTotalConnections {
			return leastLoaded
		}
	}
	if atBackendLimit {
		return leastLoaded
	}
	if c.openCount >= c.config.MaxTotalConnections && !c.closeLongestIdle() {
		return leastLoaded
	}
	return c.open(backend)
}

// leastLoaded returns the connection to a backend with the fewest calls pending, nil if all are full, and how many
// connections to the backend are not retired.
func (c *Carrier) leastLoaded(backend *engine.Backend) (*backendConn, int) {
	var best *backendConn
	usable := 0
	for _, b := range c.connections[backend] {
		if b.retired {
			continue
		}
		usable++
		full := len(b.pending) >= int(b.window)
		if !full && (best == nil || len(b.pending) < len(best.pending)) {
			best = b
		}
	}
	return best, usable
}

// open begins to dial a backend. Calls can be sent on the connection at once: they wait for the dial.
func (c *Carrier) open(backend *engine.Backend) *backendConn {
	ctx, cancel := context.WithCancel(c.ctx)
	b := newBackendConn(c, backend, cancel)
	c.connections[backend] = append(c.connections[backend], b)
	c.openCount++
	go b.run(ctx)
	return b
}

// closeLongestIdle closes the connection that has been idle the longest, and returns false if none is idle.
func (c *Carrier) closeLongestIdle() bool {
	var longestIdle *backendConn
	for _, connections := range c.connections {
		for _, b := range connections {
			if len(b.pending) == 0 && !b.retired && (longestIdle == nil || b.idleSince < longestIdle.idleSince) {
				longestIdle = b
			}
		}
	}
	if longestIdle == nil {
		return false
	}
	longestIdle.retire()
	return true
}

// ReleaseIdle implements engine.Carrier.
func (c *Carrier) ReleaseIdle(backend *engine.Backend) {
	for _, b := range c.connections[backend] {
		if len(b.pending) == 0 {
			b.retire()
		}
	}
}

// RemoveBackend implements engine.Carrier. Pending calls go on; the backend's connections get no new call.
func (c *Carrier) RemoveBackend(backend *engine.Backend) {
	for _, b := range c.connections[backend] {
		b.retire()
	}
	delete(c.connections, backend)
}

// CloseExpired implements engine.Carrier.
func (c *Carrier) CloseExpired(now time.Duration) {
	for _, connections := range c.connections {
		for _, b := range connections {
			if len(b.pending) == 0 && c.maxIdle > 0 && now-b.idleSince >= c.maxIdle {
				b.retire()
			}
		}
	}
}
