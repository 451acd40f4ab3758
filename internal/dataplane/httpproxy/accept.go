package httpproxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"marlreel/internal/sockets"
)

// newClientConns makes the table of a listener's connections. A connection on which nothing has come yet is parked: what
// it costs beside its descriptor is a small goroutine that waits for its first byte. net/http, with its buffers and all
// that belongs to a request, gets it only then. So thousands that connect and say nothing cost next to nothing.
func newClientConns(ln net.Listener, maxOpen int) *clientConns {
	return &clientConns{
		Listener: ln, maxOpen: maxOpen, open: map[*clientConn]struct{}{},
		active: make(chan *clientConn), listenerClosed: make(chan struct{}), acceptStopped: make(chan struct{}),
	}
}

// Accept implements net.Listener. It gives connections that have something to read, also those
// that begin after the listener has been closed.
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
			select { // from here on until the last of them has ended
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

// acceptLoop takes connections from the listener until that is closed.
func (cs *clientConns) acceptLoop() {
	backoff := minAcceptBackoff
	for {
		nc, err := cs.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			cs.listenerErr = err
			close(cs.listenerClosed)
			return
		}
		if err != nil { // such as: no descriptor is left
			// Idle connections would hold the descriptors for as long as they like, and nobody new would get in.
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

// After an accept that failed the next waits for minAcceptBackoff, and up to maxAcceptBackoff where they go on to fail.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// park waits for the first byte. A connection that is closed meanwhile, for another or at its
// time's end, is noticed by nobody else.
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

// readable tells that there is something to read, be it the end.
func readable(fd uintptr) bool {
	_, err := sockets.Peek(fd)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// deliver hands a connection to who accepts.
func (cs *clientConns) deliver(c *clientConn) {
	select {
	case cs.active <- c:
	case <-cs.acceptStopped:
		c.Close()
	}
}

// close ends all that waits for its first byte. Only when nobody accepts any more.
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
