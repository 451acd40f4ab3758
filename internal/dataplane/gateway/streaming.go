package gateway

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/eventstream"
	"marlreel/internal/dataplane/httpproxy"
)

const (
	// streamBuffer is how much of a stream is read at a time, in bytes.
	streamBuffer = 4 << 10
	// clientStallTimeout is how long a client may take nothing of its answer; of a stream, from its request's deadline on.
	clientStallTimeout = 10 * time.Second
	// maxBufferedEvent bounds the part of an incomplete event that is buffered, in bytes.
	maxBufferedEvent = 1 << 20
)

// errStreamBroken says that a stream broke off and could not be resumed.
var errStreamBroken = eris.New("event stream broke off and could not be resumed")

// eventStream forwards an answer as it arrives; a stream of server-sent events (WHATWG HTML, 9.2) event by event. An
// incomplete event is buffered, so that a stream that breaks off can be resumed by another backend, after the last event
// that the client has.
type eventStream struct {
	request     *clientRequest
	reply       *httpproxy.Reply // nil after a failed resumption
	stopWatch   func()           // of the reply's breakOnDisconnect
	readBuffer  []byte
	buffered    []byte // read and not yet forwarded
	deliverable int    // bytes of buffered that may be forwarded
	scanner     eventstream.Scanner
	partlySent  bool  // the client has a part of an incomplete event
	broken      bool  // the backend's answer has broken off, and has not been resumed
	end         error // what Read returns once all is forwarded: io.EOF, errStreamBroken, or nil if the stream goes on
	closed      bool
}

var _ io.ReadCloser = (*eventStream)(nil)

func newEventStream(r *clientRequest, reply *httpproxy.Reply) *eventStream {
	s := &eventStream{request: r, reply: reply, readBuffer: make([]byte, streamBuffer)}
	s.stopWatch = r.breakOnDisconnect(reply)
	return s
}

// breakOnDisconnect aborts the reading of a reply when the client disconnects. stop ends the watch and waits for its
// goroutine; it may be called more than once.
func (r *clientRequest) breakOnDisconnect(reply *httpproxy.Reply) (stop func()) {
	stopped := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-r.disconnect.disconnected:
			reply.Abort()
		case <-stopped:
		}
	})
	return sync.OnceFunc(func() {
		close(stopped)
		watch.Wait()
	})
}

// Read implements io.Reader: one or more complete events at a time.
func (s *eventStream) Read(p []byte) (int, error) {
	s.setWriteDeadline()
	for s.deliverable == 0 {
		if s.end != nil {
			return 0, s.end
		}
		if s.broken && !s.resume() {
			s.end = errStreamBroken
			continue
		}
		s.receive()
	}
	n := copy(p, s.buffered[:s.deliverable])
	s.buffered = append(s.buffered[:0], s.buffered[n:]...)
	s.deliverable -= n
	return n, nil
}

// setWriteDeadline bounds the next write. Without a deadline, a client that reads nothing would hold its backend for as long
// as it likes. It fails only on a closed connection, as does the write.
func (s *eventStream) setWriteDeadline() {
	_ = s.request.client.SetWriteDeadline(s.request.deadline.Add(clientStallTimeout))
}

// receive reads the next part of the backend's answer. What came before its end is forwarded first.
func (s *eventStream) receive() {
	n, err := s.reply.Read(s.readBuffer, s.request.deadline)
	s.buffer(s.readBuffer[:n])
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		s.end, s.deliverable = io.EOF, len(s.buffered)
	default:
		s.broken = true
	}
}

// buffer buffers a part of the answer, and finds how much of the buffer may be forwarded: complete events only, unless an
// event is too long to be buffered.
func (s *eventStream) buffer(part []byte) {
	buffered := len(s.buffered)
	s.buffered = append(s.buffered, part...)
	if !s.reply.HasEvents() {
		s.deliverable = len(s.buffered)
		return
	}
	if boundary := s.scanner.Scan(part); boundary >= 0 {
		s.deliverable, s.partlySent = buffered+boundary, false
	}
	if s.deliverable == 0 && len(s.buffered) > maxBufferedEvent {
		s.deliverable, s.partlySent = len(s.buffered), true
	}
}

// mayResume reports whether a stream that broke off may be resumed, and takes a retry from the budget if so. runs is how
// many backends may have run the request.
func (s *eventStream) mayResume() (runs int, may bool) {
	r := s.request
	if !r.route.Resumable || s.partlySent || !isHeaderValue(s.scanner.LastID()) {
		return 0, false
	}
	if r.disconnected() || time.Until(r.deadline) <= 0 {
		return 0, false
	}
	return r.service.takeRetry(r.current, r.route.AttemptLimit())
}

// resume continues a stream that broke off with another backend, if its route allows that. It reports whether that
// succeeded.
func (s *eventStream) resume() bool {
	runs, may := s.mayResume()
	if !may {
		return false
	}
	r := s.request
	r.reportStreamEnd(false)
	s.stopWatch()
	s.reply.Release(r.gateway.memory, false)
	s.reply = nil
	next := newCall(r.service, r.route, resumeMessage(r.message, s.scanner.LastID()), r.needs, r.work)
	if next == nil {
		return false
	}
	next.PriorRuns = runs
	answer := r.execute(next)
	reply, ok := answer.Reply.(*httpproxy.Reply)
	if !ok {
		return false
	}
	if answer.Verdict != engine.Served || !reply.Streaming() {
		reply.Release(r.gateway.memory, true)
		return false
	}
	s.reply, s.broken = reply, false
	s.buffered, s.scanner = s.buffered[:0], eventstream.ResumeAfter(s.scanner.LastID())
	s.stopWatch = r.breakOnDisconnect(reply)
	return true
}

// Close implements io.Closer, whether or not the answer is complete.
func (s *eventStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.stopWatch()
	s.request.disconnect.stop()
	if s.reply != nil {
		complete := errors.Is(s.end, io.EOF)
		s.request.reportStreamEnd(complete && s.deliverable == 0)
		s.reply.Release(s.request.gateway.memory, complete)
	}
	return nil
}
