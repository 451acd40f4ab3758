package msgpackrpc

import (
	"context"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

const (
	// maxAbandoned is how many calls of one connection may have no owner any more whose
	// replies may still come. Past it, the connection gets no new call.
	maxAbandoned = 256
	// maxUnknownReplies is how many replies to nothing one connection may bring.
	maxUnknownReplies = 16
	// writeTimeout is how long a backend may take nothing of what is written to it.
	writeTimeout    = time.Second
	readBufferBytes = 4 << 10
)

// Counters are what went by without a caller who could be told. All only grow.
type Counters struct {
	LateReplies            atomic.Int64 // to calls that had been given up
	UnknownReplies         atomic.Int64 // to no call
	SlowCallers            atomic.Int64 // dropped, as they did not read their answers
	MalformedStreams       atomic.Int64 // connections ended for what came on them
	ForwardedNotifications atomic.Int64 // notifications that were sent on
	DroppedNotifications   atomic.Int64 // notifications that were not
}

// Carrier takes attempts to backends over MessagePack-RPC. Connections are shared: many
// calls are open on one, each under a msgid of the connection's own. The engine's
// goroutine calls it and owns all but the sockets; each connection has a goroutine
// that writes and one that reads.
type Carrier struct {
	engine         *engine.Engine
	config         Backend
	limits         Limits
	connectTimeout time.Duration
	maxIdle        time.Duration // 0 is for ever
	connections    map[*engine.Backend][]*backendConn
	openCount      int // links
	ctx            context.Context
	cancel         context.CancelFunc
	counters       *Counters
}

// NewCarrier makes a carrier. The configuration has been validated.
func NewCarrier(e *engine.Engine, cfg *Config, counts *Counters) *Carrier {
	caps := e.Settings().Caps
	c := &Carrier{
		engine: e, config: cfg.Backend, limits: Limits{MaxMessageBytes: cfg.MaxMessageBytes, MaxDepth: cfg.MaxDepth},
		connectTimeout: caps.ConnectTimeout, maxIdle: caps.ConnIdle - caps.ConnIdle/4, connections: map[*engine.Backend][]*backendConn{}, counters: counts,
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close breaks all connections. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// Connections is how many are open, those being dialled among them.
func (c *Carrier) Connections() int { return c.openCount }

// payload is a call as it came, without its metadata.
type payload struct {
	method       string
	args         []byte // the parameters, one after the other
	count        int
	meta         Metadata
	given        bool // the call came with metadata, and goes on with them
	notification bool
}

// encode writes the call out, so that one write sends it and its count tells whether
// the last byte went out.
func (p *payload) encode(id uint32, left time.Duration) []byte {
	b := make([]byte, 0, len(p.args)+len(p.method)+160)
	if p.notification {
		b = appendNotification(b, p.method)
	} else {
		b = appendRequest(b, id, p.method)
	}
	n := p.count
	if p.given {
		n++
	}
	b = append(appendArray(b, n), p.args...)
	if p.given {
		b = appendMeta(b, &p.meta, max(0.001, float64(left)/float64(time.Millisecond)))
	}
	return b
}

// StartAttempt implements engine.Carrier. The call's payload is a *payload.
func (c *Carrier) StartAttempt(a *engine.Attempt) {
	l := c.pick(a.Backend)
	if l == nil {
		// Every connection has as many calls open as it may: one more is too many for
		// this backend, and has not run.
		a.Permit.Revoke()
		c.engine.Defer(func() { a.End(engine.AttemptEnd{Result: balancer.Rejected}) })
		return
	}
	f := &pendingAttempt{attempt: a, payload: a.Call.Payload.(*payload), msgid: l.newMsgid()}
	l.pending[f.msgid] = f
	a.Stop = func() {
		l.abandon(f) // the connection is shared and stays: this is the attempt's end
		c.engine.Defer(func() { a.End(engine.AttemptEnd{Result: balancer.Cancelled}) })
	}
	l.enqueue(f)
}

// pick gives the connection to a backend with the fewest calls open, or a new one.
func (c *Carrier) pick(b *engine.Backend) *backendConn {
	var best *backendConn
	used := 0
	for _, l := range c.connections[b] {
		if l.retired {
			continue
		}
		used++
		if len(l.pending) < int(l.window) && (best == nil || len(l.pending) < len(best.pending)) {
			best = l
		}
	}
	// A connection that is idle is taken before another is opened; one that has calls
	// is shared only when no more may be opened, or it has few.
	if best != nil && (len(best.pending) <= int(best.window)/2 || used >= c.config.MaxConnections || c.openCount >= c.config.MaxTotalConnections) {
		return best
	}
	if used >= c.config.MaxConnections || c.openCount >= c.config.MaxTotalConnections && !c.closeIdlest() {
		return best
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &backendConn{
		carrier: c, backend: b, pending: map[uint32]*pendingAttempt{}, abandoned: map[uint32]struct{}{}, window: float64(c.config.MaxPipeline),
		cancel: cancel, wake: make(chan struct{}, 1), idleSince: c.engine.Now(),
	}
	c.connections[b] = append(c.connections[b], l)
	c.openCount++
	go l.run(ctx)
	return l
}

// closeIdlest closes the connection that has been idle the longest, if there is one.
func (c *Carrier) closeIdlest() bool {
	var oldest *backendConn
	for _, links := range c.connections {
		for _, l := range links {
			if len(l.pending) == 0 && !l.retired && (oldest == nil || l.idleSince < oldest.idleSince) {
				oldest = l
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retire()
	return true
}

// ReleaseIdle implements engine.Carrier.
func (c *Carrier) ReleaseIdle(b *engine.Backend) {
	for _, l := range c.connections[b] {
		if len(l.pending) == 0 {
			l.retire()
		}
	}
}

// RemoveBackend implements engine.Carrier. Calls that are open go on to their own ends, on
// connections that nobody gets any more.
func (c *Carrier) RemoveBackend(b *engine.Backend) {
	for _, l := range c.connections[b] {
		l.retire()
	}
	delete(c.connections, b)
}

// CloseExpired implements engine.Carrier.
func (c *Carrier) CloseExpired(now time.Duration) {
	for _, links := range c.connections {
		for _, l := range links {
			if len(l.pending) == 0 && c.maxIdle > 0 && now-l.idleSince >= c.maxIdle {
				l.retire()
			}
		}
	}
}
