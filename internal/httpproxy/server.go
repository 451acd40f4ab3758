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
	"fmt"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"marlreel/internal/engine"
)

const (
	// A client that says nothing, or half of something, is owed an error or a close
	// within 3 s of connecting.
	headTimeout = 2 * time.Second         // for a request's head
	readTimeout = 2500 * time.Millisecond // for all of a request
	// From a request's head to the end of its answer, where the longest class allows less.
	writeTimeout = 10 * time.Second
	// A connection between two requests may be closed after 2 s. Many clients ask
	// once and keep theirs for good.
	idleTimeout = 2500 * time.Millisecond
)

// answer is the one final answer to a request, in HTTP's words.
type answer struct {
	status     int
	header     http.Header // a backend's; nil for the proxy's own answers
	body       []byte
	retryAfter time.Duration
	bad        bool // the request can't be used, and its connection ends with the answer
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
	clients  *clients // of Serve
	ready    atomic.Bool
	stopping atomic.Bool // every answer ends its connection
}

// NewFront makes a front whose calls go to backends by a carrier.
func NewFront(e *engine.Engine, carrier *Carrier, errorLog *log.Logger) *Front {
	s := &Front{clients: newClients(nil, 0), engine: e, carrier: carrier}
	longest := time.Duration(0) // that a client waits
	for _, c := range e.Settings().Classes {
		longest = max(longest, c.GiveUp)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, ReadTimeout: readTimeout,
		WriteTimeout: max(writeTimeout, longest+headTimeout), IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: errorLog,
		DisableGeneralOptionsHandler: true, // which would answer OPTIONS * with 200
		ConnContext:                  withClient,
		ConnState: func(nc net.Conn, state http.ConnState) {
			// Only now has the answer gone out whole: a connection that rests may be closed.
			if c, ok := nc.(*client); ok && state == http.StateIdle {
				c.rest(true)
			}
		}}
	return s
}

// Serve takes connections, so many at a time, until the listener is closed.
func (s *Front) Serve(ln net.Listener, most int) error {
	s.clients.most = most
	s.clients.Listener = ln
	return s.http.Serve(s.clients)
}

// SetReady says what /ready answers.
func (s *Front) SetReady(ready bool) { s.ready.Store(ready) }

// Ready tells whether clients can be served.
func (s *Front) Ready() bool { return s.ready.Load() }

// Stop lets every answer from now on end its connection.
func (s *Front) Stop() { s.stopping.Store(true) }

// Shutdown closes the listener and what is idle, and waits until nothing is in hand or
// ctx ends.
func (s *Front) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Linger waits until no client's connection is left, or ctx ends. Unlike Shutdown it closes
// none that rests: a request may be on its way there, and be left unread.
func (s *Front) Linger(ctx context.Context) error {
	select {
	case <-s.clients.gone():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Answer implements engine.Front: it words the engine's verdict.
func (c *call) Answer(_ *engine.Call, a engine.Answer) {
	var w answer
	switch a.Verdict {
	case engine.Served:
		r := a.Reply.(*reply)
		w = answer{status: http.StatusOK, header: passedOn(r.header), body: r.body}
	case engine.Refused:
		w = ownAnswer(http.StatusServiceUnavailable, "refused")
		w.retryAfter = a.RetryAfter
	case engine.Overloaded:
		w = ownAnswer(http.StatusServiceUnavailable, "too many requests")
	case engine.OutOfTime:
		w = ownAnswer(http.StatusGatewayTimeout, "out of time")
	case engine.Stopped:
		w = ownAnswer(http.StatusBadGateway, "the proxy stops")
	case engine.InUse:
		w = badRequest(http.StatusConflict, "%s is in use", headerID)
	default:
		w = ownAnswer(http.StatusBadGateway, "failed")
	}
	c.answers <- w
}

// ServeHTTP implements http.Handler.
func (s *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := clientOf(r)
	if c != nil {
		c.begins()
	}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		status := http.StatusServiceUnavailable
		if s.ready.Load() {
			status = http.StatusOK
		}
		w.WriteHeader(status)
		return
	}
	req, left, a := s.parse(r, s.engine.Book())
	if a.status == 0 {
		if c != nil {
			c.busy()
		}
		arrived := s.engine.Now() // the request's last byte is here
		req.Deadline = arrived + left
		s.engine.Post(func() { s.engine.Take(&req.Call, arrived) })
		select {
		case a = <-req.answers:
		case <-r.Context().Done():
			s.engine.Post(func() { s.engine.Gone(&req.Call) })
			// Returning would answer 200 with nothing, to a client that may still read.
			panic(http.ErrAbortHandler)
		}
	}
	if c != nil && c.clients.crowded() {
		w.Header().Set("Connection", "close")
	}
	write(w, a)
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

func write(w http.ResponseWriter, a answer) {
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
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body) // an error says that the client has left
}
