package httpproxy

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/process/budget"
	"marlreel/internal/sockets"
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
	// Connections with no request in hand, of each list the longest without progress first:
	// those on which nothing has come, or only what was turned away; those on which part of a
	// request has; and those that rest between two requests. And those that have been ended, and
	// wait for their client to have read what was written.
	mute, part, idle, leaving list.List

	ending bool          // what rests is ended, and what comes to rest
	empty  chan struct{} // who waits for the last connection to end; nil: nobody

	asking        chan *client  // those on which something has come for the first time
	ended         chan struct{} // closed when the listener takes no more; endedBy says why
	over          chan struct{} // closed when nobody takes from asking any more
	once, closing sync.Once
	giver         Giver // takes connections to another process; nil: they stay
	endedBy       error
}

// crowded tells whether answers are to end their connections: where those that have asked
// take much of the bound (clients may hold a third of the descriptors, and those that ask
// once and keep theirs leave none for the others), or where most places are taken by
// whatever it is, so that one that rests keeps somebody out.
func (cs *clients) crowded() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)-cs.mute.Len()-cs.part.Len()-cs.leaving.Len() > cs.most/3 || len(cs.open) > cs.most/4*3
}

// client is one client's connection.
type client struct {
	net.Conn
	clients *clients
	in      *list.List // nil: it has a request in hand, or is closed
	place   *list.Element

	progress time.Time // when it came into its list, or something last came there
	came     bool      // something of a request has come since it rests or was accepted
	ended    bool      // nothing that comes counts any more; with the table's lock
	closing  bool      // Close was called

	headBy time.Time // by when its first head has to have come whole
	partly bool      // a request that is in hand is still being written; with the table's lock

	// Only who reads from the connection has these.
	frames      frames
	later       bool           // the first head has come
	head        []byte         // what has come of a head that is not whole
	before      []byte         // what had come in another process; it is read first
	beforeRoom  *budget.Budget // that it has taken room of; nil: none
	beforeLeft  atomic.Int64   // bytes of that
	beforeBegun bool
	body        *upload // of the request in hand, while it comes; nil: it is held whole
	left        bool    // the reading of a body has ended with errLeaving, or what net/http made of it

	handled atomic.Bool // a request is in hand, from its head on
	given   atomic.Bool // it is another process's: nothing more is read, written or ended here
	wrote   atomic.Bool // something was written
	over    atomic.Bool // its client has ended it: a read has met that
	hard    atomic.Bool // it ends with a reset, or at once

	reads  sync.Mutex // the deadline of reads:
	readBy time.Time  // as it was set,
	nudged bool       // and whether a read is to time out at once in its place
	shut   bool       // and whether every read is to
}

// Read implements net.Conn.
func (c *client) Read(p []byte) (int, error) {
	for {
		// Danger: net/http takes a line that an error cut off for a whole one, and reads on.
		if c.given.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.readSome(p)
		if n > 0 && !c.moves(p[:n]) {
			return 0, net.ErrClosed
		}
		if n > 0 || err == nil {
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.over.Store(true)
			return 0, err
		}
		if !c.takeNudge(err) {
			return 0, err
		}
		switch handled, between := c.handled.Load(), c.frames.between(); {
		case handled && !between && c.passable():
			c.left = true
			return 0, errLeaving // whoever reads the body knows what has come of it
		case !c.hasRequest() && len(c.head) == c.frames.head && c.goesOn(c.head):
			return 0, err // the server takes its leave without a word
		}
	}
}

// errLeaving says that the rest of a body is to be read by another process.
var errLeaving = errors.New("this process leaves")

func (c *client) readSome(p []byte) (int, error) {
	if len(c.before) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.before)
	if c.before = c.before[n:]; len(c.before) == 0 {
		c.before = nil
	}
	if c.beforeRoom == nil {
		return n, nil
	}
	given := n // as it is read it is held elsewhere
	if !c.beforeBegun {
		c.beforeBegun = true
		given += pieceSize
	}
	if left := c.beforeLeft.Add(int64(-given)); left >= 0 {
		c.beforeRoom.Give(given, budget.Large)
	}
	return n, nil
}

