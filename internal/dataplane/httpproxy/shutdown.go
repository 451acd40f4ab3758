package httpproxy

import (
	"container/list"
	"time"

	"marlreel/internal/sockets"
)

// recentProgress is how lately something of a request must have come for it to count as in progress.
const recentProgress = 500 * time.Millisecond

// anyInProgress tells whether any connection is serving a request or receiving one. Called with the lock.
func (cs *clientConns) anyInProgress() bool {
	if len(cs.open) > cs.silent.Len()+cs.partial.Len()+cs.idle.Len()+cs.lingering.Len() {
		return true
	}
	for _, l := range [...]*list.List{&cs.silent, &cs.partial, &cs.idle} {
		for e := l.Back(); e != nil; e = e.Prev() {
			c := e.Value.(*clientConn)
			// A request that has been read completely is this process's, however long ago that was.
			if c.hasUnhandledRequest() {
				return true
			}
			if l == &cs.idle && !c.receivedAny {
				continue
			}
			if time.Since(c.lastProgress) < recentProgress || !sockets.Idle(c.Conn) {
				return true
			}
		}
	}
	return false
}

// endIdle ends idle connections, now and from now on.
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

// endAllIfQuiet ends all open connections if none is in progress, and tells whether it has.
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
