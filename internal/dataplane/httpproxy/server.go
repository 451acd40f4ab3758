// Package httpproxy speaks HTTP/1.1 with clients and with backends: requests in and
// answers out on the one side, attempts, probes and the connections for them on the
// other. It decides nothing: which backend, whether again and what to refuse comes
// from the engine.
//
// What proves that an attempt never ran, and what it is told as:
//
//	outcome                                               told as         never ran
//	200 with a body                                       OK              no
//	503 or 504 with X-Unprocessed: 1                      Full            yes
//	no connection came up                                 ConnectFailed   yes
//	it breaks before the last byte is written             Moot            yes
//	the permit was revoked before the first byte          Moot            yes
//	another 4xx than 408 and 429                          Declined        no
//	any other status                                      Error           no
//	it breaks, or can't be read, after the last byte      Reset           no
//	nothing until its time is up                          Timeout         no
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
	// shutdownLook is how often a shutdown looks whether something still moves.
	shutdownLook = 20 * time.Millisecond
)

// answer is the one final answer to a request, in HTTP's words.
type answer struct {
	status     int
	header     http.Header // a backend's; nil for the proxy's own answers
	body       []byte
	from       *Reply // whose room and stream go with the answer; nil for the proxy's own
	retryAfter time.Duration
	bad        bool // the request can't be used, and its connection ends with the answer
	left       bool // nobody is there to take it
}

func badRequest(status int, format string, args ...any) answer {
	a := ownAnswer(status, fmt.Sprintf(format, args...))
	a.bad = true
	return a
}

func ownAnswer(status int, text string) answer {
	return answer{status: status, body: []byte(text + "\n")}
}

// call is a request in hand.
type call struct {
	engine.Call
	answers chan answer // has room for the one answer
}

// Front is the side of the clients.
type Front struct {
	http     *http.Server
	engine   *engine.Engine
	carrier  engine.Carrier
	room     *budget.Budget
	clients  *clients      // of Serve
	leaving  chan struct{} // closed when large answers are to go on elsewhere
	giver    atomic.Pointer[Giver]
	handsOn  bool // there may be another process to go on with large answers
	ready    atomic.Bool
	stopping atomic.Bool // every answer ends its connection
	refusing atomic.Bool // nothing is taken any more
}

// NewFront makes a front whose calls go to backends by a carrier. What it holds of bodies
// it takes from room.
func NewFront(e *engine.Engine, carrier *Carrier, room *budget.Budget, logger *slog.Logger) *Front {
	s := &Front{clients: newClients(nil, 0), leaving: make(chan struct{}), engine: e, carrier: carrier, room: room}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(logger.With("event", "http").Handler(), slog.LevelInfo),
		DisableGeneralOptionsHandler: true, // which would answer OPTIONS * with 200
		ConnContext:                  withClient,
		ConnState: func(nc net.Conn, state http.ConnState) {
			// Only now has the answer gone out whole: a connection that rests may be closed.
			if c, ok := nc.(*client); ok && state == http.StateIdle {
				c.rest(true)
			}
		},
	}
	return s
}

// SetMost bounds the clients' connections. Any goroutine may call it.
func (s *Front) SetMost(most int) { s.clients.setMost(most) }

// HandOn says that there may be another process to go on with large answers: their
// connections are then taken from net/http. Only before Serve.
func (s *Front) HandOn() { s.handsOn = true }

// Serve takes connections, within SetMost's bound, until the listener is closed.
func (s *Front) Serve(ln net.Listener) error {
	s.clients.Listener = ln
	defer s.clients.close()
	return s.http.Serve(s.clients)
}

// SetReady says what /ready answers.
func (s *Front) SetReady(ready bool) { s.ready.Store(ready) }

// Ready tells whether clients can be served.
func (s *Front) Ready() bool { return s.ready.Load() }

// Stop lets every answer from now on end its connection.
func (s *Front) Stop() { s.stopping.Store(true) }

// Refuse lets every request from now on be refused at once.
func (s *Front) Refuse() { s.refusing.Store(true) }