// Write implements net.Conn.
func (c *client) Write(p []byte) (int, error) {
	if c.given.Load() {
		return len(p), nil
	}
	c.wrote.Store(true)
	return c.Conn.Write(p)
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
	c := &client{Conn: nc, clients: cs, headBy: time.Now().Add(headTimeout)}
	cs.open[c] = struct{}{}
	c.queue(&cs.mute)
	return c
}

const (
	// stalled is how long a request may make no progress before its connection is spared
	// ahead of any other. A client that writes slowly writes on in less.
	stalled = 1200 * time.Millisecond
	// rested is how long a connection has to have rested between two requests so that
	// closing it will hardly cross the next one.
	rested = time.Second
	// mute is how long a client that has something to ask takes to begin, at most.
	mute = 100 * time.Millisecond
	// paused is how long one that writes slowly pauses, as a rule at most.
	paused = 300 * time.Millisecond
)

// longestSilent gives the connection that can best be spared, or nil. Danger: by the time
// since they connected, those who write slowly would go before a crowd of those who never
// will; and by what they have asked for, those who keep their connection would go for it.
func (cs *clients) longestSilent() *client {
	say := mute
	if cs.mute.Len() > cs.most/4 {
		say = 0 // so many at a time are a crowd that never will
	}
	if e := cs.leaving.Front(); e != nil {
		return e.Value.(*client)
	}
	for _, rank := range [...]struct {
		among *list.List
		since time.Duration // at least so long
	}{{&cs.mute, stalled}, {&cs.part, stalled}, {&cs.idle, rested}, {&cs.mute, say}, {&cs.part, paused}, {&cs.idle, 0}, {&cs.mute, 0}, {&cs.part, 0}} {
		if c := first(rank.among, rank.since); c != nil {
			return c
		}
	}
	return nil
}

// moved is how lately something must have come of a request for it to be on its way.
const moved = 500 * time.Millisecond

// moving tells whether any connection has a request in hand or on its way. Called with the lock.
func (cs *clients) moving() bool {
	if len(cs.open) > cs.mute.Len()+cs.part.Len()+cs.idle.Len()+cs.leaving.Len() {
		return true
	}
	for _, l := range [...]*list.List{&cs.mute, &cs.part, &cs.idle} {
		for e := l.Back(); e != nil; e = e.Prev() {
			c := e.Value.(*client)
			// Danger: a request that has been read whole is this process's, however long ago that was.
			if c.whole() || (l != &cs.idle || c.came) && (time.Since(c.progress) < moved || !sockets.Idle(c.Conn)) {
				return true
			}
		}
	}
	return false
}

// endResting ends what rests between two requests, now and from now on.
func (cs *clients) endResting() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.ending = true
	for e := cs.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); !c.came {
			c.end()
		}
	}
}

// endAll ends all that is open, if nothing moves, and tells whether it has.
func (cs *clients) endAll() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.moving() {
		return false
	}
	for c := range cs.open {
		c.end()
	}
	return true
}

// leaves tells whether a connection that has ended is still read by its client.
func (cs *clients) leaves() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.leaving.Len() > 0
}

// first gives the first of a list that has nothing to read, if nothing has come there for
// so long. Where a request has come and is not read yet a connection isn't silent: it goes
// to the end, and only so many are looked at.
func first(l *list.List, since time.Duration) *client {
	const looks = 8
	for range min(looks, l.Len()) {
		c := l.Front().Value.(*client)
		if time.Since(c.progress) < since {
			return nil
		}
		if sockets.Idle(c.Conn) {
			return c
		}
		l.MoveToBack(c.place)
	}
	return nil
}

// adopt takes a connection in that has a request in hand.
func (cs *clients) adopt(nc net.Conn) *client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := &client{Conn: nc, clients: cs, later: true}
	cs.open[c] = struct{}{}
	return c
}

