package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

func (n *Node) accept(l net.Listener, p Path, serve func(c net.Conn, p Path, full bool)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.dead || n.silent {
			n.mu.Unlock()
			if n.Vanished() { // established before the queue was full: it stays open and silent
				n.keep(c)
				continue
			}
			reset(c)
			continue
		}
		n.conns[c] = true
		n.cfg.Journal.connection()
		full := n.cfg.Connections > 0 && len(n.conns) > n.cfg.Connections
		n.wg.Go(func() { serve(c, p, full) })
		n.mu.Unlock()
	}
}

// Vanished reports whether the node is cut off.
func (n *Node) Vanished() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent
}

func (n *Node) keep(c net.Conn) {
	n.mu.Lock()
	n.fillers = append(n.fillers, c)
	n.mu.Unlock()
}

// serve reads a connection's requests one after another. While a request is in flight it
// keeps reading, so that the end of the connection cancels the request.
func (n *Node) serve(c net.Conn, p Path, full bool) {
	defer n.forget(c)
	in := bufio.NewReader(c)
	n.idle(c)
	idleSince := n.cfg.Clock.Now()
	for fresh := true; ; fresh = false {
		if _, err := in.Peek(1); err != nil {
			n.keepIfVanished(c)
			return
		}
		x := &exchange{
			c: c, path: p, gone: make(chan struct{}), done: make(chan struct{}), fresh: fresh, full: full,
			began: n.cfg.Clock.Now(), idleSince: idleSince,
		}
		c.SetReadDeadline(time.Time{})
		r, good, ok := n.read(x, in)
		if !ok || n.breakConnection(x, in, r) {
			return
		}
		x.whole = n.cfg.Clock.Now() + p.Delay
		n.wg.Go(func() { n.answer(x, r, good) })
		if _, err := in.Peek(1); err != nil {
			x.abandon()
			n.keepIfVanished(c)
			return
		}
		<-x.done
		if idleSince = x.idleSince; x.last {
			return
		}
	}
}

// forget closes a connection and removes it from the open ones.
func (n *Node) forget(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// read reads a complete request. good tells whether its body is what its client sent, as far as that can be checked;
// ok is false if the connection ended first.
func (n *Node) read(x *exchange, in *bufio.Reader) (r *http.Request, good, ok bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, false, false
	}
	id := r.Header.Get("X-Correlation-Id")
	if w := n.networkNow(); r.ContentLength >= 16<<10 && w.BodyRate > 0 && chance(id, n.cfg.ID, "body") < w.BodyRate {
		io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		reset(x.c)
		return nil, false, false
	}
	text, size, err := ReadBody(r.Body, 0)
	if err != nil && size <= LargeFrom {
		return nil, false, false
	}
	if n.Vanished() {
		n.keepIfVanished(x.c) // as if its bytes had never arrived
		return nil, false, false
	}
	// A large body must be what its client made; a small one only has to be complete.
	return r, err == nil && checkUpload(id, text, size), true
}

func (n *Node) networkNow() Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.network
}

// breakConnection applies the network faults to a request's connection, and reports whether one broke it.
func (n *Node) breakConnection(x *exchange, in *bufio.Reader, r *http.Request) bool {
	w, id, idle := n.networkNow(), r.Header.Get("X-Correlation-Id"), x.began-x.idleSince
	if !x.fresh && w.DropAfter > 0 && idle >= w.DropAfter {
		in.Peek(1) // until the sender closes the connection
		return true
	}
	stale := !x.fresh && w.StaleAfter > 0 && idle >= w.StaleAfter && chance(id, n.cfg.ID, "stale") < w.StaleRate
	if !stale && !(x.fresh && chance(id, n.cfg.ID, "new") < w.NewRate) {
		return false
	}
	if id != "" { // as far as its sender knows it may have run
		s := n.sendOf(x, r)
		s.Whole, s.Effect = n.cfg.Clock.Now(), Ran
		n.cfg.Journal.send(s)
	}
	reset(x.c)
	return true
}

// abandon cancels the exchange if it is not done, and waits for its end.
func (x *exchange) abandon() {
	select {
	case <-x.done: // the connection ended after the response, or by its idle timeout
	default:
		close(x.gone)
		<-x.done
	}
}

// keepIfVanished keeps a connection open while the node is cut off.
func (n *Node) keepIfVanished(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent {
		n.fillers = append(n.fillers, noClose{c}.dup())
	}
}

// noClose duplicates a connection's descriptor, so that it stays open after its reader closes it.
type noClose struct{ net.Conn }

func (k noClose) dup() net.Conn {
	if t, ok := k.Conn.(*net.TCPConn); ok {
		if f, err := t.File(); err == nil {
			defer f.Close()
			if c, err := net.FileConn(f); err == nil {
				return c
			}
		}
	}
	return k.Conn
}

func (n *Node) idle(c net.Conn) {
	if n.cfg.Idle > 0 {
		c.SetReadDeadline(time.Now().Add(n.cfg.Idle))
	}
}
