package rpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"marlreel"
	"marlreel/internal/engine"
)

const (
	// mostOrphans is how many calls of one connection may have no owner any more whose
	// replies may still come. Past it, the connection gets no new call.
	mostOrphans = 256
	// mostUnknown is how many replies to nothing one connection may bring.
	mostUnknown = 16
	// writeTimeout is how long a backend may take nothing of what is written to it.
	writeTimeout = time.Second
	readStep     = 4 << 10
)

// Counts are what went by without a caller who could be told. All only grow.
type Counts struct {
	LateReplies    atomic.Int64 // to calls that had been given up
	UnknownReplies atomic.Int64 // to no call
	SlowCallers    atomic.Int64 // dropped, as they did not read their answers
	BadStreams     atomic.Int64 // connections ended for what came on them
	Notified       atomic.Int64 // notifications that were sent on
	DroppedNotes   atomic.Int64 // notifications that were not
}

// Carrier takes attempts to backends over MessagePack-RPC. Connections are shared: many
// calls are open on one, each under a msgid of the connection's own. The engine's
// goroutine calls it and owns all but the sockets; each connection has a goroutine
// that writes and one that reads.
type Carrier struct {
	engine         *engine.Engine
	cfg            Backend
	limits         Limits
	connectTimeout time.Duration
	maxIdle        time.Duration // 0 is for ever
	peers          map[*engine.Backend][]*link
	open           int // links
	ctx            context.Context
	cancel         context.CancelFunc
	counts         *Counts
}