func (c *client) queue(in *list.List) {
	c.unqueue()
	if _, open := c.clients.open[c]; open {
		c.in, c.place, c.progress = in, in.PushBack(c), time.Now()
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

// moves says that something of a request has come, and tells whether it counts. Danger: a connection may be ended
// between the read and this: what was read then is nobody's, or it would be sent on with no way for its answer.
func (c *client) moves(p []byte) bool {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	if c.ended {
		return false
	}
	c.frames.see(p)
	c.keepHead(p)
	c.stir()
	return true
}

// stir notes progress. A list's element is made anew only where the list changes, which is
// once for a connection: what rests between two requests stays among its like. Called with
// the lock.
func (c *client) stir() {
	c.came = true
	switch c.in {
	case nil:
	case &c.clients.mute:
		c.queue(&c.clients.part)
	default:
		c.progress = time.Now()
		c.in.MoveToBack(c.place)
	}
}

// whole tells whether a request has been read whole of which no handler has taken note. Called with the lock.
func (c *client) whole() bool {
	return c.frames.ahead() || c.handled.Load() && c.frames.between()
}

// hasRequest tells whether a request is in hand, or has been read whole and its handler has not begun. Danger: net/http
// reads on behind a request before it calls the handler; given away by that read, the connection would go without the
// answer.
func (c *client) hasRequest() bool {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	return c.handled.Load() || c.frames.ahead()
}

// end lets nothing count any more that comes, and whoever reads or waits meet that. Called with the lock.
func (c *client) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.reads.Lock()
	defer c.reads.Unlock()
	c.shut = true
	c.Conn.SetReadDeadline(time.Now())
}

// here tells whether the client is still there, as its connection shows now. A client that has ended its side
// has gone, whatever it sent before; see docs/design/rare-moments.md.
func (c *client) here() bool {
	if c.over.Load() {
		return false
	}
	return sockets.PeerConnected(c.Conn)
}

// begins says that the head of a request has come, and tells whether it must be refused: it
// can be read in more than one way.
func (c *client) begins() (refused bool) {
	c.later = true
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.handled.Store(true)
	c.stir()
	return c.frames.begins()
}

// busy says that the connection has a whole request in hand.
func (c *client) busy() {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.unqueue()
}

// rest says that nothing is owed any more: the request was answered, or turned away.
func (c *client) rest(answered bool) {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	if !answered {
		c.queue(&c.clients.mute)
		return
	}
	c.handled.Store(false) // else the connection ends, and somebody may still watch it
	c.queue(&c.clients.idle)
	if c.came = c.frames.begunHead(); c.came {
		return // what it has sent ahead is in net/http's hands, and is answered
	}
	if c.clients.ending {
		c.end()
	} else if c.clients.giver != nil {
		c.nudge()
	}
}

// setPartly says whether a request that is in hand is still being written.
func (c *client) setPartly(partly bool) {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	if c.partly = partly; partly && c.clients.giver != nil {
		c.nudge()
	}
}

// Close implements net.Conn. Danger: a close over bytes that nobody has read resets the connection, and what was
// written and is still on its way goes with it. So this side is ended alone, and what the client had on its way is
// read and left, until it ends its side too, for a moment at most.
func (c *client) Close() error {
	cs := c.clients
	cs.mu.Lock()
	if c.closing {
		cs.mu.Unlock()
		return net.ErrClosed
	}
	c.closing, c.ended = true, true
	_, open := cs.open[c]
	lingers := open && c.wrote.Load() && !c.over.Load() && !c.hard.Load() && !c.given.Load() && c.CloseWrite() == nil
	if lingers {
		c.queue(&cs.leaving)
	} else {
		cs.drop(c)
	}
	cs.mu.Unlock()
	if left := c.beforeLeft.Swap(0); c.beforeRoom != nil && left > 0 {
		c.beforeRoom.Give(int(left), budget.Large)
	}
	if !lingers {
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

const (
	// lingerFor is how long a client may take to end its side once this one is ended, and lingerMost how much it
	// may still send.
	lingerFor  = 500 * time.Millisecond
	lingerMost = 256 << 10
)

// linger reads what still comes, and closes.
func (c *client) linger() {
	c.Conn.SetReadDeadline(time.Now().Add(lingerFor))
	var buf [512]byte
	for left := lingerMost; left > 0; {
		n, err := c.Conn.Read(buf[:])
		if left -= n; err != nil {
			break
		}
	}
	c.Conn.Close()
	c.clients.mu.Lock()
	c.clients.drop(c)
	c.clients.mu.Unlock()
}

// CloseWrite lets the server end its side first, so that a client that still sends
// can read the error before its connection is reset.
func (c *client) CloseWrite() error {
	if c.given.Load() {
		return nil
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn is the connection itself.
func (c *client) NetConn() net.Conn { return c.Conn }

// reset lets the connection's end be a reset, whatever has been written.
func (c *client) reset() {
	if c.given.Load() {
		return
	}
	c.hard.Store(true)
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
