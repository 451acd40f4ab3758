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

// Server takes callers' connections. Many calls are open on one, and are answered in
// any order.
type Server struct {
	engine   *engine.Engine
	carrier  engine.Carrier
	config   *Config
	limits   Limits
	logf     func(string, ...any)
	counters *Counters

	mu          sync.Mutex
	connections map[*clientConn]struct{}
	draining    bool
	drained     chan struct{} // closed when a draining front has no connection left
	goroutines  sync.WaitGroup
}

// NewServer makes a front whose calls go to backends by a carrier. The configuration has
// been validated, also against the settings.
func NewServer(e *engine.Engine, carrier *Carrier, cfg *Config, logger *slog.Logger, counts *Counters) *Server {
	f := &Server{
		engine: e, carrier: carrier, config: cfg, limits: Limits{MaxMessageBytes: cfg.MaxMessageBytes, MaxDepth: cfg.MaxDepth},
		logf: logs.ForEvent(logger, "rpc"), counters: counts,
		connections: map[*clientConn]struct{}{}, drained: make(chan struct{}),
	}
	return f
}

// Serve takes connections until the listener is closed.
func (f *Server) Serve(ln net.Listener) error {
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
func (f *Server) admit(nc net.Conn) {
	c := &clientConn{Conn: nc, server: f, pending: map[uint32]*call{}, wake: make(chan struct{}, 1), lastMessageAt: time.Now()}
	f.mu.Lock()
	if len(f.connections) >= f.config.MaxConnections {
		var silent *clientConn
		for o := range f.connections {
			if o.isIdle() && (silent == nil || o.lastMessage().Before(silent.lastMessage())) {
				silent = o
			}
		}
		if silent == nil {
			f.mu.Unlock()
			nc.Close()
			return
		}
		delete(f.connections, silent)
		silent.close()
	}
	f.connections[c] = struct{}{}
	draining := f.draining
	f.mu.Unlock()
	f.goroutines.Go(c.readLoop)
	f.goroutines.Go(c.writeLoop)
	if draining {
		c.startDraining(f.config.AnnounceDrain)
	}
}

// Connections is how many are open.
func (f *Server) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// StartDraining begins the drain: no connection takes a new call, which is answered so, and each
// closes when what it has open is answered.
func (f *Server) StartDraining() {
	f.mu.Lock()
	f.draining = true
	var all []*clientConn
	for c := range f.connections {
		all = append(all, c)
	}
	if len(all) == 0 {
		f.closeDrained()
	}
	f.mu.Unlock()
	for _, c := range all {
		c.startDraining(f.config.AnnounceDrain)
	}
}

// closeDrained tells that nothing is left; the caller has the lock.
func (f *Server) closeDrained() {
	select {
	case <-f.drained:
	default:
		close(f.drained)
	}
}

// Shutdown waits after Stop until all connections have ended or ctx does.
func (f *Server) Shutdown(ctx context.Context) error {
	select {
	case <-f.drained:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-f.drained: // both at once
		return nil
	default:
		return ctx.Err()
	}
}

// Close ends all connections and waits for their goroutines.
func (f *Server) Close() {
	f.mu.Lock()
	for c := range f.connections {
		c.close()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

func (f *Server) onConnEnded(c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
	if f.draining && len(f.connections) == 0 {
		f.closeDrained()
	}
}

// methodOf finds the entry for a method: an exact name before a prefix, of prefixes the
// longest.
func (f *Server) methodOf(name string) *Method {
	var best *Method
	for i := range f.config.Methods {
		m := &f.config.Methods[i]
		switch {
		case !m.IsPrefix && m.Name == name:
			return m
		case m.IsPrefix && strings.HasPrefix(name, m.Name) && (best == nil || len(m.Name) > len(best.Name)):
			best = m
		}
	}
	return best
}

// clientConn is one caller's connection.
type clientConn struct {
	net.Conn
	server *Server

	mu            sync.Mutex
	pending       map[uint32]*call
	lastMessageAt time.Time // when the last message came
	draining      bool
	lingering     bool // draining, and calls may still be on their way
	ended         bool
	queue         [][]byte
	queuedBytes   int // bytes
	wake          chan struct{}
}

// call is a call in hand.
type call struct {
	engine.Call
	conn         *clientConn
	msgid        uint32
	notification bool // a notification: nobody waits
}

func (c *clientConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && c.queuedBytes == 0
}

func (c *clientConn) lastMessage() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastMessageAt
}

// close closes the connection; its reader takes the caller's leave for what is open.
func (c *clientConn) close() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.Conn.Close()
	c.wakeWriter()
}

func (c *clientConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// startDraining lets the connection take no new call.
func (c *clientConn) startDraining(announce bool) {
	if announce {
		c.enqueue(encodeNotification(drainMethod, appendArray(nil, 0)))
	}
	c.mu.Lock()
	c.draining, c.lingering = true, true
	c.mu.Unlock()
	time.AfterFunc(drainLinger, func() {
		c.mu.Lock()
		c.lingering = false
		c.mu.Unlock()
		c.wakeWriter() // it may have nothing open
	})
}

// enqueue hands the writer a message. It does not wait: a caller that does not read is
// dropped when too much waits for it.
func (c *clientConn) enqueue(data []byte) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	if c.queuedBytes+len(data) > c.server.config.MaxQueuedBytes {
		c.mu.Unlock()
		c.server.counters.SlowCallers.Add(1)
		c.close()
		return
	}
	c.queue, c.queuedBytes = append(c.queue, data), c.queuedBytes+len(data)
	c.mu.Unlock()
	c.wakeWriter()
}

// writeLoop sends answers until the connection ends, and ends a draining one when all is
// answered.
func (c *clientConn) writeLoop() {
	for {
		c.mu.Lock()
		queue, bytes := net.Buffers(c.queue), c.queuedBytes
		c.queue = nil
		over := c.ended
		done := c.draining && !c.lingering && len(c.pending) == 0 && len(queue) == 0
		c.mu.Unlock()
		if over {
			return
		}
		if done {
			c.close()
			return
		}
		if len(queue) == 0 {
			<-c.wake
			continue
		}
		c.SetWriteDeadline(time.Now().Add(answerTimeout))
		if _, err := queue.WriteTo(c.Conn); err != nil {
			c.close()
			return
		}
		c.mu.Lock()
		c.queuedBytes -= bytes
		c.mu.Unlock()
	}
}

// readLoop takes messages until the connection ends. Then the callers of what is open have
// left.
func (c *clientConn) readLoop() {
	defer func() {
		c.close()
		c.mu.Lock()
		open := c.pending
		c.pending = map[uint32]*call{}
		c.mu.Unlock()
		for _, q := range open {
			c.server.engine.Post(func() { c.server.engine.HandleClientGone(&q.Call) })
		}
		c.server.onConnEnded(c)
	}()
	s := scanner{limits: c.server.limits}
	buf := make([]byte, 0, readBufferBytes)
	began := false // a message has begun, and its time runs
	for {
		n, done, err := s.advance(buf)
		if err != nil {
			c.server.counters.MalformedStreams.Add(1)
			return
		}
		if done {
			m, err := parseMessage(append([]byte(nil), buf[:n]...)) // its parts live on
			if err != nil || !c.handleMessage(m) {
				c.server.counters.MalformedStreams.Add(1)
				return
			}
			buf = append(buf[:0], buf[n:]...)
			s.reset()
			began = false
			continue
		}
		switch {
		case len(buf) == 0:
			c.SetReadDeadline(time.Now().Add(c.server.config.IdleTimeout.D()))
		case !began:
			began = true
			c.SetReadDeadline(time.Now().Add(messageTimeout))
		}
		if buf, err = readMore(c.Conn, buf, c.server.limits.MaxMessageBytes); err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() && len(buf) == 0 && !c.isIdle() {
				continue // its calls are open: it has a reason to be silent
			}
			return
		}
	}
}

