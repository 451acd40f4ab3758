package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
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
			if n.Vanished() { // it came before the queue was full: it stays, and stays silent
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

// Vanished tells that it is cut off.
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

// serve reads a connection's requests one after another. While one is in hand it
// goes on reading: the end of the connection cancels the request.
func (n *Node) serve(c net.Conn, p Path, full bool) {
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	fresh := true
	n.idle(c)
	rested := n.cfg.Clock.Now()
	for {
		if _, err := in.Peek(1); err != nil {
			n.hold(c)
			return
		}
		began := n.cfg.Clock.Now()
		c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n.mu.Lock()
		w := n.network
		n.mu.Unlock()
		id := r.Header.Get("X-Correlation-Id")
		if r.ContentLength >= 16<<10 && w.BodyRate > 0 && chance(id, n.cfg.ID, "body") < w.BodyRate {
			io.CopyN(io.Discard, r.Body, r.ContentLength/2)
			reset(c)
			return
		}
		text, size, err := ReadBody(r.Body, 0)
		if err != nil && size <= LargeFrom {
			return
		}
		// A large one has to be what its client made; of a small one all is well that came whole.
		good := err == nil && checkUpload(id, text, size)
		if n.Vanished() {
			n.hold(c) // its bytes never arrived
			return
		}
		if !fresh && w.DropAfter > 0 && began-rested >= w.DropAfter {
			in.Peek(1) // until its sender gives it up
			return
		}
		if fresh && chance(id, n.cfg.ID, "new") < w.NewRate ||
			!fresh && w.StaleAfter > 0 && began-rested >= w.StaleAfter && chance(id, n.cfg.ID, "stale") < w.StaleRate {
			if id != "" { // to its sender it may have run
				class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
				n.cfg.Journal.send(&Send{Node: n.cfg.ID, Zone: n.cfg.Zone, Proxy: p.Proxy, ID: id, Key: r.Header.Get("Idempotency-Key"), Class: class,
					Began: began, Whole: n.cfg.Clock.Now(), Effect: Ran, Fresh: fresh, CrossesZone: p.Cross})
			}
			reset(c)
			return
		}
		x := &exchange{c: c, path: p, gone: make(chan struct{}), done: make(chan struct{}), fresh: fresh, full: full,
			began: began, whole: n.cfg.Clock.Now() + p.Delay}
		fresh = false
		n.wg.Go(func() { n.answer(x, r, good) })
		_, err = in.Peek(1)
		if err != nil {
			select {
			case <-x.done: // it ended after the answer, or was idle for long
			default:
				close(x.gone)
				<-x.done
			}
			n.hold(c)
			return
		}
		<-x.done
		rested = x.rested
		if x.last {
			return
		}
	}
}

// hold keeps a connection open for as long as the node is cut off.
func (n *Node) hold(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent {
		n.fillers = append(n.fillers, noClose{c}.dup())
	}
}

// noClose lets a connection's descriptor live on behind its reader's end.
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
