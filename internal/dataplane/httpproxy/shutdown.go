package httpproxy

import (
	"container/list"
	"time"

	"marlreel/internal/sockets"
)

// recentProgress is the time since the last bytes of a request within which it counts as in progress.
const recentProgress = 500 * time.Millisecond

// anyInProgress reports whether any connection is serving or receiving a request. The caller holds the lock.
func (cs *clientConns) anyInProgress() bool {
	if len(cs.open) > cs.silent.Len()+cs.partial.Len()+cs.idle.Len()+cs.lingering.Len() {
		return true
	}
	for _, l := range [...]*list.List{&cs.silent, &cs.partial, &cs.idle} {
		for e := l.Back(); e != nil; e = e.Prev() {
			c := e.Value.(*clientConn)
			// A request that has been read completely must be served by this process, however long ago that was.
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

// endIdle ends idle connections, including those that become idle later.
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

// endAllIfQuiet ends all open connections if none is in progress, and reports whether it did.
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

// anyLingering reports whether a closed connection is still waiting for its client to read what was written.
func (cs *clientConns) anyLingering() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.lingering.Len() > 0
}