// handleMessage takes a message, and tells whether the connection can go on: after a msgid that
// is open already, no answer could be told from the other's.
func (c *clientConn) handleMessage(m message) bool {
	arrived := c.server.engine.Now()
	if m.kind == typeResponse {
		return true // nothing was asked of the caller
	}
	note := m.kind == typeNotification
	c.mu.Lock()
	c.lastMessageAt = time.Now()
	_, twice := c.pending[m.id]
	open, draining := len(c.pending), c.draining
	c.mu.Unlock()
	if twice && !note {
		return false
	}
	q, problem := c.newCall(m, arrived, note)
	switch {
	case problem != nil:
	case draining:
		problem = &callError{Code: codeDraining, Message: "this process ends; connect again", Retry: true}
	case open >= c.server.config.MaxOpenCalls:
		problem = &callError{Code: codeOverloaded, Message: "too many calls are open on this connection", Retry: true, After: c.server.engine.RetryAfter()}
	}
	if problem != nil {
		if note {
			c.server.counters.DroppedNotifications.Add(1)
		} else {
			c.enqueue(appendResponse(nil, m.id, problem.encode(), nilValue))
		}
		return true
	}
	q.ClientConnected = c.isOpen
	if !note {
		c.mu.Lock()
		c.pending[m.id] = q
		c.mu.Unlock()
	}
	c.server.engine.Post(func() { c.server.engine.HandleCall(&q.Call, arrived) })
	return true
}

