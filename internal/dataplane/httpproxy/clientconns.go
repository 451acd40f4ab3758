package httpproxy

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// clientConns is the table of client connections and enforces their limit. It always accepts: if the listener waited at
// the limit, connections without requests could keep out those with requests indefinitely. At the limit, an existing
// connection is evicted (see evictionCandidate), but never one that is serving a request.
type clientConns struct {
	net.Listener
	maxOpen int

	mu   sync.Mutex
	open map[*clientConn]struct{}
	// Connections that are not serving a request, in each list the longest without progress first. silent: nothing has
	// been received, or only a request that was rejected; partial: part of a request has been received; idle: between
	// two requests; lingering: closed, and waiting for the client to read what was written.
	silent, partial, idle, lingering list.List

	ending    bool          // idle connections are ended, also those that become idle later
	allClosed chan struct{} // closed with the last connection; nil: nothing waits for that

	active                        chan *clientConn // connections with their first bytes to read, for Accept
	listenerClosed                chan struct{}    // closed when the listener is closed; listenerErr is then set
	acceptStopped                 chan struct{}    // closed when nothing receives from active any more
	startAccepting, stopAccepting sync.Once
	transfer                      TransferFunc // hands connections over to another process; nil: no handover
	listenerErr                   error
}

// underPressure reports whether answers should close their connections. This is so if connections that have sent requests
// take more than a third of the limit (clients may hold a third of the descriptors, and those that send one request and
// stay connected would leave none for others), or if connections of any kind take most of it, so that an idle one keeps a
// new client out.
func (cs *clientConns) underPressure() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	withRequests := len(cs.open) - cs.silent.Len() - cs.partial.Len() - cs.lingering.Len()
	return withRequests > cs.maxOpen/3 || len(cs.open) > cs.maxOpen/4*3
}

// setMaxOpen changes the limit. Connections beyond it are evicted, except those that are serving a request.
func (cs *clientConns) setMaxOpen(limit int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxOpen = limit
	for len(cs.open) > cs.maxOpen && cs.evictOne() {
	}
}

// admit adds a new connection to the table. It returns nil if the limit is reached and no connection may be evicted.
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

// adopt adds a connection whose request is being answered, taken over from another process, regardless of the limit.
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

// waitAllClosed returns a channel that is closed when no connection is open. It may be called only after the last accept.
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
