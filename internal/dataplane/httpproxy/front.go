package httpproxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/budget"
)

const (
	// A client that says nothing, or half of something, is owed an error or a close
	// within 3 s of connecting.
	headTimeout = 2400 * time.Millisecond // for a request's head, which may take 2 s
	// A connection between two requests may be closed after 2 s. Many clients ask
	// once and keep theirs for good.
	idleTimeout = 2500 * time.Millisecond
	// shutdownPollInterval is how often a shutdown looks whether something still moves.
	shutdownPollInterval = 20 * time.Millisecond
)

// answer is the one final answer to a request, in HTTP's words.
type answer struct {
	status     int
	header     http.Header // a backend's; nil for the proxy's own answers
	body       []byte
	reply      *Reply // whose memory and stream go with the answer; nil for the proxy's own
	retryAfter time.Duration
	closesConn bool // the request can't be used, and its connection ends with the answer
	clientGone bool // nobody is there to take it
}

func badRequest(status int, format string, args ...any) answer {
	a := ownAnswer(status, fmt.Sprintf(format, args...))
	a.closesConn = true
	return a
}

func ownAnswer(status int, text string) answer {
	return answer{status: status, body: []byte(text + "\n")}
}

// call is a client's request that waits for its answer.
type call struct {
	engine.Call
	answers chan answer // has capacity for the one answer
}

var (
	_ engine.Front = (*call)(nil)
	_ http.Handler = (*Front)(nil)
)

// Front is the side of the clients.
type Front struct {
	server          *http.Server
	engine          *engine.Engine
	carrier         engine.Carrier
	memory          *budget.Budget
	conns           *clientConns  // of Serve
	handoverStarted chan struct{} // closed when large answers are to go on elsewhere
	transfer        atomic.Pointer[TransferFunc]
	handsOver       bool // there may be another process to go on with large answers
	ready           atomic.Bool
	stopping        atomic.Bool // every answer ends its connection
	rejecting       atomic.Bool // nothing is taken any more
}

// NewFront makes a front whose calls go to backends by a carrier. What it holds of bodies
// it takes from memory.
func NewFront(e *engine.Engine, carrier *Carrier, memory *budget.Budget, logger *slog.Logger) *Front {
	s := &Front{conns: newClientConns(nil, 0), handoverStarted: make(chan struct{}), engine: e, carrier: carrier, memory: memory}
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(logger.With("event", "http").Handler(), slog.LevelInfo),
		DisableGeneralOptionsHandler: true, // which would answer OPTIONS * with 200
		ConnContext:                  withClient,
		ConnState: func(nc net.Conn, state http.ConnState) {
			// Only now has the answer gone out completely: an idle connection may be closed.
			if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
				c.markIdle(true)
			}
		},
	}
	return s
}

// SetMaxConnections bounds the clients' connections. Any goroutine may call it.
func (s *Front) SetMaxConnections(limit int) { s.conns.setMaxOpen(limit) }

// EnableHandover says that there may be another process to go on with large answers: their
// connections are then taken from net/http. Only before Serve.
func (s *Front) EnableHandover() { s.handsOver = true }

// Serve takes connections, within SetMost's bound, until the listener is closed.
func (s *Front) Serve(ln net.Listener) error {
	s.conns.Listener = ln
	defer s.conns.close()
	return s.server.Serve(s.conns)
}

// SetReady says what /ready answers.
func (s *Front) SetReady(ready bool) { s.ready.Store(ready) }

// Ready tells whether clients can be served.
func (s *Front) Ready() bool { return s.ready.Load() }

// Stop lets every answer from now on end its connection.
func (s *Front) Stop() { s.stopping.Store(true) }

// RejectAll lets every request from now on be refused at once.
func (s *Front) RejectAll() { s.rejecting.Store(true) }

