package msgpackrpc

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/logs"
)

const (
	// A message that has begun is owed its rest within this: a caller that sends half
	// of one is told or closed within 3 s.
	messageTimeout = 2500 * time.Millisecond
	// answerTimeout is how long a caller may take nothing of its answers.
	answerTimeout = 5 * time.Second
	// drainLinger is how long a connection with nothing open still answers calls while
	// the process drains: a call that crosses the end of its connection is lost.
	drainLinger = 500 * time.Millisecond
	drainMethod = "$drain"
)

// Front takes callers' connections. Many calls are open on one, and are answered in
// any order.
type Front struct {
	engine  *engine.Engine
	carrier engine.Carrier
	cfg     *Config
	limits  Limits
	logf    func(string, ...any)
	counts  *Counts

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	draining bool
	quiet    chan struct{} // closed when a draining front has no connection left
	wg       sync.WaitGroup
}

// NewFront makes a front whose calls go to backends by a carrier. The configuration has
// been validated, also against the settings.
func NewFront(e *engine.Engine, carrier *Carrier, cfg *Config, logger *slog.Logger, counts *Counts) *Front {
	f := &Front{
		engine: e, carrier: carrier, cfg: cfg, limits: Limits{Message: cfg.MessageBytes, Depth: cfg.Nesting},
		logf: logs.ForEvent(logger, "rpc"), counts: counts,
		conns: map[*callerConn]struct{}{}, quiet: make(chan struct{}),
	}
	return f
}

// Serve takes connections until the listener is closed.
func (f *Front) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return err
		}
		f.admit(nc)
	}
}

// admit takes a connection; at the bound the one that has been silent the longest
// makes room, and where all have calls open the new one is closed.
func (f *Front) admit(nc net.Conn) {
	c := &callerConn{Conn: nc, front: f, open: map[uint32]*call{}, wake: make(chan struct{}, 1), heard: time.Now()}
	f.mu.Lock()
	if len(f.conns) >= f.cfg.Connections {
		var silent *callerConn
		for o := range f.conns {
			if o.idle() && (silent == nil || o.lastHeard().Before(silent.lastHeard())) {
				silent = o
			}
		}
		if silent == nil {
			f.mu.Unlock()
			nc.Close()
			return
		}
		delete(f.conns, silent)
		silent.end()
	}
	f.conns[c] = struct{}{}
	draining := f.draining
	f.mu.Unlock()
	f.wg.Go(c.read)
	f.wg.Go(c.write)
	if draining {
		c.drain(f.cfg.AnnounceDrain)
	}
}

// Connections is how many are open.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Stop begins the drain: no connection takes a new call, which is answered so, and each
// closes when what it has open is answered.
func (f *Front) Stop() {
	f.mu.Lock()
	f.draining = true
	var all []*callerConn
	for c := range f.conns {
		all = append(all, c)
	}
	if len(all) == 0 {
		f.hush()
	}
	f.mu.Unlock()
	for _, c := range all {
		c.drain(f.cfg.AnnounceDrain)
	}
}

// hush tells that nothing is left; the caller has the lock.
func (f *Front) hush() {
	select {
	case <-f.quiet:
	default:
		close(f.quiet)
	}
}

// Shutdown waits after Stop until all connections have ended or ctx does.
func (f *Front) Shutdown(ctx context.Context) error {
	select {
	case <-f.quiet:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-f.quiet: // both at once
		return nil
	default:
		return ctx.Err()
	}
}

// Close ends all connections and waits for their goroutines.
func (f *Front) Close() {
	f.mu.Lock()
	for c := range f.conns {
		c.end()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Front) left(c *callerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	if f.draining && len(f.conns) == 0 {
		f.hush()
	}
}

// method finds the entry for a method: an exact name before a prefix, of prefixes the
// longest.
func (f *Front) method(name string) *Method {
	var best *Method
	for i := range f.cfg.Methods {
		m := &f.cfg.Methods[i]
		switch {
		case !m.Prefix && m.Name == name:
			return m
		case m.Prefix && strings.HasPrefix(name, m.Name) && (best == nil || len(m.Name) > len(best.Name)):
			best = m
		}
	}
	return best
}

// callerConn is one caller's connection.
type callerConn struct {
	net.Conn
	front *Front

	mu       sync.Mutex
	open     map[uint32]*call
	heard    time.Time // when the last message came
	draining bool
	lingers  bool // draining, and calls may still be on their way
	over     bool
	queue    [][]byte
	queued   int // bytes
	wake     chan struct{}
}

// call is a call in hand.
type call struct {
	engine.Call
	conn *callerConn
	id   uint32
	note bool // a notification: nobody waits
}

func (c *callerConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && c.queued == 0
}

func (c *callerConn) lastHeard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

// end closes the connection; its reader takes the caller's leave for what is open.
func (c *callerConn) end() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.Conn.Close()
	c.stir()
}

