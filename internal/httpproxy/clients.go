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
	"syscall"
	"time"

	"marlreel/internal/process/budget"
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
	// request has; and those that rest between two requests.
	mute, part, idle list.List
	empty            chan struct{} // who waits for the last connection to end; nil: nobody

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
	return len(cs.open)-cs.mute.Len()-cs.part.Len() > cs.most/3 || len(cs.open) > cs.most/4*3
}

// client is one client's connection.
type client struct {
	net.Conn
	clients *clients
	in      *list.List // nil: it has a request in hand, or is closed
	place   *list.Element

	progress time.Time // when it came into its list, or something last came there

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

	reads  sync.Mutex // the deadline of reads:
	readBy time.Time  // as it was set,
	nudged bool       // and whether a read is to time out at once in its place
}

// Read implements net.Conn.
func (c *client) Read(p []byte) (int, error) {
	for {
		// Danger: net/http takes a line that an error cut off for a whole one, and reads on.
		if c.given.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.readSome(p)
		if n > 0 {
			c.moves()
		}
		c.frames.see(p[:n])
		c.keepHead(p[:n])
		if n > 0 || err == nil || !c.takeNudge(err) {
			return n, err
		}
		switch handled, between := c.handled.Load(), c.frames.between(); {
		case handled && !between && c.passable():
			c.left = true
			return 0, errLeaving // whoever reads the body knows what has come of it
		case !handled && len(c.head) == c.frames.head && c.goesOn(c.head):
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

// moving tells whether any connection has a request in hand or on its way.
func (cs *clients) moving() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.open) > cs.mute.Len()+cs.part.Len()+cs.idle.Len() {
		return true
	}
	for _, l := range [...]*list.List{&cs.mute, &cs.part} {
		for e := l.Back(); e != nil; e = e.Prev() {
			if c := e.Value.(*client); time.Since(c.progress) < moved || !quiet(c.Conn) {
				return true
			}
		}
	}
	return false
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
		if quiet(c.Conn) {
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

// moves says that something of a request has come.
func (c *client) moves() {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.stir()
}

// stir notes progress. A list's element is made anew only where the list changes, which is
// once for a connection: what rests between two requests stays among its like. Called with
// the lock.
func (c *client) stir() {
	switch c.in {
	case nil:
	case &c.clients.mute:
		c.queue(&c.clients.part)
	default:
		c.progress = time.Now()
		c.in.MoveToBack(c.place)
	}
}

// begins says that the head of a request has come, and tells whether it must be refused: it
// can be read in more than one way.
func (c *client) begins() (refused bool) {
	c.later = true
	c.handled.Store(true)
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
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
	if answered { // else the connection ends, and somebody may still watch it
		c.handled.Store(false)
	}
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	if answered {
		c.queue(&c.clients.idle)
		if c.clients.giver != nil {
			c.nudge()
		}
	} else {
		c.queue(&c.clients.mute)
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

// Close implements net.Conn.
func (c *client) Close() error {
	c.clients.mu.Lock()
	c.clients.drop(c)
	c.clients.mu.Unlock()
	if left := c.beforeLeft.Swap(0); c.beforeRoom != nil && left > 0 {
		c.beforeRoom.Give(int(left), budget.Large)
	}
	return c.Conn.Close()
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
