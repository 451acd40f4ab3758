package httpproxy

import (
	"container/list"
	"time"

	"marlreel/internal/sockets"
)

// evictOne closes the connection that can best be spared, and tells whether there was one. Called with the lock.
func (cs *clientConns) evictOne() bool {
	victim := cs.evictionCandidate()
	if victim == nil {
		return false
	}
	cs.remove(victim)
	victim.Conn.Close()
	return true
}

const (
	// stalledAfter is how long a request may make no progress before its connection is evicted ahead of any other. A
	// client that writes slowly writes on in less.
	stalledAfter = 1200 * time.Millisecond
	// restedAfter is how long a connection has to have been idle so that closing it will hardly cross the next request.
	restedAfter = time.Second
	// silentGrace is how long a client that has something to ask takes to begin, at most.
	silentGrace = 100 * time.Millisecond
	// usualPause is how long one that writes slowly pauses, as a rule at most.
	usualPause = 300 * time.Millisecond
)

// evictionCandidate gives the connection that can best be spared, or nil. Ranked by the time since they connected, those
// who write slowly would go before a crowd of those who never will; ranked by what they have asked for, those who keep
// their connection would go for it.
func (cs *clientConns) evictionCandidate() *clientConn {
	grace := silentGrace
	if cs.silent.Len() > cs.maxOpen/4 {
		grace = 0 // so many at a time are a crowd that never will
	}
	if e := cs.lingering.Front(); e != nil {
		return e.Value.(*clientConn)
	}
	for _, rank := range [...]struct {
		among *list.List
		since time.Duration // at least so long
	}{
		{&cs.silent, stalledAfter},
		{&cs.partial, stalledAfter},
		{&cs.idle, restedAfter},
		{&cs.silent, grace},
		{&cs.partial, usualPause},
		{&cs.idle, 0},
		{&cs.silent, 0},
		{&cs.partial, 0},
	} {
		if c := firstSilent(rank.among, rank.since); c != nil {
			return c
		}
	}
	return nil
}

// firstSilent gives the first of a list that has nothing to read, if nothing has come there for
// so long. Where a request has come and is not read yet a connection isn't silent: it goes
// to the end, and only so many are looked at.
func firstSilent(l *list.List, since time.Duration) *clientConn {
	const maxLooks = 8
	for range min(maxLooks, l.Len()) {
		c := l.Front().Value.(*clientConn)
		if time.Since(c.lastProgress) < since {
			return nil
		}
		if sockets.Idle(c.Conn) {
			return c
		}
		l.MoveToBack(c.element)
	}
	return nil
}

// evictForAccept evicts one connection where the process has no descriptor left, and tells whether there was one.
func (cs *clientConns) evictForAccept() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.evictOne()
}
