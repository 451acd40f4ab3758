package httpproxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"marlreel/internal/sockets"
)

// newClientConns returns the table of a listener's connections. A connection on which nothing has been received is parked:
// besides its descriptor it costs one small goroutine that waits for the first byte. Only then is it passed to net/http,
// which allocates buffers and request state. So thousands of silent connections cost very little.
func newClientConns(ln net.Listener, maxOpen int) *clientConns {
	return &clientConns{
		Listener: ln, maxOpen: maxOpen, open: map[*clientConn]struct{}{},
		active: make(chan *clientConn), listenerClosed: make(chan struct{}), acceptStopped: make(chan struct{}),
	}
}

// Accept implements net.Listener. It returns connections that have something to read, even if their
// first byte arrives after the listener was closed.
func (cs *clientConns) Accept() (net.Conn, error) {
	cs.startAccepting.Do(func() { go cs.acceptLoop() })
	ended := cs.listenerClosed
	for {
		select {
		case c := <-cs.active:
			return c, nil
		case <-cs.acceptStopped:
			return nil, net.ErrClosed
		case <-ended:
			select { // the listener is closed: goes on until the last connection has ended
			case c := <-cs.active:
				return c, nil
			case <-cs.acceptStopped:
				return nil, net.ErrClosed
			case <-cs.waitAllClosed():
				return nil, cs.listenerErr
			}
		}
	}
}

// acceptLoop accepts connections from the listener until it is closed.
func (cs *clientConns) acceptLoop() {
	backoff := minAcceptBackoff
	for {
		nc, err := cs.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			cs.listenerErr = err
			close(cs.listenerClosed)
			return
		}
		if err != nil { // for example, no descriptor is left
			// Without an eviction, idle connections could hold the descriptors and keep new clients out indefinitely.
			if !cs.evictForAccept() {
				time.Sleep(backoff)
				backoff = min(2*backoff, maxAcceptBackoff)
			}
			continue
		}
		backoff = minAcceptBackoff
		switch c := cs.admit(nc); {
		case c == nil:
			nc.Close() // every connection is serving a request
		case !sockets.Idle(nc):
			cs.deliver(c)
		default:
			go c.park()
		}
	}
}

// After a failed accept the next one is delayed by minAcceptBackoff, doubled with each failure up to maxAcceptBackoff.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// park waits for the first byte. If the connection is evicted or headDeadline passes in the meantime,
// park closes it, as no other goroutine would notice.
func (c *clientConn) park() {
	_ = c.SetReadDeadline(c.headDeadline)
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		c.Close()
		return
	}
	raw, err := sc.SyscallConn()
	for err == nil {
		if err = raw.Read(readable); err == nil {
			c.conns.deliver(c)
			return
		}
		if !c.consumeInterrupt(err) || c.transferWith(nil) {
			break
		}
		err = nil
	}
	c.Close()
}

// readable reports whether there is something to read, including the end of the stream.
func readable(fd uintptr) bool {
	_, err := sockets.Peek(fd)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// deliver passes a connection to Accept.
func (cs *clientConns) deliver(c *clientConn) {
	select {
	case cs.active <- c:
	case <-cs.acceptStopped:
		c.Close()
	}
}

// close closes all connections that wait for their first byte. It may be called only when Accept is no longer called.
func (cs *clientConns) close() {
	cs.stopAccepting.Do(func() { close(cs.acceptStopped) })
	cs.mu.Lock()
	parked := make([]*clientConn, 0, cs.silent.Len())
	for e := cs.silent.Front(); e != nil; e = e.Next() {
		parked = append(parked, e.Value.(*clientConn))
	}
	cs.mu.Unlock()
	for _, c := range parked {
		c.Close()
	}
}
