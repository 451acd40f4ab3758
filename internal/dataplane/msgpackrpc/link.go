package msgpackrpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// backendConn is one connection to a backend. The engine's goroutine owns it, but for what is
// marked.
type backendConn struct {
	carrier        *Carrier
	backend        *engine.Backend
	pending        map[uint32]*pendingAttempt
	abandoned      map[uint32]struct{} // msgids of calls that were given up and may be answered yet
	lastMsgid      uint32
	window         float64 // how many calls it may have open
	idleSince      time.Duration
	retired        bool // gets no new call, and ends with its last one
	unknownReplies int
	ended          bool

	cancel context.CancelFunc
	mu     sync.Mutex // queue
	queue  []*pendingAttempt
	wake   chan struct{}
}

// pendingAttempt is an attempt on a link.
type pendingAttempt struct {
	attempt      *engine.Attempt
	msgid        uint32
	payload      *payload
	gone         bool        // the engine waits for it no more
	written      atomic.Bool // its last byte was written: from then on it may have run
	cancelMethod string      // instead of a call: a notification that it was given up
}

// newMsgid gives a msgid that no call of the connection has, nor had and may be answered by.
func (l *backendConn) newMsgid() uint32 {
	for {
		l.lastMsgid++ // and round again at 2^32
		_, open := l.pending[l.lastMsgid]
		_, orphan := l.abandoned[l.lastMsgid]
		if !open && !orphan {
			return l.lastMsgid
		}
	}
}

func (l *backendConn) enqueue(f *pendingAttempt) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// abandon leaves a call without an owner: the engine has ended its attempt, or is about
// to. What may have gone out may still be answered, and its msgid is kept from use.
func (l *backendConn) abandon(f *pendingAttempt) {
	if l.pending[f.msgid] != f {
		return
	}
	delete(l.pending, f.msgid)
	f.gone = true
	if f.attempt.Permit.Claimed() {
		l.abandoned[f.msgid] = struct{}{}
		l.window = max(1, l.window/2)
		if name := l.carrier.config.CancelMethod; name != "" {
			l.enqueue(&pendingAttempt{cancelMethod: name, msgid: f.msgid})
		}
		if len(l.abandoned) > maxAbandoned {
			l.retired = true
		}
	}
	l.updateIdle()
}

// updateIdle notes when nothing is open any more.
func (l *backendConn) updateIdle() {
	if len(l.pending) > 0 {
		return
	}
	l.idleSince = l.carrier.engine.Now()
	if l.retired {
		l.cancel()
	}
}

// retire lets the connection end with its last call.
func (l *backendConn) retire() {
	l.retired = true
	l.updateIdle()
}

// ---- a connection's end and its replies, on the engine's goroutine ----

// onEnded takes a connection's end. Nothing is written to it any more.
func (l *backendConn) onEnded() {
	if l.ended {
		return
	}
	l.ended, l.retired = true, true
	c := l.carrier
	c.openCount--
	links := c.connections[l.backend]
	for i, other := range links {
		if other == l {
			links = append(links[:i:i], links[i+1:]...)
			break
		}
	}
	if len(links) == 0 {
		delete(c.connections, l.backend)
	} else {
		c.connections[l.backend] = links
	}
	for id, f := range l.pending {
		delete(l.pending, id)
		// Where its last byte never left, it never ran.
		result := balancer.ConnectFailed
		if f.written.Load() {
			result = balancer.Reset
		} else {
			f.attempt.Permit.Revoke()
		}
		f.attempt.End(engine.AttemptEnd{Result: result})
	}
}

// onNotSent ends a call that was not written after all; left: its caller was found to have gone.
func (l *backendConn) onNotSent(f *pendingAttempt, left bool) {
	if l.pending[f.msgid] == f {
		delete(l.pending, f.msgid)
		f.attempt.End(engine.AttemptEnd{Result: balancer.NotSent, ClientGone: left})
		l.updateIdle()
	}
}

// onNotificationSent ends a notification that was written: more is never known of it. The call
// is over with it, so that nothing is sent again, and the backend's delay is not
// learnt from it.
func (l *backendConn) onNotificationSent(f *pendingAttempt) {
	if l.pending[f.msgid] == f {
		delete(l.pending, f.msgid)
		l.carrier.counters.ForwardedNotifications.Add(1)
		f.attempt.End(engine.AttemptEnd{Result: balancer.Cancelled, CompletesCall: true})
		l.updateIdle()
	}
}

// onReply takes a reply.
func (l *backendConn) onReply(m message) {
	if _, orphan := l.abandoned[m.id]; orphan {
		delete(l.abandoned, m.id)
		l.carrier.counters.LateReplies.Add(1)
		return
	}
	f := l.pending[m.id]
	if f == nil || !f.attempt.Permit.Claimed() {
		l.carrier.counters.UnknownReplies.Add(1)
		if l.unknownReplies++; l.unknownReplies > maxUnknownReplies {
			l.retired = true
			l.cancel() // whoever answers what was not asked may answer anything
		}
		return
	}
	delete(l.pending, m.id)
	l.window = min(float64(l.carrier.config.MaxPipeline), l.window+1/l.window)
	f.attempt.End(outcomeOf(m))
	l.updateIdle()
}

// outcomeOf is what a reply means to the engine. Only an answer that a caller may get goes
// with it: of a failure or a refusal the proxy words its own.
func outcomeOf(m message) engine.AttemptEnd {
	if isNil(m.error) {
		return engine.AttemptEnd{Result: balancer.OK, Reply: &reply{error: m.error, result: m.result}}
	}
	result := classifyError(m.error)
	if result == balancer.Unprocessable {
		return engine.AttemptEnd{Result: result, Reply: &reply{error: m.error, result: m.result}}
	}
	return engine.AttemptEnd{Result: result}
}

// reply is a backend's answer, as it came.
type reply struct{ error, result []byte }

// classifyError tells what a backend's error means. See the package comment.
func classifyError(v []byte) balancer.Result {
	result := balancer.Unprocessable
	forEachPair(v, func(key string, value []byte) {
		on, _ := readBool(value)
		switch {
		case key == "$unprocessed" && on:
			result = balancer.Rejected
		case key == "$failed" && on && result != balancer.Rejected:
			result = balancer.Error
		}
	})
	return result
}
