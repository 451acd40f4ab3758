package msgpackrpc

import (
	"context"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

const (
	// mostOrphans is how many calls of one connection may have no owner any more whose
	// replies may still come. Past it, the connection gets no new call.
	mostOrphans = 256
	// mostUnknown is how many replies to nothing one connection may bring.
	mostUnknown = 16
	// writeTimeout is how long a backend may take nothing of what is written to it.
	writeTimeout = time.Second
	readStep     = 4 << 10
)

// Counts are what went by without a caller who could be told. All only grow.
type Counts struct {
	LateReplies    atomic.Int64 // to calls that had been given up
	UnknownReplies atomic.Int64 // to no call
	SlowCallers    atomic.Int64 // dropped, as they did not read their answers
	BadStreams     atomic.Int64 // connections ended for what came on them
	Notified       atomic.Int64 // notifications that were sent on
	DroppedNotes   atomic.Int64 // notifications that were not
}

// Carrier takes attempts to backends over MessagePack-RPC. Connections are shared: many
// calls are open on one, each under a msgid of the connection's own. The engine's
// goroutine calls it and owns all but the sockets; each connection has a goroutine
// that writes and one that reads.
type Carrier struct {
	engine         *engine.Engine
	cfg            Backend
	limits         Limits
	connectTimeout time.Duration
	maxIdle        time.Duration // 0 is for ever
	peers          map[*engine.Backend][]*link
	open           int // links
	ctx            context.Context
	cancel         context.CancelFunc
	counts         *Counts
}

// NewCarrier makes a carrier. The configuration has been validated.
func NewCarrier(e *engine.Engine, cfg *Config, counts *Counts) *Carrier {
	caps := e.Settings().Caps
	c := &Carrier{
		engine: e, cfg: cfg.Backend, limits: Limits{Message: cfg.MessageBytes, Depth: cfg.Nesting},
		connectTimeout: caps.ConnectTimeout, maxIdle: caps.ConnIdle - caps.ConnIdle/4, peers: map[*engine.Backend][]*link{}, counts: counts,
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close breaks all connections. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// Connections is how many are open, those being dialled among them.
func (c *Carrier) Connections() int { return c.open }

// payload is a call as it came, without its metadata.
type payload struct {
	method string
	args   []byte // the parameters, one after the other
	count  int
	meta   Meta
	given  bool // the call came with metadata, and goes on with them
	notify bool
}

// encode writes the call out, so that one write sends it and its count tells whether
// the last byte went out.
func (p *payload) encode(id uint32, left time.Duration) []byte {
	b := make([]byte, 0, len(p.args)+len(p.method)+160)
	if p.notify {
		b = append(appendArray(b, 3), typeNotification)
	} else {
		b = appendUint(append(appendArray(b, 4), typeRequest), uint64(id))
	}
	b = appendString(b, p.method)
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
	f := &flight{a: a, body: a.Call.Payload.(*payload), id: l.newID()}
	l.open[f.id] = f
	a.Stop = func() {
		l.giveUp(f) // the connection is shared and stays: this is the attempt's end
		c.engine.Defer(func() { a.End(engine.AttemptEnd{Result: balancer.Cancelled}) })
	}
	l.enqueue(f)
}

// pick gives the connection to a backend with the fewest calls open, or a new one.
func (c *Carrier) pick(b *engine.Backend) *link {
	var best *link
	used := 0
	for _, l := range c.peers[b] {
		if l.retired {
			continue
		}
		used++
		if len(l.open) < int(l.window) && (best == nil || len(l.open) < len(best.open)) {
			best = l
		}
	}
	// A connection that is idle is taken before another is opened; one that has calls
	// is shared only when no more may be opened, or it has few.
	if best != nil && (len(best.open) <= int(best.window)/2 || used >= c.cfg.Connections || c.open >= c.cfg.All) {
		return best
	}
	if used >= c.cfg.Connections || c.open >= c.cfg.All && !c.spare() {
		return best
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		of: c, backend: b, open: map[uint32]*flight{}, orphans: map[uint32]struct{}{}, window: float64(c.cfg.Pipeline),
		cancel: cancel, wake: make(chan struct{}, 1), idle: c.engine.Now(),
	}
	c.peers[b] = append(c.peers[b], l)
	c.open++
	go l.run(ctx)
	return l
}

// spare closes the connection that has been idle the longest, if there is one.
func (c *Carrier) spare() bool {
	var oldest *link
	for _, links := range c.peers {
		for _, l := range links {
			if len(l.open) == 0 && !l.retired && (oldest == nil || l.idle < oldest.idle) {
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
	for _, l := range c.peers[b] {
		if len(l.open) == 0 {
			l.retire()
		}
	}
}

// RemoveBackend implements engine.Carrier. Calls that are open go on to their own ends, on
// connections that nobody gets any more.
func (c *Carrier) RemoveBackend(b *engine.Backend) {
	for _, l := range c.peers[b] {
		l.retire()
	}
	delete(c.peers, b)
}

// CloseExpired implements engine.Carrier.
func (c *Carrier) CloseExpired(now time.Duration) {
	for _, links := range c.peers {
		for _, l := range links {
			if len(l.open) == 0 && c.maxIdle > 0 && now-l.idle >= c.maxIdle {
				l.retire()
			}
		}
	}
}
