package httpproxy

import (
	"container/list"
	"time"

	"marlreel/internal/sockets"
)

// evictOne closes the connection chosen by evictionCandidate, and reports whether there was one. The caller holds the lock.
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
	// stalledAfter is how long a request may make no progress before its connection is evicted ahead of any other. The
	// pauses of slowly writing clients are shorter.
	stalledAfter = 1200 * time.Millisecond
	// restedAfter is the idle time after which closing a connection is unlikely to coincide with its next request.
	restedAfter = time.Second
	// silentGrace is the time within which a client that has a request starts to send it.
	silentGrace = 100 * time.Millisecond
	// usualPause is an upper bound of most pauses of a slowly writing client.
	usualPause = 300 * time.Millisecond
)

// evictionCandidate returns the connection whose eviction does the least harm, or nil. A ranking by connection age would
// evict slowly writing clients before a mass of connections that never send anything; a ranking by past requests would
// evict clients for keeping their connection open.
func (cs *clientConns) evictionCandidate() *clientConn {
	grace := silentGrace
	if cs.silent.Len() > cs.maxOpen/4 {
		grace = 0 // so many silent connections at a time are not about to send requests
	}
	if e := cs.lingering.Front(); e != nil {
		return e.Value.(*clientConn)
	}
	for _, rank := range [...]struct {
		among *list.List
		since time.Duration // the least time without progress
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

// firstSilent returns the first connection of a list that has nothing to read, if it made no progress
// for at least since. A connection with unread bytes isn't silent: it is moved to the end of the list,
// and at most maxLooks connections are checked.
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

// evictForAccept evicts one connection if the process has no descriptor left, and reports whether there was one.
func (cs *clientConns) evictForAccept() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.evictOne()
}
