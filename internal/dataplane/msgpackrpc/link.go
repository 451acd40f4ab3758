package msgpackrpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// link is one connection to a backend. The engine's goroutine owns it, but for what is
// marked.
type link struct {
	of      *Carrier
	backend *engine.Backend
	open    map[uint32]*flight
	orphans map[uint32]struct{} // msgids of calls that were given up and may be answered yet
	lastID  uint32
	window  float64 // how many calls it may have open
	idle    time.Duration
	retired bool // gets no new call, and ends with its last one
	unknown int
	over    bool

	cancel context.CancelFunc
	mu     sync.Mutex // queue
	queue  []*flight
	wake   chan struct{}
}

// flight is an attempt on a link.
type flight struct {
	a    *engine.Attempt
	id   uint32
	body *payload
	gone bool        // the engine waits for it no more
	sent atomic.Bool // its last byte was written: from then on it may have run
	note string      // instead of a call: a notification that it was given up
}

// newID gives a msgid that no call of the connection has, nor had and may be answered by.
func (l *link) newID() uint32 {
	for {
		l.lastID++ // and round again at 2^32
		_, open := l.open[l.lastID]
		_, orphan := l.orphans[l.lastID]
		if !open && !orphan {
			return l.lastID
		}
	}
}

func (l *link) enqueue(f *flight) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// giveUp leaves a call without an owner: the engine has ended its attempt, or is about
// to. What may have gone out may still be answered, and its msgid is kept from use.
func (l *link) giveUp(f *flight) {
	if l.open[f.id] != f {
		return
	}
	delete(l.open, f.id)
	f.gone = true
	if f.a.Permit.Claimed() {
		l.orphans[f.id] = struct{}{}
		l.window = max(1, l.window/2)
		if name := l.of.cfg.Cancel; name != "" {
			l.enqueue(&flight{note: name, id: f.id})
		}
		if len(l.orphans) > mostOrphans {
			l.retired = true
		}
	}
	l.rest()
}

// rest notes when nothing is open any more.
func (l *link) rest() {
	if len(l.open) > 0 {
		return
	}
	l.idle = l.of.engine.Now()
	if l.retired {
		l.cancel()
	}
}

// retire lets the connection end with its last call.
func (l *link) retire() {
	l.retired = true
	l.rest()
}

// ---- a connection's end and its replies, on the engine's goroutine ----

// broke takes a connection's end. Nothing is written to it any more.
func (l *link) broke() {
	if l.over {
		return
	}
	l.over, l.retired = true, true
	c := l.of
	c.open--
	links := c.peers[l.backend]
	for i, other := range links {
		if other == l {
			links = append(links[:i:i], links[i+1:]...)
			break
		}
	}
	if len(links) == 0 {
		delete(c.peers, l.backend)
	} else {
		c.peers[l.backend] = links
	}
	for id, f := range l.open {
		delete(l.open, id)
		// Where its last byte never left, it never ran.
		result := balancer.ConnectFailed
		if f.sent.Load() {
			result = balancer.Reset
		} else {
			f.a.Permit.Revoke()
		}
		f.a.End(engine.AttemptEnd{Result: result})
	}
}

// moot ends a call that was not written after all; left: its caller was found to have gone.
func (l *link) moot(f *flight, left bool) {
	if l.open[f.id] == f {
		delete(l.open, f.id)
		f.a.End(engine.AttemptEnd{Result: balancer.NotSent, ClientGone: left})
		l.rest()
	}
}

// notified ends a notification that was written: more is never known of it. The call
// is over with it, so that nothing is sent again, and the backend's delay is not
// learnt from it.
func (l *link) notified(f *flight) {
	if l.open[f.id] == f {
		delete(l.open, f.id)
		l.of.counts.Notified.Add(1)
		f.a.End(engine.AttemptEnd{Result: balancer.Cancelled, CompletesCall: true})
		l.rest()
	}
}

// replied takes a reply.
func (l *link) replied(m message) {
	if _, orphan := l.orphans[m.id]; orphan {
		delete(l.orphans, m.id)
		l.of.counts.LateReplies.Add(1)
		return
	}
	f := l.open[m.id]
	if f == nil || !f.a.Permit.Claimed() {
		l.of.counts.UnknownReplies.Add(1)
		if l.unknown++; l.unknown > mostUnknown {
			l.retired = true
			l.cancel() // whoever answers what was not asked may answer anything
		}
		return
	}
	delete(l.open, m.id)
	l.window = min(float64(l.of.cfg.Pipeline), l.window+1/l.window)
	f.a.End(endOf(m))
	l.rest()
}

// endOf is what a reply means to the engine. Only an answer that a caller may get goes
// with it: of a failure or a refusal the proxy words its own.
func endOf(m message) engine.AttemptEnd {
	if isNil(m.error) {
		return engine.AttemptEnd{Result: balancer.OK, Reply: &reply{error: m.error, result: m.result}}
	}
	result := readError(m.error)
	if result == balancer.Unprocessable {
		return engine.AttemptEnd{Result: result, Reply: &reply{error: m.error, result: m.result}}
	}
	return engine.AttemptEnd{Result: result}
}

// reply is a backend's answer, as it came.
type reply struct{ error, result []byte }

// readError tells what a backend's error means. See the package comment.
func readError(v []byte) balancer.Result {
	result := balancer.Unprocessable
	mapEach(v, func(key string, value []byte) {
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
