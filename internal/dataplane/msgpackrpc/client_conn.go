package msgpackrpc

import (
	"errors"
	"net"
	"sync"
	"time"
)

// clientConn is a client's connection. One goroutine reads and one writes; both end when it is closed.
type clientConn struct {
	conn   net.Conn
	server *Server
	wake   chan struct{} // makes the writer check the state again

	mu            sync.Mutex
	pending       map[uint32]*call // by msgid
	lastMessageAt time.Time
	draining      bool
	lingering     bool // draining, but calls may still be in flight from the client
	ended         bool
	queue         [][]byte // encoded messages that wait for the writer
	queuedBytes   int      // in queue and in the messages being written
}

func newClientConn(conn net.Conn, s *Server) *clientConn {
	return &clientConn{
		conn: conn, server: s, pending: map[uint32]*call{}, wake: make(chan struct{}, 1), lastMessageAt: time.Now(),
	}
}

// isIdle reports whether no call is pending and nothing waits to be written.
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

// isOpen reports whether the client is still connected.
func (c *clientConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

// close closes the connection; its reader then tells the engine that the clients of pending calls have disconnected.
func (c *clientConn) close() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	_ = c.conn.Close() // the connection ends even if this fails
	c.wakeWriter()
}

func (c *clientConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// startDraining rejects new calls, and closes the connection once drainLinger is over and nothing is pending.
func (c *clientConn) startDraining(announce bool) {
	if announce {
		c.enqueue(encodeNotification(drainMethod, appendArray(nil, 0)))
	}
	c.mu.Lock()
	c.draining = true
	c.lingering = true
	c.mu.Unlock()
	time.AfterFunc(drainLinger, func() {
		c.mu.Lock()
		c.lingering = false
		c.mu.Unlock()
		c.wakeWriter() // it closes the connection if nothing is pending
	})
}

// enqueue hands the writer a message. It does not block: a client that reads too slowly is disconnected when its queue
// is full.
func (c *clientConn) enqueue(data []byte) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	if c.queuedBytes+len(data) > c.server.config.MaxQueuedBytes {
		c.mu.Unlock()
		c.server.counters.SlowClients.Add(1)
		c.close()
		return
	}
	c.queue = append(c.queue, data)
	c.queuedBytes += len(data)
	c.mu.Unlock()
	c.wakeWriter()
}

// writerState is what the writer has to act on.
type writerState struct {
	queue   [][]byte
	bytes   int // of queue
	ended   bool
	drained bool // the connection is draining and nothing is left
}

// takeQueue takes the queued messages.
func (c *clientConn) takeQueue() writerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := writerState{queue: c.queue, bytes: c.queuedBytes, ended: c.ended}
	c.queue = nil
	state.drained = c.draining && !c.lingering && len(c.pending) == 0 && len(state.queue) == 0
	return state
}

func (c *clientConn) onWritten(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedBytes -= bytes
}

// writeLoop writes answers until the connection ends, and closes a draining connection when all calls are answered.
func (c *clientConn) writeLoop() {
	for {
		state := c.takeQueue()
		if state.ended {
			return
		}
		if state.drained {
			c.close()
			return
		}
		if len(state.queue) == 0 {
			<-c.wake
			continue
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // if this fails, so does the write
		buffers := net.Buffers(state.queue)
		_, err := buffers.WriteTo(c.conn)
		if err != nil {
			c.close()
			return
		}
		c.onWritten(state.bytes)
	}
}

// readLoop reads messages until the connection ends.
func (c *clientConn) readLoop() {
	defer c.onReadEnded()
	r := newMessageReader(c.conn, c.server.limits)
	started := false // part of a message has arrived and its deadline is set
	for {
		m, complete, err := r.next()
		if err != nil || complete && !c.handleMessage(m) {
			c.server.counters.MalformedStreams.Add(1)
			return
		}
		if complete {
			started = false
			continue
		}
		switch {
		case r.isEmpty():
			_ = c.conn.SetReadDeadline(time.Now().Add(c.server.config.IdleTimeout.D())) // if this fails, so does the read
		case !started:
			started = true
			_ = c.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // as above
		}
		err = r.fill()
		waitsForAnswers := isTimeout(err) && r.isEmpty() && !c.isIdle()
		if err != nil && !waitsForAnswers {
			return
		}
	}
}

func isTimeout(err error) bool {
	if err == nil {
		return false // errors.As would allocate
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// onReadEnded closes the connection and tells the engine that the clients of pending calls have disconnected.
func (c *clientConn) onReadEnded() {
	c.close()
	c.mu.Lock()
	pending := c.pending
	c.pending = map[uint32]*call{}
	c.mu.Unlock()
	for _, q := range pending {
		c.server.engine.Post(func() { c.server.engine.HandleClientGone(&q.Call) })
	}
	c.server.onConnEnded(c)
}

// handleMessage handles a message. It returns false if the connection can't go on: with two pending calls of the same
// msgid, the client could not tell their answers apart.
func (c *clientConn) handleMessage(m message) bool {
	if m.kind == typeResponse {
		return true // the proxy sends no requests to clients
	}
	arrived := c.server.engine.Now()
	notification := m.kind == typeNotification
	c.mu.Lock()
	c.lastMessageAt = time.Now()
	_, duplicate := c.pending[m.id]
	pending, draining := len(c.pending), c.draining
	c.mu.Unlock()
	if duplicate && !notification {
		return false
	}
	q, problem := c.newCall(m, arrived, notification)
	if problem == nil {
		problem = c.admissionError(pending, draining)
	}
	if problem != nil {
		c.reject(m.id, notification, problem)
		return true
	}
	if !notification {
		c.mu.Lock()
		c.pending[m.id] = q
		c.mu.Unlock()
	}
	c.server.engine.Post(func() { c.server.engine.HandleCall(&q.Call, arrived) })
	return true
}

// admissionError returns why the connection accepts no further call; nil if it does.
func (c *clientConn) admissionError(pending int, draining bool) *callError {
	if draining {
		return &callError{Code: codeDraining, Message: "this process ends; connect again", Retry: true}
	}
	if pending >= c.server.config.MaxOpenCalls {
		return &callError{
			Code: codeOverloaded, Message: "too many calls are open on this connection", Retry: true,
			After: c.server.engine.RetryAfter(),
		}
	}
	return nil
}

// reject answers a call that the engine doesn't get; a notification is only counted.
func (c *clientConn) reject(msgid uint32, notification bool, problem *callError) {
	if notification {
		c.server.counters.DroppedNotifications.Add(1)
		return
	}
	c.enqueue(appendResponse(nil, msgid, problem.encode(), nilValue))
}

// removePending removes a call that is answered. It returns false if the call is no longer pending, because its client
// has disconnected.
func (c *clientConn) removePending(q *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[q.msgid] != q {
		return false
	}
	delete(c.pending, q.msgid)
	return true
}
