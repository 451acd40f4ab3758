package msgpackrpc

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// backendConn is a connection to a backend, from its dial on. The engine's goroutine owns it, but for what is
// marked; its run goroutine writes, and one of that reads.
type backendConn struct {
	carrier        *Carrier
	backend        *engine.Backend
	pending        map[uint32]*pendingAttempt // by msgid
	abandoned      map[uint32]struct{}        // msgids of calls without an owner that may still be answered
	lastMsgid      uint32
	window         float64       // how many calls may be pending: additive increase, multiplicative decrease
	idleSince      time.Duration // on the engine's clock
	retired        bool          // gets no new call, and ends with its last one
	unknownReplies int
	ended          bool

	cancel context.CancelFunc // ends the connection; any goroutine may call it
	wake   chan struct{}      // the writer is to look at the queue

	mu    sync.Mutex
	queue []*pendingAttempt // that wait for the writer; guarded by mu
}

// pendingAttempt is an attempt on a connection, or a notification that one was cancelled.
type pendingAttempt struct {
	attempt      *engine.Attempt
	msgid        uint32
	payload      *payload
	written      atomic.Bool // its last byte went out: from then on it may have run
	cancelMethod string      // in place of an attempt: the method of the notification
}

func newBackendConn(c *Carrier, backend *engine.Backend, cancel context.CancelFunc) *backendConn {
	return &backendConn{
		carrier: c, backend: backend, cancel: cancel, wake: make(chan struct{}, 1),
		pending: map[uint32]*pendingAttempt{}, abandoned: map[uint32]struct{}{},
		window: float64(c.config.MaxPipeline), idleSince: c.engine.Now(),
	}
}

// newMsgid returns a msgid under which no call of the connection is pending or may still be answered.
func (b *backendConn) newMsgid() uint32 {
	for {
		b.lastMsgid++ // and on from 0 after 2^32-1
		_, pending := b.pending[b.lastMsgid]
		_, abandoned := b.abandoned[b.lastMsgid]
		if !pending && !abandoned {
			return b.lastMsgid
		}
	}
}

func (b *backendConn) enqueue(p *pendingAttempt) {
	b.mu.Lock()
	b.queue = append(b.queue, p)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeQueue takes what waits for the writer.
func (b *backendConn) takeQueue() []*pendingAttempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.queue
	b.queue = nil
	return queue
}

// removePending removes an attempt, and returns false if it is no longer pending.
func (b *backendConn) removePending(p *pendingAttempt) bool {
	if b.pending[p.msgid] != p {
		return false
	}
	delete(b.pending, p.msgid)
	return true
}

// abandon leaves a call without an owner: the engine has ended its attempt, or is about to. A call that may have
// been written may still be answered, so its msgid is not used again before.
func (b *backendConn) abandon(p *pendingAttempt) {
	if !b.removePending(p) {
		return
	}
	if p.attempt.Permit.Claimed() {
		b.abandoned[p.msgid] = struct{}{}
		b.window = max(1, b.window/2)
		method := b.carrier.config.CancelMethod
		if method != "" {
			b.enqueue(&pendingAttempt{cancelMethod: method, msgid: p.msgid})
		}
		if len(b.abandoned) > maxAbandoned {
			b.retired = true
		}
	}
	b.updateIdle()
}

// updateIdle notes when nothing is pending any more, and ends a retired connection then.
func (b *backendConn) updateIdle() {
	if len(b.pending) > 0 {
		return
	}
	b.idleSince = b.carrier.engine.Now()
	if b.retired {
		b.cancel()
	}
}

// retire lets the connection end with its last call.
func (b *backendConn) retire() {
	b.retired = true
	b.updateIdle()
}

// onEnded ends what is pending on a connection that has ended. Nothing is written to it any more.
func (b *backendConn) onEnded() {
	if b.ended {
		return
	}
	b.ended = true
	b.retired = true
	b.carrier.onConnEnded(b)
	for msgid, p := range b.pending {
		delete(b.pending, msgid)
		result := balancer.Reset
		if !p.written.Load() { // its last byte never left, so it never ran
			result = balancer.ConnectFailed
			p.attempt.Permit.Revoke()
		}
		p.attempt.End(engine.AttemptEnd{Result: result})
	}
}

// onNotSent ends an attempt that was not written after all; clientLeft: as its client had left.
func (b *backendConn) onNotSent(p *pendingAttempt, clientLeft bool) {
	if b.removePending(p) {
		p.attempt.End(engine.AttemptEnd{Result: balancer.NotSent, ClientGone: clientLeft})
		b.updateIdle()
	}
}

// onNotificationSent ends a notification that was written: no more will be known of it. Its call is over with it,
// so that nothing is sent again, and the backend's delay is not learned from it.
func (b *backendConn) onNotificationSent(p *pendingAttempt) {
	if b.removePending(p) {
		b.carrier.counters.ForwardedNotifications.Add(1)
		p.attempt.End(engine.AttemptEnd{Result: balancer.Cancelled, CompletesCall: true})
		b.updateIdle()
	}
}

// onReply ends the attempt that a reply answers.
func (b *backendConn) onReply(m message) {
	_, abandoned := b.abandoned[m.id]
	if abandoned {
		delete(b.abandoned, m.id)
		b.carrier.counters.LateReplies.Add(1)
		return
	}
	p := b.pending[m.id]
	if p == nil || !p.attempt.Permit.Claimed() {
		b.onUnknownReply()
		return
	}
	delete(b.pending, m.id)
	b.window = min(float64(b.carrier.config.MaxPipeline), b.window+1/b.window)
	p.attempt.End(outcomeOf(m))
	b.updateIdle()
}

// onUnknownReply counts a reply to no call. A backend that brings many might answer any call with any reply.
func (b *backendConn) onUnknownReply() {
	b.carrier.counters.UnknownReplies.Add(1)
	b.unknownReplies++
	if b.unknownReplies > maxUnknownReplies {
		b.retired = true
		b.cancel()
	}
}

// onConnEnded forgets a connection.
func (c *Carrier) onConnEnded(b *backendConn) {
	c.openCount--
	connections := c.connections[b.backend]
	i := slices.Index(connections, b)
	if i >= 0 {
		connections = append(connections[:i:i], connections[i+1:]...) // a new array: a caller may range over the old one
	}
	if len(connections) == 0 {
		delete(c.connections, b.backend)
		return
	}
	c.connections[b.backend] = connections
}
