package proxy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marlreel"
)

const (
	headTimeout  = 5 * time.Second  // for a request's head
	readTimeout  = 10 * time.Second // for all of a request
	writeTimeout = 30 * time.Second // from a request's head to the end of its answer
	idleTimeout  = 2 * time.Minute
)

// answer is the one final answer to a request.
type answer struct {
	status     int
	header     http.Header // a backend's; nil for the proxy's own answers
	body       []byte
	retryAfter time.Duration
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
	conns    atomic.Int64
	most     int64 // connections from which on clients are shed
	classes  map[string]int
	tenants  map[string]int
}

func newServer(cfg *Config, l *loop, errorLog *log.Logger) *server {
	s := &server{loop: l, most: int64(cfg.clientConns()), classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Settings.Classes {
		s.classes[c.Name] = i
	}
	for i, t := range cfg.Settings.Tenants {
		s.tenants[t.Name] = i
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead, ErrorLog: errorLog,
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.conns.Add(-1)
			}
		}}
	return s
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if s.conns.Load() > s.most {
		// Descriptors run out soon. Nothing was sent for this request, so it may come again.
		w.Header().Set("Connection", "close")
		write(w, ownAnswer(http.StatusServiceUnavailable, "too many connections"))
		return
	}
	req, left, status, err := s.parse(w, r)
	if err != nil {
		write(w, ownAnswer(status, err.Error()))
		return
	}
	req.arrived = s.loop.now() // the request's last byte is here
	req.Deadline = req.arrived + left
	req.answers = make(chan answer, 1)
	s.loop.post(func() { s.loop.request(req) })
	select {
	case a := <-req.answers:
		write(w, a)
	case <-r.Context().Done():
		s.loop.post(func() { s.loop.gone(req) })
		// Returning would answer 200 with nothing, to a client that may still read.
		panic(http.ErrAbortHandler)
	}
}

// parse reads a request. What can't be read is the client's fault; the status says how.
func (s *server) parse(w http.ResponseWriter, r *http.Request) (*request, time.Duration, int, error) {
	bad := func(status int, format string, args ...any) (*request, time.Duration, int, error) {
		return nil, 0, status, fmt.Errorf(format, args...)
	}
	h := r.Header
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := s.classes[name]
	if !known {
		return bad(http.StatusNotFound, "unknown class %q", name)
	}
	tenant := 0
	if len(s.tenants) > 0 {
		if tenant, known = s.tenants[h.Get("X-Account")]; !known {
			return bad(http.StatusBadRequest, "unknown account %q", h.Get("X-Account"))
		}
	}
	left, err := parseSpan(h.Get(headerTimeout))
	if err != nil {
		return bad(http.StatusBadRequest, "%s: %v", headerTimeout, err)
	}
	if h.Get("X-Correlation-Id") == "" {
		return bad(http.StatusBadRequest, "no X-Correlation-Id")
	}
	method, effect := http.MethodPost, s.loop.cfg.Settings.Classes[class].Effect
	if effect == marlreel.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return bad(http.StatusMethodNotAllowed, "%s takes %s", name, method)
	}
	// Backends know a keyed request's repeats by this header alone. Without it a second attempt would run again.
	if effect == marlreel.Keyed && h.Get("Idempotency-Key") == "" {
		return bad(http.StatusBadRequest, "%s needs an Idempotency-Key", name)
	}
	var cost time.Duration
	if hint := h.Get("X-Weight-Hint"); hint != "" {
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us <= float64(longestSpan.Microseconds())) {
			return bad(http.StatusBadRequest, "X-Weight-Hint %q", hint)
		}
		cost = time.Duration(us * float64(time.Microsecond))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return bad(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", maxBody)
		}
		return bad(http.StatusBadRequest, "the body ended early")
	}
	var key uint64
	if rest != "" {
		f := fnv.New64a()
		io.WriteString(f, rest[strings.LastIndexByte(rest, '/')+1:])
		key = f.Sum64()
	}
	m := &message{method: r.Method, url: r.URL, host: r.Host, header: endToEnd(h), body: body}
	return &request{Request: marlreel.Request{Class: class, Tenant: tenant, Key: key, Cost: cost,
		Repeat: h.Get("X-Repeat") == "1"}, msg: m}, left, 0, nil
}

// endToEnd copies the headers that go on beyond this hop. Framing is each side's own.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Upgrade",
		"Transfer-Encoding", "Content-Length", "Expect"} {
		out.Del(name)
	}
	return out
}

func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.header == nil {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body) // an error says that the client has left
}