// Shutdown closes what rests between two requests and waits, once the listener is closed,
// until nothing is in hand or on its way, or ctx ends. Connections on which nothing moves
// don't keep it: a crowd of those that never finish a request would hold every restart up
// to the end of the platform's patience.
func (s *Front) Shutdown(ctx context.Context) error {
	// Danger: net/http ends a connection that rests while its next request is being read, and goes on to serve it.
	s.clients.endResting()
	select {
	case <-s.clients.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	looks := time.NewTicker(shutdownLook)
	defer looks.Stop()
	for !s.clients.endAll() {
		select {
		case <-looks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer s.clients.close()
	// net/http closes the listener too, which may have been closed long ago: Serve goes on for
	// connections that have said nothing yet.
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for s.clients.leaves() { // for lingerFor at most
		select {
		case <-looks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Linger waits, once the listener is closed, until no client's connection is left, or ctx ends. Unlike Shutdown it closes
// none that rests: a request may be on its way there, and be left unread.
func (s *Front) Linger(ctx context.Context) error {
	// Danger: the last connection may have left the listener and not be in the table yet.
	for _, done := range []func() <-chan struct{}{func() <-chan struct{} { return s.clients.ended }, s.clients.gone} {
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
		w = answer{status: http.StatusOK, header: passedOn(r.header), body: r.body, from: r}
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
		w.left = true
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
	odd := c != nil && c.begins()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		w.Header().Set("Connection", "close") // who asks it asks seldom, and may keep the connection for good
		status := http.StatusServiceUnavailable
		if s.ready.Load() {
			status = http.StatusOK
		}
		w.WriteHeader(status)
		return
	}
	req, left, a := s.parse(r, s.engine.SettingsSnapshot())
	if odd {
		a = badRequest(http.StatusBadRequest, "the head can be read in more than one way")
	}
	var up *upload
	if a.status == 0 {
		var in *paced
		if r.ContentLength != 0 {
			in = newPaced(r, http.NewResponseController(w))
		}
		var body []byte
		var held int
		body, held, up, a = s.readBody(r, in)
		if held > 0 {
			defer s.room.Release(held, budget.Small)
		}
		if c != nil {
			defer func() { c.body = nil }()
		}
		if up != nil {
			defer up.release()
		}
		if a.status != 0 && c != nil && c.passRequest(r, body, up) {
			panic(http.ErrAbortHandler)
		}
		if a.status == 0 {
			req.Payload = newMessage(r, body, up)
			if c != nil {
				req.ClientConnected = c.here
				c.busy()
			}
			if s.refusing.Load() {
				a = ownAnswer(http.StatusServiceUnavailable, "the proxy stops")
			} else if up == nil || up.whole() {
				a = s.serve(r, req, left)
			} else {
				a = s.serveComing(w, r, req, left, in)
			}
			if a.left || a.bad && c != nil && c.passRequest(r, nil, up) {
				panic(http.ErrAbortHandler)
			}
		}
	}
	if c != nil && (s.stopping.Load() || c.clients.crowded()) {
		w.Header().Set("Connection", "close")
	}
	s.write(w, r, req, a)
	if a.bad {
		// What follows on this connection, a body's rest or a request hidden in it,
		// is not read. While net/http lets the client read the error, the connection
		// may be closed for others.
		http.NewResponseController(w).Flush()
		if c != nil {
			c.rest(false)
		}
	}
}

// serve has a request answered whose last byte is here.
func (s *Front) serve(r *http.Request, req *call, left time.Duration) answer {
	arrived := s.engine.Now()
	req.Deadline = arrived + left
	s.engine.Post(func() { s.engine.HandleCall(&req.Call, arrived) })
	select {
	case a := <-req.answers:
		return a
	case <-r.Context().Done():
		s.leave(req)
		// Returning would answer 200 with nothing, to a client that may still read.
		panic(http.ErrAbortHandler)
	}
}

// serveComing has one answered whose body is larger than the room for it: it goes on as it
// comes.
func (s *Front) serveComing(w http.ResponseWriter, r *http.Request, req *call, left time.Duration, in *paced) answer {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	up := req.Payload.(*Message).up
	c := clientOf(r)
	if c != nil {
		c.setPartly(true)
		defer c.setPartly(false)
	}
	arrived := s.engine.Now()
	req.Receiving, req.Timeout = true, left
	s.engine.Post(func() { s.engine.HandleCall(&req.Call, arrived) })
	filled := make(chan error, 1)
	go func() {
		err := up.fill(ctx, in, true)
		if err == nil {
			came := s.engine.Now()
			s.engine.Post(func() { s.engine.HandleRequestComplete(&req.Call, came) })
		}
		filled <- err
	}()
	out := http.NewResponseController(w)
	coming := filled
	for {
		select {
		case a := <-req.answers:
			if coming != nil {
				// The rest is not wanted. The client may still write, and reads the answer then.
				cancel()
				out.SetReadDeadline(time.Now())
				if err := <-coming; err != nil {
					out.SetReadDeadline(time.Now().Add(drainWait))
					a.bad = true
				}
			}
			return a
		case err := <-coming:
			if coming = nil; err == nil {
				continue
			}
			s.leave(req)
			if a := bodyTrouble(err); a.status != http.StatusBadRequest || c != nil && c.left {
				return a
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done(): // also where a read has failed: that may be known here first
			s.leave(req)
			if coming != nil {
				out.SetReadDeadline(time.Now())
				if err := <-coming; c != nil && c.left {
					return bodyTrouble(err)
				}
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// leave takes a client's leave. An answer that came meanwhile is nobody's.
func (s *Front) leave(req *call) {
	s.engine.Post(func() {
		s.engine.HandleClientGone(&req.Call)
		select {
		case a := <-req.answers:
			s.drop(req, a)
		default:
		}
	})
}

// drop gives up an answer that nobody takes. On the engine's goroutine.
func (s *Front) drop(req *call, a answer) {
	if a.from == nil {
		return
	}
	streams := a.from.stream != nil
	a.from.release(s.room)
	if streams {
		s.engine.HandleStreamEnd(&req.Call, false)
	}
}

// write sends an answer.
func (s *Front) write(w http.ResponseWriter, r *http.Request, req *call, a answer) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.header == nil {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.bad {
		h.Set("Connection", "close")
	}
	if a.retryAfter == 0 && a.from == nil && a.status == http.StatusServiceUnavailable {
		a.retryAfter = s.engine.RetryAfter() // it was turned away at the door
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.from == nil || a.from.stream == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
		if c := clientOf(r); c != nil {
			c.SetWriteDeadline(time.Now().Add(stall))
		}
		w.WriteHeader(a.status)
		w.Write(a.body) // an error says that the client has left
		if a.from != nil {
			a.from.release(s.room)
		}
		return
	}
	d := a.from.stream
	if s.handsOn {
		err := s.hand(w, r, d, h)
		d.keep = d.keep && err != errHandedOn
		d.end(err == nil)
		a.from.stream = nil
		a.from.release(s.room)
		// One that is handed on has been served as far as this process goes.
		s.engine.Post(func() { s.engine.HandleStreamEnd(&req.Call, err == nil || err == errHandedOn) })
		return
	}
	if d.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(d.length, 10))
	}
	w.WriteHeader(a.status)
	err := d.pass(r.Context(), w, http.NewResponseController(w), s.room)
	d.end(err == nil)
	a.from.stream = nil
	a.from.release(s.room)
	s.engine.Post(func() { s.engine.HandleStreamEnd(&req.Call, err == nil) })
	if err == nil {
		return
	}
	if d.length < 0 && !r.ProtoAtLeast(1, 1) {
		// Only the connection's end tells this client where the answer ends: it has to be
		// one that can't be taken for a good one.
		if c := clientOf(r); c != nil {
			c.reset()
		}
	}
	panic(http.ErrAbortHandler)
}
