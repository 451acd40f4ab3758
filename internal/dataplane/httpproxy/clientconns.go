package httpproxy

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// clientConns is the table of client connections, and keeps them within a limit. It always accepts: a listener that waits
// at the limit lets connections that ask nothing keep out those that do, for as long as they like. At the limit, the
// connection that has been silent the longest is evicted; one that is serving a request never is.
type clientConns struct {
	net.Listener
	maxOpen int

	mu   sync.Mutex
	open map[*clientConn]struct{}
	// Connections that are not serving a request, in each list the longest without progress first: those on which
	// nothing has come, or only what was rejected; those on which part of a request has; and those that are idle
	// between two requests. And those that have been closed, and wait for their client to have read what was written.
	silent, partial, idle, lingering list.List

	ending    bool          // idle connections are ended, also those that become idle
	allClosed chan struct{} // closed with the last connection; nil: nobody waits for that

	active                        chan *clientConn // those on which something has come for the first time
	listenerClosed                chan struct{}    // closed when the listener accepts no more; listenerErr says why
	acceptStopped                 chan struct{}    // closed when nobody receives from active any more
	startAccepting, stopAccepting sync.Once
	transfer                      TransferFunc // takes connections to another process; nil: they stay
	listenerErr                   error
}

// underPressure tells whether answers are to end their connections: where those that have asked take much of the limit
// (clients may hold a third of the descriptors, and those that ask once and keep theirs leave none for the others), or
// where most of it is taken by any, so that an idle one keeps somebody out.
func (cs *clientConns) underPressure() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	asked := len(cs.open) - cs.silent.Len() - cs.partial.Len() - cs.lingering.Len()
	return asked > cs.maxOpen/3 || len(cs.open) > cs.maxOpen/4*3
}

// setMaxOpen changes the limit. Connections beyond it are evicted as far as they may be.
func (cs *clientConns) setMaxOpen(limit int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxOpen = limit
	for len(cs.open) > cs.maxOpen && cs.evictOne() {
	}
}

// admit takes in a new connection; nil where the limit is reached and none may be evicted.
func (cs *clientConns) admit(nc net.Conn) *clientConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for len(cs.open) >= cs.maxOpen {
		if !cs.evictOne() {
			return nil
		}
	}
	c := &clientConn{Conn: nc, conns: cs, headDeadline: time.Now().Add(headTimeout)}
	cs.open[c] = struct{}{}
	c.queue(&cs.silent)
	return c
}

// adopt takes in a connection that is serving a request.
func (cs *clientConns) adopt(nc net.Conn) *clientConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := &clientConn{Conn: nc, conns: cs, headReceived: true}
	cs.open[c] = struct{}{}
	return c
}

func (cs *clientConns) remove(c *clientConn) {
	c.unqueue()
	delete(cs.open, c)
	cs.notifyAllClosed()
}

// waitAllClosed is closed when no connection is open. Only after the last has been accepted.
func (cs *clientConns) waitAllClosed() <-chan struct{} {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.allClosed == nil {
		cs.allClosed = make(chan struct{})
		cs.notifyAllClosed()
	}
	return cs.allClosed
}

func (cs *clientConns) notifyAllClosed() {
	if cs.allClosed == nil || len(cs.open) > 0 {
		return
	}
	select {
	case <-cs.allClosed:
	default:
		close(cs.allClosed)
	}
}