func (c *callerConn) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// drain lets the connection take no new call.
func (c *callerConn) drain(announce bool) {
	if announce {
		c.enqueue(appendNotification(nil, drainMethod, appendArray(nil, 0)))
	}
	c.mu.Lock()
	c.draining, c.lingers = true, true
	c.mu.Unlock()
	time.AfterFunc(drainLinger, func() {
		c.mu.Lock()
		c.lingers = false
		c.mu.Unlock()
		c.stir() // it may have nothing open
	})
}

// enqueue hands the writer a message. It does not wait: a caller that does not read is
// dropped when too much waits for it.
func (c *callerConn) enqueue(data []byte) {
	c.mu.Lock()
	if c.over {
		c.mu.Unlock()
		return
	}
	if c.queued+len(data) > c.front.cfg.QueueBytes {
		c.mu.Unlock()
		c.front.counts.SlowCallers.Add(1)
		c.end()
		return
	}
	c.queue, c.queued = append(c.queue, data), c.queued+len(data)
	c.mu.Unlock()
	c.stir()
}

// write sends answers until the connection ends, and ends a draining one when all is
// answered.
func (c *callerConn) write() {
	for {
		c.mu.Lock()
		queue, bytes := net.Buffers(c.queue), c.queued
		c.queue = nil
		over := c.over
		done := c.draining && !c.lingers && len(c.open) == 0 && len(queue) == 0
		c.mu.Unlock()
		if over {
			return
		}
		if done {
			c.end()
			return
		}
		if len(queue) == 0 {
			<-c.wake
			continue
		}
		c.SetWriteDeadline(time.Now().Add(answerTimeout))
		if _, err := queue.WriteTo(c.Conn); err != nil {
			c.end()
			return
		}
		c.mu.Lock()
		c.queued -= bytes
		c.mu.Unlock()
	}
}

// read takes messages until the connection ends. Then the callers of what is open have
// left.
func (c *callerConn) read() {
	defer func() {
		c.end()
		c.mu.Lock()
		open := c.open
		c.open = map[uint32]*call{}
		c.mu.Unlock()
		for _, q := range open {
			c.front.engine.Post(func() { c.front.engine.Gone(&q.Call) })
		}
		c.front.left(c)
	}()
	s := scanner{limits: c.front.limits}
	buf := make([]byte, 0, readStep)
	began := false // a message has begun, and its time runs
	for {
		n, done, err := s.next(buf)
		if err != nil {
			c.front.counts.BadStreams.Add(1)
			return
		}
		if done {
			m, err := parse(append([]byte(nil), buf[:n]...)) // its parts live on
			if err != nil || !c.take(m) {
				c.front.counts.BadStreams.Add(1)
				return
			}
			buf = append(buf[:0], buf[n:]...)
			s.reset()
			began = false
			continue
		}
		switch {
		case len(buf) == 0:
			c.SetReadDeadline(time.Now().Add(c.front.cfg.Idle.D()))
		case !began:
			began = true
			c.SetReadDeadline(time.Now().Add(messageTimeout))
		}
		if buf, err = readMore(c.Conn, buf, c.front.limits.Message); err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() && len(buf) == 0 && !c.idle() {
				continue // its calls are open: it has a reason to be silent
			}
			return
		}
	}
}

// take takes a message, and tells whether the connection can go on: after a msgid that
// is open already, no answer could be told from the other's.
func (c *callerConn) take(m message) bool {
	arrived := c.front.engine.Now()
	if m.kind == typeResponse {
		return true // nothing was asked of the caller
	}
	note := m.kind == typeNotification
	c.mu.Lock()
	c.heard = time.Now()
	_, twice := c.open[m.id]
	open, draining := len(c.open), c.draining
	c.mu.Unlock()
	if twice && !note {
		return false
	}
	q, problem := c.parse(m, arrived, note)
	switch {
	case problem != nil:
	case draining:
		problem = &callError{Code: codeDraining, Message: "this process ends; connect again", Retry: true}
	case open >= c.front.cfg.OpenCalls:
		problem = &callError{Code: codeOverloaded, Message: "too many calls are open on this connection", Retry: true, After: c.front.engine.ComeAgain()}
	}
	if problem != nil {
		if note {
			c.front.counts.DroppedNotes.Add(1)
		} else {
			c.enqueue(appendResponse(nil, m.id, problem.encode(), nilValue))
		}
		return true
	}
	q.Here = c.here
	if !note {
		c.mu.Lock()
		c.open[m.id] = q
		c.mu.Unlock()
	}
	c.front.engine.Post(func() { c.front.engine.Take(&q.Call, arrived) })
	return true
}

// here tells whether the caller is still there.
func (c *callerConn) here() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.over
}

var nilValue = []byte{0xc0}

