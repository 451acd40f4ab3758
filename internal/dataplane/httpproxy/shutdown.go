package httpproxy

import (
	"container/list"
	"time"

	"marlreel/internal/sockets"
)

// recentProgress is how lately something must have come of a request for it to be on its way.
const recentProgress = 500 * time.Millisecond

// anyInProgress tells whether any connection has a request in hand or on its way. Called with the lock.
func (cs *clientConns) anyInProgress() bool {
	if len(cs.open) > cs.silent.Len()+cs.partial.Len()+cs.idle.Len()+cs.lingering.Len() {
		return true
	}
	for _, l := range [...]*list.List{&cs.silent, &cs.partial, &cs.idle} {
		for e := l.Back(); e != nil; e = e.Prev() {
			c := e.Value.(*clientConn)
			// Danger: a request that has been read whole is this process's, however long ago that was.
			if c.hasUnhandledRequest() || (l != &cs.idle || c.receivedAny) && (time.Since(c.lastProgress) < recentProgress || !sockets.Idle(c.Conn)) {
				return true
			}
		}
	}
	return false
}

// endIdle ends what rests between two requests, now and from now on.
func (cs *clientConns) endIdle() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.ending = true
	for e := cs.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); !c.receivedAny {
			c.end()
		}
	}
}

// endAllIfQuiet ends all that is open, if nothing moves, and tells whether it has.
func (cs *clientConns) endAllIfQuiet() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.anyInProgress() {
		return false
	}
	for c := range cs.open {
		c.end()
	}
	return true
}

// anyLingering tells whether a connection that has ended is still read by its client.
func (cs *clientConns) anyLingering() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.lingering.Len() > 0
}
