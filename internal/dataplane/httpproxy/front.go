package httpproxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

const (
	// A client that sends nothing, or only part of a request, must get an error or a close
	// within 3 s of connecting. A valid request's head may take 2 s.
	headTimeout = 2400 * time.Millisecond
	// A connection between two requests may be closed after 2 s. Many clients send one
	// request and never close their connection.
	idleTimeout = 2500 * time.Millisecond
	// shutdownPollInterval is how often a shutdown checks whether any connection is still in progress.
	shutdownPollInterval = 20 * time.Millisecond
)

// call is a client's request that is waiting for its answer.
type call struct {
	engine.Call
	answers chan answer // buffered for the one answer
}

var (
	_ engine.Front = (*call)(nil)
	_ http.Handler = (*Front)(nil)
)

// Front serves the clients: it receives their requests and writes the answers.
type Front struct {
	server          *http.Server
	engine          *engine.Engine
	carrier         engine.Carrier
	memory          *budget.Budget
	conns           *clientConns  // the connections that Serve accepts
	handoverStarted chan struct{} // closed when large answers are to be handed over to another process
	transfer        atomic.Pointer[TransferFunc]
	handsOver       bool // another process may take over large answers
	ready           atomic.Bool
	stopping        atomic.Bool // every answer closes its connection
	rejecting       atomic.Bool // every new request is rejected
}

// NewFront returns a front whose calls are sent to backends by the given carrier. Buffered bodies
// are accounted for in the memory budget.
func NewFront(e *engine.Engine, carrier *Carrier, memory *budget.Budget, logger *slog.Logger) *Front {
	s := &Front{conns: newClientConns(nil, 0), handoverStarted: make(chan struct{}), engine: e, carrier: carrier, memory: memory}
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(logger.With("event", "http").Handler(), slog.LevelInfo),
		DisableGeneralOptionsHandler: true, // it would answer OPTIONS * with 200
		ConnContext:                  withClient,
		ConnState: func(nc net.Conn, state http.ConnState) {
			// Only in this state has the answer been written completely; an idle connection may be closed.
			if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
				c.markIdle(true)
			}
		},
	}
	return s
}

// SetMaxConnections limits the number of client connections. Any goroutine may call it.
func (s *Front) SetMaxConnections(limit int) { s.conns.setMaxOpen(limit) }

// EnableHandover tells the front that another process may take over large answers: their
// connections are then hijacked from net/http. It may be called only before Serve.
func (s *Front) EnableHandover() { s.handsOver = true }

// Serve accepts connections, within the limit of SetMaxConnections, until the listener is closed.
func (s *Front) Serve(ln net.Listener) error {
	s.conns.Listener = ln
	defer s.conns.close()
	return s.server.Serve(s.conns)
}

// SetReady sets whether /ready answers 200 or 503.
func (s *Front) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether clients can be served.
func (s *Front) Ready() bool { return s.ready.Load() }

// Stop makes every answer from now on close its connection.
func (s *Front) Stop() { s.stopping.Store(true) }

// RejectAll makes the front reject every request from now on at once.
func (s *Front) RejectAll() { s.rejecting.Store(true) }