// Shutdown closes idle connections and waits, once the listener is closed,
// until nothing is in hand or on its way, or ctx ends. Connections on which nothing moves
// don't keep it: a crowd of those that never finish a request would hold every restart up
// to the end of the platform's patience.
func (s *Front) Shutdown(ctx context.Context) error {
	// net/http ends an idle connection while its next request is being read, and goes on to serve it.
	s.conns.endIdle()
	select {
	case <-s.conns.listenerClosed:
	case <-ctx.Done():
		return ctx.Err()
	}
	looks := time.NewTicker(shutdownPollInterval)
	defer looks.Stop()
	for !s.conns.endAllIfQuiet() {
		select {
		case <-looks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer s.conns.close()
	// net/http closes the listener too, which may have been closed long ago: Serve goes on for
	// connections that have said nothing yet.
	if err := s.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for s.conns.anyLingering() { // for lingerFor at most
		select {
		case <-looks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// WaitForClients waits, once the listener is closed, until no client's connection is left, or ctx ends. Unlike Shutdown it closes
// none that rests: a request may be on its way there, and be left unread.
func (s *Front) WaitForClients(ctx context.Context) error {
	// The last connection may have left the listener and not be in the table yet.
	for _, done := range []func() <-chan struct{}{func() <-chan struct{} { return s.conns.listenerClosed }, s.conns.waitAllClosed} {
		select {
		case <-done():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// HandleAnswer implements engine.Front: it words the engine's verdict.
func (c *call) HandleAnswer(_ *engine.Call, a engine.Answer) {
	var w answer
	switch a.Verdict {
	case engine.Served:
		r := a.Reply.(*Reply)
		r.claimed = true
		w = answer{status: http.StatusOK, header: forwardedHeader(r.header), body: r.body, reply: r}
	case engine.Rejected:
		w = ownAnswer(http.StatusServiceUnavailable, "refused")
		w.retryAfter = a.RetryAfter
	case engine.Overloaded:
		w = ownAnswer(http.StatusServiceUnavailable, "too many requests")
		w.retryAfter = a.RetryAfter
	case engine.TimedOut:
		w = ownAnswer(http.StatusGatewayTimeout, "out of time")
	case engine.Stopped:
		w = ownAnswer(http.StatusBadGateway, "the proxy stops")
	case engine.ClientGone:
		w.clientGone = true
	case engine.DuplicateID:
		w = badRequest(http.StatusConflict, "%s is in use", headerID)
	default:
		w = ownAnswer(http.StatusBadGateway, "failed")
	}
	c.answers <- w
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
	w.Header().Set("Connection", "close") // it asks seldom, and may keep the connection for good
	status := http.StatusServiceUnavailable
	if s.ready.Load() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// answerTo gives the answer to a request whose body has been read, or as much of it as fits.
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

// finishRequest writes the answer, and ends the connection where it has to.
func (s *Front) finishRequest(w http.ResponseWriter, r *http.Request, req *call, a answer) {
	c := clientOf(r)
	if c != nil && (s.stopping.Load() || c.conns.underPressure()) {
		w.Header().Set("Connection", "close")
	}
	s.writeAnswer(w, r, req, a)
	if !a.closesConn {
		return
	}
	// What follows on this connection, a body's rest or a request hidden in it, is not read. While net/http lets the
	// client read the error, the connection may be closed for others.
	_ = http.NewResponseController(w).Flush()
	if c != nil {
		c.markIdle(false)
	}
}

// awaitAnswer has a request answered whose last byte is here.
func (s *Front) awaitAnswer(r *http.Request, req *call, left time.Duration) answer {
	arrived := s.engine.Now()
	req.Deadline = arrived + left
	s.engine.Post(func() { s.engine.HandleCall(&req.Call, arrived) })
	select {
	case a := <-req.answers:
		return a
	case <-r.Context().Done():
		s.abandon(req)
		// Returning would answer 200 with nothing, to a client that may still read.
		panic(http.ErrAbortHandler)
	}
}

// awaitAnswerWhileReceiving has one answered whose body is larger than the memory for it: it is forwarded as it comes.
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
		case <-r.Context().Done(): // also where a read has failed: that may be known here first
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

// endReceiving ends the receiving of a body whose rest is not wanted, and tells whether its connection ends with the
// answer. The client may still be writing, and reads the answer then.
func endReceiving(out *http.ResponseController, receiving <-chan error) (closesConn bool) {
	_ = out.SetReadDeadline(time.Now())
	if err := <-receiving; err == nil {
		return false
	}
	_ = out.SetReadDeadline(time.Now().Add(earlyAnswerDrain))
	return true
}

// abandon tells the engine that the client has disconnected. An answer that came meanwhile is discarded.
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

// discardAnswer releases an answer that nobody takes. On the engine's goroutine.
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

// writeAnswer sends an answer.
func (s *Front) writeAnswer(w http.ResponseWriter, r *http.Request, req *call, a answer) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.header == nil {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.closesConn {
		h.Set("Connection", "close")
	}
	if a.retryAfter == 0 && a.reply == nil && a.status == http.StatusServiceUnavailable {
		a.retryAfter = s.engine.RetryAfter() // it was rejected before the balancer heard of it
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.reply != nil && a.reply.stream != nil {
		s.writeStream(w, r, req, a)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if c := clientOf(r); c != nil {
		_ = c.SetWriteDeadline(time.Now().Add(stallTimeout))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // an error says that the client has disconnected
	if a.reply != nil {
		a.reply.release(s.memory)
	}
}

// writeStream sends an answer of which more is to come than is here.
func (s *Front) writeStream(w http.ResponseWriter, r *http.Request, req *call, a answer) {
	d := a.reply.stream
	if s.handsOver {
		err := s.handStream(w, r, d, w.Header())
		handedOver := errors.Is(err, errHandedOver)
		d.reusable = d.reusable && !handedOver
		// One that is handed over has been served as far as this process goes.
		s.finishStream(req, a.reply, err == nil, err == nil || handedOver)
		return
	}
	if d.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(d.length, 10))
	}
	w.WriteHeader(a.status)
	err := d.forward(r.Context(), w, http.NewResponseController(w), s.memory)
	s.finishStream(req, a.reply, err == nil, err == nil)
	if err == nil {
		return
	}
	if d.length < 0 && !r.ProtoAtLeast(1, 1) {
		// Only the connection's end tells this client where the answer ends: it has to be one that can't be taken for
		// a good one.
		if c := clientOf(r); c != nil {
			c.markReset()
		}
	}
	panic(http.ErrAbortHandler)
}

// finishStream gives a stream's connection and memory back, and tells the engine how it ended: complete says that all of
// it was read here, served that it counts as answered.
func (s *Front) finishStream(req *call, reply *Reply, complete, served bool) {
	reply.stream.finish(complete)
	reply.stream = nil
	reply.release(s.memory)
	s.engine.Post(func() { s.engine.HandleStreamEnd(&req.Call, served) })
}