// isOpen tells whether the caller is still there.
func (c *clientConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

var nilValue = []byte{0xc0}

// newCall makes a call of a message. An error is the caller's fault.
func (c *clientConn) newCall(m message, arrived time.Duration, note bool) (*call, *callError) {
	f := c.server
	method := f.methodOf(m.method)
	if method == nil {
		return nil, &callError{Code: codeNoMethod, Message: "no such method"}
	}
	if note && !method.AcceptNotifications {
		return nil, &callError{Code: codeBadRequest, Message: "no notification is taken of this method"}
	}
	params, err := splitParams(m.params)
	if err != nil {
		return nil, &callError{Code: codeBadRequest, Message: err.Error()}
	}
	meta := params.meta
	by := f.engine.SettingsSnapshot()
	class, known := by.ClassIndexes[method.Class]
	if !known {
		return nil, &callError{Code: codeNoMethod, Message: "the method's class is out of use"}
	}
	k := &by.Settings.Classes[class]
	if (meta.IdempotencyKey != "") != (k.Effect == balancer.Keyed) {
		return nil, &callError{Code: codeBadRequest, Message: "$key is missing or out of place"}
	}
	house, tenant := meta.Tenant, 0
	if house == "" {
		house = f.config.DefaultTenant
	}
	if len(by.TenantIndexes) > 0 {
		t, known := by.TenantIndexes[house]
		if !known {
			return nil, &callError{Code: codeBadRequest, Message: "$house is missing or unknown"}
		}
		tenant = t
	}
	left := k.ClientTimeout
	if meta.TimeoutMs > 0 {
		left = min(left, time.Duration(meta.TimeoutMs*float64(time.Millisecond)))
	}
	if meta.RequestID == "" {
		var id [requestIDLength / 2]byte
		rand.Read(id[:]) // never fails
		meta.RequestID = hex.EncodeToString(id[:])
	}
	about := uint64(0)
	if meta.AffinityKey != "" {
		h := fnv.New64a()
		io.WriteString(h, meta.AffinityKey)
		about = h.Sum64()
	}
	q := &call{conn: c, msgid: m.id, notification: note, Call: engine.Call{
		ClientRequestID: meta.RequestID, Carrier: f.carrier, Snapshot: by,
		Request: balancer.Request{Class: class, Tenant: tenant, Key: about, IsRetry: meta.IsRetry, Deadline: arrived + left},
		Payload: &payload{method: m.method, args: params.args, count: params.count, meta: meta, given: params.hasMeta, notification: note},
	}}
	q.Front = q
	return q, nil
}

// HandleAnswer implements engine.Front: it words the engine's verdict.
func (q *call) HandleAnswer(_ *engine.Call, a engine.Answer) {
	if q.notification {
		return
	}
	c := q.conn
	c.mu.Lock()
	mine := c.pending[q.msgid] == q
	if mine {
		delete(c.pending, q.msgid)
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
	case engine.Rejected:
		problem = (&callError{Code: codeRefused, Message: "refused", Retry: true, After: a.RetryAfter}).encode()
	case engine.Overloaded:
		problem = (&callError{Code: codeOverloaded, Message: "too many calls are open", Retry: true, After: a.RetryAfter}).encode()
	case engine.TimedOut:
		problem = (&callError{Code: codeOutOfTime, Message: "out of time; it may have run"}).encode()
	case engine.Stopped:
		problem = (&callError{Code: codeFailed, Message: "this process stops; it may have run"}).encode()
	case engine.ClientGone:
		return // nobody is there to read it
	case engine.DuplicateID:
		problem = (&callError{Code: codeInUse, Message: "$id is in use"}).encode()
	}
	c.enqueue(appendResponse(make([]byte, 0, len(problem)+len(result)+8), q.msgid, problem, result))
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