// NewCarrier makes a carrier. The configuration has been validated.
func NewCarrier(e *engine.Engine, cfg *Config, counts *Counts) *Carrier {
	caps := e.Settings().Caps
	c := &Carrier{engine: e, cfg: cfg.Backend, limits: Limits{Message: cfg.MessageBytes, Depth: cfg.Nesting},
		connectTimeout: caps.ConnectTimeout, maxIdle: caps.ConnIdle - caps.ConnIdle/4, peers: map[*engine.Backend][]*link{}, counts: counts}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close breaks all connections. Any goroutine may call it.
func (c *Carrier) Close() { c.cancel() }

// Connections is how many are open, those being dialled among them.
func (c *Carrier) Connections() int { return c.open }

// payload is a call as it came, without its metadata.
type payload struct {
	method string
	args   []byte // the parameters, one after the other
	count  int
	meta   Meta
	given  bool // the call came with metadata, and goes on with them
	notify bool
}

// encode writes the call out, so that one write sends it and its count tells whether
// the last byte went out.
func (p *payload) encode(id uint32, left time.Duration) []byte {
	b := make([]byte, 0, len(p.args)+len(p.method)+160)
	if p.notify {
		b = append(appendArray(b, 3), typeNotification)
	} else {
		b = appendUint(append(appendArray(b, 4), typeRequest), uint64(id))
	}
	b = appendString(b, p.method)
	n := p.count
	if p.given {
		n++
	}
	b = append(appendArray(b, n), p.args...)
	if p.given {
		b = appendMeta(b, &p.meta, max(0.001, float64(left)/float64(time.Millisecond)))
	}
	return b
}

// link is one connection to a backend. The engine's goroutine owns it, but for what is
// marked.
type link struct {
	of      *Carrier
	backend *engine.Backend
	open    map[uint32]*flight
	orphans map[uint32]struct{} // msgids of calls that were given up and may be answered yet
	lastID  uint32
	window  float64 // how many calls it may have open
	idle    time.Duration
	retired bool // gets no new call, and ends with its last one
	unknown int
	over    bool

	cancel context.CancelFunc
	mu     sync.Mutex // queue
	queue  []*flight
	wake   chan struct{}
}

// flight is an attempt on a link.
type flight struct {
	a    *engine.Attempt
	id   uint32
	body *payload
	gone bool        // the engine waits for it no more
	sent atomic.Bool // its last byte was written: from then on it may have run
	note string      // instead of a call: a notification that it was given up
}

// Begin implements engine.Carrier. The call's payload is a *payload.
func (c *Carrier) Begin(a *engine.Attempt) {
	l := c.pick(a.Backend)
	if l == nil {
		// Every connection has as many calls open as it may: one more is too many for
		// this backend, and has not run.
		a.Permit.Revoke()
		c.engine.Later(func() { a.End(engine.End{Result: marlreel.Full}) })
		return
	}
	f := &flight{a: a, body: a.Call.Payload.(*payload), id: l.newID()}
	l.open[f.id] = f
	a.Stop = func() {
		l.giveUp(f) // the connection is shared and stays: this is the attempt's end
		c.engine.Later(func() { a.End(engine.End{Result: marlreel.Cancelled}) })
	}
	l.enqueue(f)
}

// pick gives the connection to a backend with the fewest calls open, or a new one.
func (c *Carrier) pick(b *engine.Backend) *link {
	var best *link
	used := 0
	for _, l := range c.peers[b] {
		if l.retired {
			continue
		}
		used++
		if len(l.open) < int(l.window) && (best == nil || len(l.open) < len(best.open)) {
			best = l
		}
	}
	// A connection that is idle is taken before another is opened; one that has calls
	// is shared only when no more may be opened, or it has few.
	if best != nil && (len(best.open) <= int(best.window)/2 || used >= c.cfg.Connections || c.open >= c.cfg.All) {
		return best
	}
	if used >= c.cfg.Connections || c.open >= c.cfg.All && !c.spare() {
		return best
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{of: c, backend: b, open: map[uint32]*flight{}, orphans: map[uint32]struct{}{}, window: float64(c.cfg.Pipeline),
		cancel: cancel, wake: make(chan struct{}, 1), idle: c.engine.Now()}
	c.peers[b] = append(c.peers[b], l)
	c.open++
	go l.run(ctx)
	return l
}

// spare closes the connection that has been idle the longest, if there is one.
func (c *Carrier) spare() bool {
	var oldest *link
	for _, links := range c.peers {
		for _, l := range links {
			if len(l.open) == 0 && !l.retired && (oldest == nil || l.idle < oldest.idle) {
				oldest = l
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retire()
	return true
}

// newID gives a msgid that no call of the connection has, nor had and may be answered by.
func (l *link) newID() uint32 {
	for {
		l.lastID++ // and round again at 2^32
		_, open := l.open[l.lastID]
		_, orphan := l.orphans[l.lastID]
		if !open && !orphan {
			return l.lastID
		}
	}
}

func (l *link) enqueue(f *flight) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// giveUp leaves a call without an owner: the engine has ended its attempt, or is about
// to. What may have gone out may still be answered, and its msgid is kept from use.
func (l *link) giveUp(f *flight) {
	if l.open[f.id] != f {
		return
	}
	delete(l.open, f.id)
	f.gone = true
	if f.a.Permit.Used() {
		l.orphans[f.id] = struct{}{}
		l.window = max(1, l.window/2)
		if name := l.of.cfg.Cancel; name != "" {
			l.enqueue(&flight{note: name, id: f.id})
		}
		if len(l.orphans) > mostOrphans {
			l.retired = true
		}
	}
	l.rest()
}

// rest notes when nothing is open any more.
func (l *link) rest() {
	if len(l.open) > 0 {
		return
	}
	l.idle = l.of.engine.Now()
	if l.retired {
		l.cancel()
	}
}

// retire lets the connection end with its last call.
func (l *link) retire() {
	l.retired = true
	l.rest()
}

// Release implements engine.Carrier.
func (c *Carrier) Release(b *engine.Backend) {
	for _, l := range c.peers[b] {
		if len(l.open) == 0 {
			l.retire()
		}
	}
}

// Forget implements engine.Carrier. Calls that are open go on to their own ends, on
// connections that nobody gets any more.
func (c *Carrier) Forget(b *engine.Backend) {
	for _, l := range c.peers[b] {
		l.retire()
	}
	delete(c.peers, b)
}

// Retire implements engine.Carrier.
func (c *Carrier) Retire(now time.Duration) {
	for _, links := range c.peers {
		for _, l := range links {
			if len(l.open) == 0 && c.maxIdle > 0 && now-l.idle >= c.maxIdle {
				l.retire()
			}
		}
	}
}

// ---- a connection's end and its replies, on the engine's goroutine ----

// broke takes a connection's end. Nothing is written to it any more.
func (l *link) broke() {
	if l.over {
		return
	}
	l.over, l.retired = true, true
	c := l.of
	c.open--
	links := c.peers[l.backend]
	for i, other := range links {
		if other == l {
			links = append(links[:i:i], links[i+1:]...)
			break
		}
	}
	if len(links) == 0 {
		delete(c.peers, l.backend)
	} else {
		c.peers[l.backend] = links
	}
	for id, f := range l.open {
		delete(l.open, id)
		// Where its last byte never left, it never ran.
		result := marlreel.ConnectFailed
		if f.sent.Load() {
			result = marlreel.Reset
		} else {
			f.a.Permit.Revoke()
		}
		f.a.End(engine.End{Result: result})
	}
}

// moot ends a call that was not written after all; left: its caller was found to have gone.
func (l *link) moot(f *flight, left bool) {
	if l.open[f.id] == f {
		delete(l.open, f.id)
		f.a.End(engine.End{Result: marlreel.Moot, Left: left})
		l.rest()
	}
}

// notified ends a notification that was written: more is never known of it. The call
// is over with it, so that nothing is sent again, and the backend's delay is not
// learnt from it.
func (l *link) notified(f *flight) {
	if l.open[f.id] == f {
		delete(l.open, f.id)
		l.of.counts.Notified.Add(1)
		f.a.End(engine.End{Result: marlreel.Cancelled, Over: true})
		l.rest()
	}
}

// replied takes a reply.
func (l *link) replied(m message) {
	if _, orphan := l.orphans[m.id]; orphan {
		delete(l.orphans, m.id)
		l.of.counts.LateReplies.Add(1)
		return
	}
	f := l.open[m.id]
	if f == nil || !f.a.Permit.Used() {
		l.of.counts.UnknownReplies.Add(1)
		if l.unknown++; l.unknown > mostUnknown {
			l.retired = true
			l.cancel() // whoever answers what was not asked may answer anything
		}
		return
	}
	delete(l.open, m.id)
	l.window = min(float64(l.of.cfg.Pipeline), l.window+1/l.window)
	f.a.End(endOf(m))
	l.rest()
}

// endOf is what a reply means to the engine. Only an answer that a caller may get goes
// with it: of a failure or a refusal the proxy words its own.
func endOf(m message) engine.End {
	if isNil(m.error) {
		return engine.End{Result: marlreel.OK, Reply: &reply{error: m.error, result: m.result}}
	}
	result := readError(m.error)
	if result == marlreel.Declined {
		return engine.End{Result: result, Reply: &reply{error: m.error, result: m.result}}
	}
	return engine.End{Result: result}
}

// reply is a backend's answer, as it came.
type reply struct{ error, result []byte }

// readError tells what a backend's error means. See the package comment.
func readError(v []byte) marlreel.Result {
	result := marlreel.Declined
	mapEach(v, func(key string, value []byte) {
		on, _ := readBool(value)
		switch {
		case key == "$unprocessed" && on:
			result = marlreel.Full
		case key == "$failed" && on && result != marlreel.Full:
			result = marlreel.Error
		}
	})
	return result
}

// ---- the sockets ----

// run dials and writes until the connection ends, or ctx does. Then it tells the engine,
// when neither this goroutine nor the reader does anything any more.
func (l *link) run(ctx context.Context) {
	defer l.cancel()
	defer l.of.engine.Post(l.broke)
	addr, err := l.of.cfg.addr(l.backend.Addr)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: l.of.connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer l.cancel()
		l.read(conn)
	}()
	l.write(ctx, conn)
	conn.Close()
	<-read
}

func (l *link) write(ctx context.Context, conn net.Conn) {
	for {
		l.mu.Lock()
		queue := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, f := range queue {
			if !l.send(conn, f) {
				return
			}
		}
		if len(queue) > 0 {
			continue
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
	}
}

// send writes one call, and tells whether the connection can carry more.
func (l *link) send(conn net.Conn, f *flight) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.note != "" {
		_, err := conn.Write(appendNotification(nil, f.note, appendUint(appendArray(nil, 1), uint64(f.id))))
		return err == nil
	}
	// The last look before writing: it may have waited for the dial or for others. The
	// backend may be draining or gone by now, or the call answered.
	left := f.a.Call != nil && f.a.Call.Here != nil && !f.a.Call.Here()
	if left || !l.backend.Ready() || !f.a.Permit.Use() {
		l.of.engine.Post(func() { l.moot(f, left) })
		return true
	}
	data := f.body.encode(f.id, time.Until(f.a.Until))
	n, err := conn.Write(data)
	if n == len(data) {
		f.sent.Store(true)
		f.a.Wrote()
		if f.body.notify {
			l.of.engine.Post(func() { l.notified(f) })
		}
	}
	return err == nil
}

// read takes replies until the connection ends or brings what can't be read.
func (l *link) read(conn net.Conn) {
	s := scanner{limits: l.of.limits}
	buf := make([]byte, 0, readStep)
	for {
		n, done, err := s.next(buf)
		if err != nil {
			l.of.counts.BadStreams.Add(1)
			return
		}
		if done {
			m, err := parse(append([]byte(nil), buf[:n]...)) // its parts live on
			if err != nil {
				l.of.counts.BadStreams.Add(1)
				return
			}
			if m.kind == typeResponse { // a backend's own calls and notifications concern nobody
				l.of.engine.Post(func() { l.replied(m) })
			}
			buf = append(buf[:0], buf[n:]...)
			s.reset()
			continue
		}
		if buf, err = readMore(conn, buf, l.of.limits.Message); err != nil {
			return
		}
	}
}

// readMore reads what is there behind buf, whose room grows with what has come, up to
// most and a little more.
func readMore(conn net.Conn, buf []byte, most int) ([]byte, error) {
	if len(buf) == cap(buf) {
		grown := make([]byte, len(buf), min(2*cap(buf), most+readStep))
		copy(grown, buf)
		buf = grown
	}
	n, err := conn.Read(buf[len(buf):cap(buf)])
	return buf[:len(buf)+n], err
}
