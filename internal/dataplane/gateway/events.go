package gateway

import (
	"bytes"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"marlreel/internal/engine"
	"marlreel/internal/httpproxy"
)

const (
	// eventBuffer is how much of a stream is read at a time.
	eventBuffer = 4 << 10
	// longestEvent bounds an event that is held until it is whole.
	longestEvent = 1 << 20
)

var (
	errBroken = eris.New("the stream broke off")
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
)

// events passes a stream on, event by event: what is not whole is held back, so that a
// stream that breaks off can go on elsewhere, after the last event that the client has.
type events struct {
	exchange  *exchange
	reply     *httpproxy.Reply
	buffer    []byte
	held      []byte // read and not yet passed on
	passable  int    // of held, that may be passed on
	lastEvent string
	runs      int
	ended     bool // the stream is at its end
	closed    bool
	stopLook  chan struct{}
}

func newEvents(e *exchange, reply *httpproxy.Reply) *events {
	s := &events{exchange: e, reply: reply, buffer: make([]byte, eventBuffer), runs: 1, stopLook: make(chan struct{})}
	go s.breakOnHangup(reply)
	return s
}

// breakOnHangup ends the reading from a backend when the client has left.
func (s *events) breakOnHangup(reply *httpproxy.Reply) {
	select {
	case <-s.exchange.hangup.gone:
		reply.Break()
	case <-s.stopLook:
	}
}

// Read implements io.Reader: one or more whole events at a time.
func (s *events) Read(p []byte) (int, error) {
	for s.passable == 0 {
		if s.ended {
			return 0, io.EOF
		}
		n, err := s.reply.Read(s.buffer, s.exchange.deadline)
		s.held = append(s.held, s.buffer[:n]...)
		s.findEvents()
		switch {
		case err == io.EOF:
			s.ended, s.passable = true, len(s.held)
		case err != nil:
			if s.passable == 0 && !s.goOn() {
				return 0, errBroken
			}
		case len(s.held) > longestEvent:
			s.passable = len(s.held)
		}
	}
	n := copy(p, s.held[:s.passable])
	s.held = append(s.held[:0], s.held[n:]...)
	s.passable -= n
	return n, nil
}

// findEvents finds how much of what is held are whole events, and the last one's id.
func (s *events) findEvents() {
	end := bytes.LastIndex(s.held, eventEnd)
	if end < 0 {
		return
	}
	whole := s.held[:end+len(eventEnd)]
	for line := range bytes.SplitSeq(whole[s.passable:], []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			s.lastEvent = string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	s.passable = len(whole)
}

// goOn has a broken stream continued by another backend, where its route allows that.
func (s *events) goOn() bool {
	e := s.exchange
	if !e.route.Resumable || s.lastEvent == "" || s.runs >= e.route.AttemptLimit() || s.left() ||
		time.Until(e.deadline) <= 0 || !e.service.takeRepeat() {
		return false
	}
	e.streamed(false)
	s.reply.Release(e.gateway.room, false)
	s.reply = nil
	next := newCall(e.service, e.route, resumed(e.message, s.lastEvent), e.needs, e.work)
	if next == nil {
		return false
	}
	next.Spent = s.runs
	answer := e.run(next)
	reply, is := answer.Reply.(*httpproxy.Reply)
	if !is || answer.Verdict != engine.Served || !reply.Streams() {
		if is {
			reply.Release(e.gateway.room, true)
		}
		return false
	}
	s.runs++
	s.reply, s.held, s.passable = reply, s.held[:0], 0
	go s.breakOnHangup(reply)
	return true
}

func (s *events) left() bool {
	select {
	case <-s.exchange.hangup.gone:
		return true
	default:
		return false
	}
}

// Close implements io.Closer: the answer is over, whole or not.
func (s *events) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	close(s.stopLook)
	s.exchange.hangup.stop()
	if s.reply != nil {
		whole := s.ended && s.passable == 0
		s.exchange.streamed(whole)
		s.reply.Release(s.exchange.gateway.room, s.ended)
	}
	return nil
}