// parse makes a call of a message. An error is the caller's fault.
func (c *callerConn) parse(m message, arrived time.Duration, note bool) (*call, *callError) {
	f := c.front
	method := f.method(m.method)
	if method == nil {
		return nil, &callError{Code: codeNoMethod, Message: "no such method"}
	}
	if note && !method.Notify {
		return nil, &callError{Code: codeBadRequest, Message: "no notification is taken of this method"}
	}
	args, count, meta, given, err := splitMeta(m.params)
	if err != nil {
		return nil, &callError{Code: codeBadRequest, Message: err.Error()}
	}
	by := f.engine.Book()
	class, known := by.Classes[method.Class]
	if !known {
		return nil, &callError{Code: codeNoMethod, Message: "the method's class is out of use"}
	}
	k := &by.Settings.Classes[class]
	if (meta.Key != "") != (k.Effect == balancer.Keyed) {
		return nil, &callError{Code: codeBadRequest, Message: "$key is missing or out of place"}
	}
	house, tenant := meta.House, 0
	if house == "" {
		house = f.cfg.House
	}
	if len(by.Tenants) > 0 {
		t, known := by.Tenants[house]
		if !known {
			return nil, &callError{Code: codeBadRequest, Message: "$house is missing or unknown"}
		}
		tenant = t
	}
	left := k.ClientTimeout
	if meta.LeftMs > 0 {
		left = min(left, time.Duration(meta.LeftMs*float64(time.Millisecond)))
	}
	if meta.ID == "" {
		var id [idLength / 2]byte
		rand.Read(id[:]) // never fails
		meta.ID = hex.EncodeToString(id[:])
	}
	about := uint64(0)
	if meta.About != "" {
		h := fnv.New64a()
		io.WriteString(h, meta.About)
		about = h.Sum64()
	}
	q := &call{conn: c, id: m.id, note: note, Call: engine.Call{
		Name: meta.ID, Carrier: f.carrier, Book: by,
		Request: balancer.Request{Class: class, Tenant: tenant, Key: about, IsRetry: meta.Repeat, Deadline: arrived + left},
		Payload: &payload{method: m.method, args: args, count: count, meta: meta, given: given, notify: note},
	}}
	q.Front = q
	return q, nil
}

// Answer implements engine.Front: it words the engine's verdict.
func (q *call) Answer(_ *engine.Call, a engine.Answer) {
	if q.note {
		return
	}
	c := q.conn
	c.mu.Lock()
	mine := c.open[q.id] == q
	if mine {
		delete(c.open, q.id)
	}
	c.mu.Unlock()
	if !mine { // the caller has left
		return
	}
	problem, result := nilValue, nilValue
	switch a.Verdict {
	case engine.Served:
		r := a.Reply.(*reply)
		problem, result = r.error, r.result
	case engine.Failed:
		if r, ok := a.Reply.(*reply); ok { // the backend's own error, as it came
			problem, result = r.error, r.result
			break
		}
		problem = (&callError{Code: codeFailed, Message: "failed; it may have run"}).encode()
	case engine.Refused:
		problem = (&callError{Code: codeRefused, Message: "refused", Retry: true, After: a.RetryAfter}).encode()
	case engine.Overloaded:
		problem = (&callError{Code: codeOverloaded, Message: "too many calls are open", Retry: true, After: a.RetryAfter}).encode()
	case engine.OutOfTime:
		problem = (&callError{Code: codeOutOfTime, Message: "out of time; it may have run"}).encode()
	case engine.Stopped:
		problem = (&callError{Code: codeFailed, Message: "this process stops; it may have run"}).encode()
	case engine.Left:
		return // nobody is there to read it
	case engine.InUse:
		problem = (&callError{Code: codeInUse, Message: "$id is in use"}).encode()
	}
	c.enqueue(appendResponse(make([]byte, 0, len(problem)+len(result)+8), q.id, problem, result))
}

// The codes of errors that are this proxy's own.
const (
	codeRefused    = "refused"     // coming again is harmless
	codeOverloaded = "overloaded"  // the same
	codeDraining   = "draining"    // the same, on another connection
	codeFailed     = "failed"      // nothing is promised
	codeOutOfTime  = "out-of-time" // the same
	codeBadRequest = "bad-request" // the caller's fault
	codeNoMethod   = "no-method"   // the same
	codeInUse      = "in-use"      // the same
)

// callError is an error of this proxy's own, as a caller gets it: a map.
type callError struct {
	Code, Message string
	Retry         bool // trying again is harmless
	After         time.Duration
}

func (e *callError) encode() []byte {
	n := 3
	if e.After > 0 {
		n++
	}
	b := appendString(appendString(appendMap(nil, n), "code"), e.Code)
	b = appendString(appendString(b, "message"), e.Message)
	b = appendBool(appendString(b, "retry"), e.Retry)
	if e.After > 0 {
		b = appendFloat(appendString(b, "retry_after"), e.After.Seconds())
	}
	return b
}
