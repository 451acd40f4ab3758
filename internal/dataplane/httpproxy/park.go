package httpproxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"marlreel/internal/sockets"
)

// A connection on which nothing has come yet is parked: what it costs beside its descriptor is a
// small goroutine that waits for its first byte. net/http, with its buffers and all that hangs on
// a request, gets it only then. So thousands that connect and say nothing cost next to nothing.

func newClients(ln net.Listener, most int) *clients {
	return &clients{
		Listener: ln, most: most, open: map[*client]struct{}{},
		asking: make(chan *client), ended: make(chan struct{}), over: make(chan struct{}),
	}
}

// Accept implements net.Listener. It gives connections that have something to read, also those
// that begin after the listener has been closed.
func (cs *clients) Accept() (net.Conn, error) {
	cs.once.Do(func() { go cs.take() })
	ended := cs.ended
	for {
		select {
		case c := <-cs.asking:
			return c, nil
		case <-cs.over:
			return nil, net.ErrClosed
		case <-ended:
			select { // from here on until the last of them has ended
			case c := <-cs.asking:
				return c, nil
			case <-cs.over:
				return nil, net.ErrClosed
			case <-cs.gone():
				return nil, cs.endedBy
			}
		}
	}
}

// take takes connections from the listener until that is closed.
func (cs *clients) take() {
	again := acceptAgain
	for {
		nc, err := cs.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			cs.endedBy = err
			close(cs.ended)
			return
		}
		if err != nil { // such as: no descriptor is left
			// Danger: what rests would hold them for as long as it likes, and nobody new would get in.
			if !cs.makeRoom() {
				time.Sleep(again)
				again = min(2*again, longestAgain)
			}
			continue
		}
		again = acceptAgain
		switch c := cs.admit(nc); {
		case c == nil:
			nc.Close() // every place has a request in hand
		case !sockets.Idle(nc):
			cs.give(c)
		default:
			go c.park()
		}
	}
}

// An accept that failed is put off for acceptAgain, and up to longestAgain where it goes on to fail.
const (
	acceptAgain  = 5 * time.Millisecond
	longestAgain = 100 * time.Millisecond
)

// makeRoom closes the connection that can best be spared, if any can.
func (cs *clients) makeRoom() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.spare()
}

// park waits for the first byte. A connection that is closed meanwhile, for another or at its
// time's end, is told by no one else.
func (c *client) park() {
	c.SetReadDeadline(c.headBy)
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		c.Close()
		return
	}
	raw, err := sc.SyscallConn()
	for err == nil {
		if err = raw.Read(something); err == nil {
			c.clients.give(c)
			return
		}
		if !c.takeNudge(err) || c.goesOn(nil) {
			break
		}
		err = nil
	}
	c.Close()
}

// something tells that there is something to read, be it the end.
func something(fd uintptr) bool {
	_, err := sockets.Peek(fd)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// give hands a connection to who accepts.
func (cs *clients) give(c *client) {
	select {
	case cs.asking <- c:
	case <-cs.over:
		c.Close()
	}
}

// close ends all that waits for its first byte. Only when nobody accepts any more.
func (cs *clients) close() {
	cs.closing.Do(func() { close(cs.over) })
	cs.mu.Lock()
	parked := make([]*client, 0, cs.mute.Len())
	for e := cs.mute.Front(); e != nil; e = e.Next() {
		parked = append(parked, e.Value.(*client))
	}
	cs.mu.Unlock()
	for _, c := range parked {
		c.Close()
	}
}
