package httpproxy

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// clients keeps the client connections within a bound. It always accepts: a
// listener that waits at the bound lets connections that ask nothing keep out those
// that do, for as long as they like. At the bound, the connection that has been
// silent the longest makes room; one that has a request in hand never does.
type clients struct {
	net.Listener
	most int

	mu   sync.Mutex
	open map[*client]struct{}
	// Connections with no request in hand, the longest waiting first: those that
	// have sent none yet, or only what was turned away, and those between requests.
	silent, idle list.List
	empty        chan struct{} // who waits for the last connection to end; nil: nobody
}

// crowded tells whether connections that have asked take much of the bound. Clients
// may hold only so many (a third of the descriptors, where this bound is half), and
// those that ask once and keep theirs leave none for the others: from half of what
// clients may hold on, answers end their connections.
func (cs *clients) crowded() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)-cs.silent.Len() > cs.most/3
}

// client is one client's connection.
type client struct {
	net.Conn
	clients *clients
	in      *list.List // nil: it has a request in hand, or is closed
	place   *list.Element

	// Only the connection's own goroutine has these, that of net/http.
	scan   headScan
	inHand bool
}

// Read implements net.Conn.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.inHand {
		c.scan.see(p[:n])
	}
	return n, err
}

func newClients(ln net.Listener, most int) *clients {
	return &clients{Listener: ln, most: most, open: map[*client]struct{}{}}
}

// Accept implements net.Listener.
func (cs *clients) Accept() (net.Conn, error) {
	for {
		nc, err := cs.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := cs.admit(nc); c != nil {
			return c, nil
		}
		nc.Close() // every place has a request in hand
	}
}

// setMost puts another bound in force. Connections beyond it that can be spared are closed.
func (cs *clients) setMost(most int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.most = most
	for len(cs.open) > cs.most && cs.spare() {
	}
}

// spare closes the connection that can best be spared, if any can.
func (cs *clients) spare() bool {
	victim := cs.longestSilent()
	if victim == nil {
		return false
	}
	cs.drop(victim)
	victim.Conn.Close()
	return true
}

func (cs *clients) admit(nc net.Conn) *client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for len(cs.open) >= cs.most {
		if !cs.spare() {
			return nil
		}
	}
	c := &client{Conn: nc, clients: cs}
	cs.open[c] = struct{}{}
	c.queue(&cs.silent)
	return c
}

// longestSilent gives the connection that can best be spared, or nil: one that has
// sent no good request before one between two of them. Where a request has come and
// is not read yet it isn't silent: it goes to the end, and only so many are looked at.
func (cs *clients) longestSilent() *client {
	const looks = 8
	for _, l := range []*list.List{&cs.silent, &cs.idle} {
		for range min(looks, l.Len()) {
			c := l.Front().Value.(*client)
			if quiet(c.Conn) {
				return c
			}
			l.MoveToBack(c.place)
		}
	}
	return nil
}

func (c *client) queue(in *list.List) {
	c.unqueue()
	if _, open := c.clients.open[c]; open {
		c.in, c.place = in, in.PushBack(c)
	}
}

func (c *client) unqueue() {
	if c.in != nil {
		c.in.Remove(c.place)
		c.in, c.place = nil, nil
	}
}

func (cs *clients) drop(c *client) {
	c.unqueue()
	delete(cs.open, c)
	cs.tellEmpty()
}

// gone is closed when no connection is open. Only after the last has been accepted.
func (cs *clients) gone() <-chan struct{} {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.empty == nil {
		cs.empty = make(chan struct{})
		cs.tellEmpty()
	}
	return cs.empty
}

func (cs *clients) tellEmpty() {
	if cs.empty == nil || len(cs.open) > 0 {
		return
	}
	select {
	case <-cs.empty:
	default:
		close(cs.empty)
	}
}

// begins says that the head of a request has come, and gives what was seen of it.
func (c *client) begins() headScan {
	seen := c.scan
	c.scan, c.inHand = headScan{}, true
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	if c.in != nil {
		c.in.MoveToBack(c.place)
	}
	return seen
}

// busy says that the connection has a whole request in hand.
func (c *client) busy() {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.unqueue()
}

// rest says that nothing is owed any more: the request was answered, or turned away.
func (c *client) rest(answered bool) {
	if answered { // else the connection ends, and somebody may still watch it
		c.inHand = false
	}
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	if answered {
		c.queue(&c.clients.idle)
	} else {
		c.queue(&c.clients.silent)
	}
}

// Close implements net.Conn.
func (c *client) Close() error {
	c.clients.mu.Lock()
	c.clients.drop(c)
	c.clients.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets the server end its side first, so that a client that still sends
// can read the error before its connection is reset.
func (c *client) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// reset lets the connection's end be a reset, whatever has been written.
func (c *client) reset() {
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
}

type clientKey struct{}

// withClient lets the handler of a connection's requests find the connection.
func withClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

// quiet tells, without waiting, that a connection is open and has nothing to read.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && nothing
}
