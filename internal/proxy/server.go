package proxy

import (
	"fmt"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
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

// answer is the one final answer to a request.
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

// server is the side of the clients.
type server struct {
	http     *http.Server
	loop     *loop
	ready    atomic.Bool
	stopping atomic.Bool // every answer ends its connection
	classes  map[string]int
	tenants  map[string]int
}

func newServer(cfg *Config, l *loop, errorLog *log.Logger) *server {
	s := &server{loop: l, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Settings.Classes {
		s.classes[c.Name] = i
	}
	for i, t := range cfg.Settings.Tenants {
		s.tenants[t.Name] = i
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, ReadTimeout: readTimeout,
		WriteTimeout: max(writeTimeout, cfg.longestGiveUp()+headTimeout), IdleTimeout: idleTimeout,
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

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	req, left, a := s.parse(r)
	if a.status == 0 {
		if c != nil {
			c.busy()
		}
		req.arrived = s.loop.now() // the request's last byte is here
		req.Deadline = req.arrived + left
		req.answers = make(chan answer, 1)
		s.loop.post(func() { s.loop.request(req) })
		select {
		case a = <-req.answers:
		case <-r.Context().Done():
			s.loop.post(func() { s.loop.gone(req) })
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
