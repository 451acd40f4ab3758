package httpproxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"marlreel/internal/process/budget"
)

// Connections on which no request has come whole go on in the next process when this one leaves:
// those that say nothing, those that rest between two requests, and those whose client is still
// writing. Nothing of what they ask has run, and what has come of it goes along. So who writes for
// longer than the platform waits for a process's end loses nothing by it.
//
// A connection is given by who reads from it, at a moment at which nothing that has come is on its
// way between two readers: its read is made to time out (nudge), and meets that in client.Read.

// leave lets all such connections go on in another process.
func (cs *clients) leave(give Giver) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.giver = give
	for c := range cs.open {
		if c.in != nil && c.in != &cs.leaving || c.partly {
			c.nudge()
		}
	}
}

// nudge lets a read that waits, or the next one, time out at once.
func (c *client) nudge() {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.nudged = true
	c.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline implements net.Conn. A client that is silent at first has no more time for
// its head than one that begins at once.
func (c *client) SetReadDeadline(t time.Time) error {
	c.reads.Lock()
	defer c.reads.Unlock()
	if !c.later && !t.IsZero() && t.After(c.headBy) {
		t = c.headBy
	}
	if c.readBy = t; c.nudged || c.shut {
		return nil // until the read that is to see it has
	}
	return c.Conn.SetReadDeadline(t)
}

// takeNudge tells whether a read timed out because it was to, and puts the deadline back.
func (c *client) takeNudge(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.reads.Lock()
	defer c.reads.Unlock()
	was := c.nudged && !c.shut
	if was {
		c.nudged = false
		c.Conn.SetReadDeadline(c.readBy)
	}
	return was
}

// keepHead keeps what has come of a head that is not whole.
func (c *client) keepHead(p []byte) {
	switch n := c.frames.head; {
	case n == 0:
		c.head = nil
	case n <= len(p):
		c.head = append(c.head[:0], p[len(p)-n:]...)
	case len(c.head) <= maxHead:
		c.head = append(c.head, p...)
	}
}

// goesOn gives the connection to the next process with what has come of a request, and tells
// whether that has taken it.
func (c *client) goesOn(come []byte) bool {
	c.clients.mu.Lock()
	give := c.clients.giver
	c.clients.mu.Unlock()
	if give == nil || len(come) > mostCome || !give(come, c.Conn, nil) {
		return false
	}
	c.given.Store(true)
	return true
}

// mostCome bounds what may have come of a request that goes on elsewhere.
const mostCome = 3 << 20

// passable tells whether all that has come of a body is here. Danger: one that is on its way to a
// backend and has made room there can't go on elsewhere, and comes whole in time more often than not:
// ending its reading would lose it.
func (c *client) passable() bool {
	if c.body == nil {
		return true
	}
	_, all := c.body.all()
	return all
}

// requestSoFar is what has come of a request, as it may stand on the wire. body is what has come of
// its body.
func requestSoFar(r *http.Request, f *frames, body [][]byte) ([]byte, bool) {
	data := 0
	for _, p := range body {
		data += len(p)
	}
	var before, behind []byte
	out := make([]byte, 0, 1024+data)
	for _, part := range []string{r.Method, " ", r.RequestURI, " ", r.Proto, "\r\nHost: ", r.Host, "\r\n"} {
		out = append(out, part...)
	}
	for field, values := range r.Header {
		switch field {
		case "Content-Length", "Transfer-Encoding", "Expect": // that has been answered when its body is read
			continue
		}
		for _, v := range values {
			for _, part := range []string{field, ": ", v, "\r\n"} {
				out = append(out, part...)
			}
		}
	}
	if r.ContentLength >= 0 {
		if f.state != frameBody || f.left != r.ContentLength-int64(data) {
			return nil, false
		}
		out = strconv.AppendInt(append(out, "Content-Length: "...), r.ContentLength, 10)
		out = append(out, "\r\n"...)
	} else {
		var ok bool
		if before, behind, ok = f.rest(data); !ok {
			return nil, false
		}
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	out = append(append(out, "\r\n"...), before...)
	for _, p := range body {
		out = append(out, p...)
	}
	return append(out, behind...), true
}

// passRequest gives a request to the next process of which part of the body has come, if its
// reading has ended for that. What is left of it here has ended.
func (c *client) passRequest(r *http.Request, body []byte, up *upload) bool {
	if !c.left {
		return false
	}
	c.left = false
	parts := [][]byte{body}
	if up != nil {
		var all bool
		if parts, all = up.all(); !all {
			return false
		}
	}
	come, ok := requestSoFar(r, &c.frames, parts)
	return ok && c.goesOn(come)
}

// AdoptClient goes on with a client's connection that another process has given, and with what had
// come there. It is this process's from then on, unless it gives an error.
func (s *Front) AdoptClient(come []byte, nc net.Conn) error {
	held := 0
	if len(come) > maxHead {
		// And a piece more, which is given back first: with all the room full of what has come, none of
		// it could be read on.
		if held = len(come) + pieceSize; !s.room.TryAcquire(held, budget.Large) {
			return errNoRoom
		}
	}
	c := s.clients.admit(nc)
	if c == nil {
		s.room.Release(held, budget.Large)
		return errors.New("all places are taken")
	}
	if len(come) == 0 {
		go c.park()
		return nil
	}
	c.before = come
	if held > 0 {
		c.beforeRoom = s.room
		c.beforeLeft.Store(int64(held))
	}
	go s.clients.give(c)
	return nil
}
