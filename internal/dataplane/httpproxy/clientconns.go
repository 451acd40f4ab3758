package httpproxy

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// clientConns keeps the client connections within a bound. It always accepts: a
// listener that waits at the bound lets connections that ask nothing keep out those
// that do, for as long as they like. At the bound, the connection that has been
// silent the longest makes room; one that has a request in hand never does.
type clientConns struct {
	net.Listener
	maxOpen int

	mu   sync.Mutex
	open map[*clientConn]struct{}
	// Connections with no request in hand, of each list the longest without progress first:
	// those on which nothing has come, or only what was turned away; those on which part of a
	// request has; and those that rest between two requests. And those that have been ended, and
	// wait for their client to have read what was written.
	silent, partial, idle, lingering list.List

	ending    bool          // what rests is ended, and what comes to rest
	allClosed chan struct{} // who waits for the last connection to end; nil: nobody

	active                        chan *clientConn // those on which something has come for the first time
	listenerClosed                chan struct{}    // closed when the listener takes no more; endedBy says why
	acceptStopped                 chan struct{}    // closed when nobody takes from asking any more
	startAccepting, stopAccepting sync.Once
	transfer                      TransferFunc // takes connections to another process; nil: they stay
	listenerErr                   error
}

// underPressure tells whether answers are to end their connections: where those that have asked
// take much of the bound (clients may hold a third of the descriptors, and those that ask
// once and keep theirs leave none for the others), or where most places are taken by
// whatever it is, so that one that rests keeps somebody out.
func (cs *clientConns) underPressure() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)-cs.silent.Len()-cs.partial.Len()-cs.lingering.Len() > cs.maxOpen/3 || len(cs.open) > cs.maxOpen/4*3
}

// setMaxOpen puts another bound in force. Connections beyond it that can be spared are closed.
func (cs *clientConns) setMaxOpen(limit int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxOpen = limit
	for len(cs.open) > cs.maxOpen && cs.evictOne() {
	}
}

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

// adopt takes a connection in that has a request in hand.
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
