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

// backendConn is a connection to a backend, from its dial on. Unless a field says otherwise, only the engine's goroutine
// uses it. The run goroutine writes to the connection, and another one that it starts reads.
type backendConn struct {
	carrier        *Carrier
	backend        *engine.Backend
	pending        map[uint32]*pendingAttempt // by msgid
	abandoned      map[uint32]struct{}        // msgids of abandoned calls that may still be answered
	lastMsgid      uint32
	window         float64       // limit of pending calls: additive increase, multiplicative decrease
	idleSince      time.Duration // on the engine's clock
	retired        bool          // gets no new call, and ends with its last pending one
	unknownReplies int
	ended          bool

	cancel context.CancelFunc // ends the connection; any goroutine may call it
	wake   chan struct{}      // makes the writer check the queue

	mu    sync.Mutex
	queue []*pendingAttempt // attempts that wait for the writer; guarded by mu
}

// pendingAttempt is an attempt on a connection, or a notification that one was cancelled.
type pendingAttempt struct {
	attempt      *engine.Attempt
	msgid        uint32
	payload      *payload
	written      atomic.Bool // its last byte was written, so it may have run
	cancelMethod string      // the method of the notification; "": this is an attempt
}

func newBackendConn(c *Carrier, backend *engine.Backend, cancel context.CancelFunc) *backendConn {
	return &backendConn{
		carrier: c, backend: backend, cancel: cancel, wake: make(chan struct{}, 1),
		pending: map[uint32]*pendingAttempt{}, abandoned: map[uint32]struct{}{},
		window: float64(c.config.MaxPipeline), idleSince: c.engine.Now(),
	}
}

// newMsgid returns a msgid that no pending call of the connection has, and no abandoned one that may still be answered.
func (b *backendConn) newMsgid() uint32 {
	for {
		b.lastMsgid++ // wraps around to 0 after 2^32-1
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

// takeQueue takes the attempts that wait for the writer.
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

// abandon removes an attempt that the engine has ended or is about to end. If the call may have been written, it may
// still be answered, so its msgid is not reused before.
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

// updateIdle records since when nothing has been pending, and ends a retired connection then.
func (b *backendConn) updateIdle() {
	if len(b.pending) > 0 {
		return
	}
	b.idleSince = b.carrier.engine.Now()
	if b.retired {
		b.cancel()
	}
}

// retire makes the connection end with its last pending call.
func (b *backendConn) retire() {
	b.retired = true
	b.updateIdle()
}

// onEnded ends the attempts that are pending on a connection that has ended. Nothing is written to it any more.
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
		if !p.written.Load() { // its last byte was never written, so it never ran
			result = balancer.ConnectFailed
			p.attempt.Permit.Revoke()
		}
		p.attempt.End(engine.AttemptEnd{Result: result})
	}
}

// onNotSent ends an attempt that was not written; clientLeft says that this is because its client has disconnected.
func (b *backendConn) onNotSent(p *pendingAttempt, clientLeft bool) {
	if b.removePending(p) {
		p.attempt.End(engine.AttemptEnd{Result: balancer.NotSent, ClientGone: clientLeft})
		b.updateIdle()
	}
}

// onNotificationSent ends a notification that was written, as there will be no reply to it. That also completes its call,
// so that it is never sent again and the backend's latency is not learned from it.
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

// onUnknownReply counts a reply that matches no call. A connection with many of them is closed, because its replies
// might be matched to the wrong calls.
func (b *backendConn) onUnknownReply() {
	b.carrier.counters.UnknownReplies.Add(1)
	b.unknownReplies++
	if b.unknownReplies > maxUnknownReplies {
		b.retired = true
		b.cancel()
	}
}

// onConnEnded removes a connection that has ended.
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