// Shutdown closes idle connections and waits, once the listener is closed, until no request is
// being served or received, or ctx ends. It doesn't wait for connections without recent progress:
// many clients that never finish a request would otherwise delay every restart until the
// platform kills the process.
func (s *Front) Shutdown(ctx context.Context) error {
	// Not left to net/http: it closes an idle connection even while the next request is being read, and then still
	// serves that request.
	s.conns.endIdle()
	select {
	case <-s.conns.listenerClosed:
	case <-ctx.Done():
		return ctx.Err()
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for !s.conns.endAllIfQuiet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer s.conns.close()
	// net/http closes the listener as well, which may have been closed long ago: Serve goes on
	// after that for connections that have sent nothing yet.
	if err := s.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for s.conns.anyLingering() { // for lingerTimeout at most
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// WaitForClients waits, once the listener is closed, until no client connection is open, or ctx ends. Unlike Shutdown it
// closes no idle connection: a request may be in flight on it and would be left unread.
func (s *Front) WaitForClients(ctx context.Context) error {
	// The last connection may have been accepted from the listener and not be in the table yet.
	for _, done := range []func() <-chan struct{}{func() <-chan struct{} { return s.conns.listenerClosed }, s.conns.waitAllClosed} {
		select {
		case <-done():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := clientOf(r)
	ambiguous := c != nil && c.beginRequest()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		s.serveReady(w)
		return
	}
	req, timeout, a := s.parse(r, s.engine.SettingsSnapshot())
	if ambiguous {
		a = badRequest(http.StatusBadRequest, "the head can be read in more than one way")
	}
	if a.status != 0 {
		s.finishRequest(w, r, req, a)
		return
	}
	var in *pacedReader
	if r.ContentLength != 0 {
		in = newPacedReader(r, http.NewResponseController(w))
	}
	body, reserved, up, a := s.readBody(r, in)
	if reserved > 0 {
		defer s.memory.Release(reserved, budget.Small)
	}
	if c != nil {
		defer func() { c.body = nil }()
	}
	if up != nil {
		defer up.release()
	}
	if a.status != 0 {
		if c != nil && c.transferRequest(r, body, up) {
			panic(http.ErrAbortHandler)
		}
		s.finishRequest(w, r, req, a)
		return
	}
	req.Payload = newMessage(r, body, up)
	if c != nil {
		req.ClientConnected = c.connected
		c.markBusy()
	}
	a = s.answerTo(w, r, req, timeout, in)
	if a.clientGone || a.closesConn && c != nil && c.transferRequest(r, nil, up) {
		panic(http.ErrAbortHandler)
	}
	s.finishRequest(w, r, req, a)
}

// serveReady answers the platform's readiness check.
func (s *Front) serveReady(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // checks are rare, and the client may never close its connection
	status := http.StatusServiceUnavailable
	if s.ready.Load() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// answerTo returns the answer to a request whose body has been read completely, or as far as it fits into memory.
func (s *Front) answerTo(w http.ResponseWriter, r *http.Request, req *call, timeout time.Duration, in *pacedReader) answer {
	up := req.Payload.(*Message).upload
	switch {
	case s.rejecting.Load():
		return ownAnswer(http.StatusServiceUnavailable, "the proxy stops")
	case up == nil || up.complete():
		return s.awaitAnswer(r, req, timeout)
	}
	return s.awaitAnswerWhileReceiving(w, r, req, timeout, in)
}

// finishRequest writes the answer, and closes the connection if necessary.
func (s *Front) finishRequest(w http.ResponseWriter, r *http.Request, req *call, a answer) {
	c := clientOf(r)
	if c != nil && (s.stopping.Load() || c.conns.underPressure()) {
		w.Header().Set("Connection", "close")
	}
	s.writeAnswer(w, r, req, a)
	if !a.closesConn {
		return
	}
	// Nothing more is read from this connection, neither the rest of a body nor a request smuggled in it. While net/http
	// gives the client time to read the error, the connection may be evicted in favor of others.
	_ = http.NewResponseController(w).Flush()
	if c != nil {
		c.markIdle(false)
	}
}

// awaitAnswer passes a completely received request to the engine and waits for the answer.
func (s *Front) awaitAnswer(r *http.Request, req *call, left time.Duration) answer {
	arrived := s.engine.Now()
	req.Deadline = arrived + left
	s.engine.Post(func() { s.engine.HandleCall(&req.Call, arrived) })
	select {
	case a := <-req.answers:
		return a
	case <-r.Context().Done():
		s.abandon(req)
		// Returning would send an empty 200 to a client that may still be reading.
		panic(http.ErrAbortHandler)
	}
}

// awaitAnswerWhileReceiving passes a request to the engine whose body exceeds the memory available for it, forwards the
// body as it arrives, and waits for the answer.
func (s *Front) awaitAnswerWhileReceiving(w http.ResponseWriter, r *http.Request, req *call, timeout time.Duration, in *pacedReader) answer {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c := clientOf(r)
	if c != nil {
		c.setReceivingBody(true)
		defer c.setReceivingBody(false)
	}
	arrived := s.engine.Now()
	req.Receiving, req.Timeout = true, timeout
	s.engine.Post(func() { s.engine.HandleCall(&req.Call, arrived) })
	filled := make(chan error, 1)
	go func() { filled <- s.receiveRest(ctx, req, in) }()
	out := http.NewResponseController(w)
	receiving := filled // nil once the body has been received
	for {
		select {
		case a := <-req.answers:
			if receiving != nil {
				cancel()
				a.closesConn = endReceiving(out, receiving) || a.closesConn
			}
			return a
		case err := <-receiving:
			if err == nil {
				receiving = nil
				continue
			}
			s.abandon(req)
			if a := bodyError(err); a.status != http.StatusBadRequest || c != nil && c.readHandedOver {
				return a
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done(): // also after a failed read, which may show here before it shows in receiving
			s.abandon(req)
			if receiving != nil {
				_ = out.SetReadDeadline(time.Now())
				if err := <-receiving; c != nil && c.readHandedOver {
					return bodyError(err)
				}
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// receiveRest receives the rest of a request's body, and tells the engine when it is complete.
func (s *Front) receiveRest(ctx context.Context, req *call, in *pacedReader) error {
	err := req.Payload.(*Message).upload.fill(ctx, in, true)
	if err == nil {
		completed := s.engine.Now()
		s.engine.Post(func() { s.engine.HandleRequestComplete(&req.Call, completed) })
	}
	return err
}

// endReceiving stops receiving a body whose rest is not needed, and reports whether the connection must be closed after
// the answer. A client that is still writing gets earlyAnswerDrain to read the answer.
func endReceiving(out *http.ResponseController, receiving <-chan error) (closesConn bool) {
	_ = out.SetReadDeadline(time.Now())
	if err := <-receiving; err == nil {
		return false
	}
	_ = out.SetReadDeadline(time.Now().Add(earlyAnswerDrain))
	return true
}

// abandon tells the engine that the client has disconnected. An answer that has arrived in the meantime is discarded.
func (s *Front) abandon(req *call) {
	s.engine.Post(func() {
		s.engine.HandleClientGone(&req.Call)
		select {
		case a := <-req.answers:
			s.discardAnswer(req, a)
		default:
		}
	})
}

// discardAnswer releases an answer that no client will get. It must run on the engine's goroutine.
func (s *Front) discardAnswer(req *call, a answer) {
	if a.reply == nil {
		return
	}
	streams := a.reply.stream != nil
	a.reply.release(s.memory)
	if streams {
		s.engine.HandleStreamEnd(&req.Call, false)
	}
}
