package httpproxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"marlreel/internal/dataplane/engine"
)

// answer is the final HTTP answer to a request.
type answer struct {
	status     int
	header     http.Header // the backend's; nil if the proxy itself answers
	body       []byte
	reply      *Reply // owns the memory and the stream of the answer; nil if the proxy itself answers
	retryAfter time.Duration
	closesConn bool // the connection is closed after the answer, since the request is unusable or not read completely
	clientGone bool // the client has disconnected: nothing is written
}

func badRequest(status int, format string, args ...any) answer {
	a := ownAnswer(status, fmt.Sprintf(format, args...))
	a.closesConn = true
	return a
}

func ownAnswer(status int, text string) answer {
	return answer{status: status, body: []byte(text + "\n")}
}

// HandleAnswer implements engine.Front: it turns the engine's verdict into an HTTP answer.
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
		a.retryAfter = s.engine.RetryAfter() // the request was rejected before it reached the balancer
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

// writeStream sends an answer whose body has not been received completely yet.
func (s *Front) writeStream(w http.ResponseWriter, r *http.Request, req *call, a answer) {
	d := a.reply.stream
	if s.handsOver && d.request == nil { // another process couldn't go on with the request's body
		err := s.handStream(w, r, d, w.Header())
		handedOver := errors.Is(err, errHandedOver)
		d.reusable = d.reusable && !handedOver
		// As far as this process is concerned, an answer that was handed over has been served.
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
		// To this client only the close of the connection marks the end of the answer: a reset shows that the answer is
		// incomplete.
		if c := clientOf(r); c != nil {
			c.markReset()
		}
	}
	panic(http.ErrAbortHandler)
}

// finishStream returns a stream's connection and memory, and tells the engine how it ended: complete says that the whole
// body was read here, served that the request counts as answered.
func (s *Front) finishStream(req *call, reply *Reply, complete, served bool) {
	reply.stream.finish(complete)
	reply.stream = nil
	reply.release(s.memory)
	s.engine.Post(func() { s.engine.HandleStreamEnd(&req.Call, served) })
}
