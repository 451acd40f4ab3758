package fakesystem

import (
	"fmt"
	"io"
	"time"
)

// eventStream is the body of a stream: each event comes in its time.
type eventStream struct {
	backend    *Backend
	request    string
	next, last int // ids of events
	eventTime  time.Duration
	isReleased bool
}

var _ io.ReadCloser = (*eventStream)(nil)

func (b *Backend) newEventStream(r modelRequest) *eventStream {
	tokensPerEvent := max(1, b.cfg.TokensPerEvent)
	return &eventStream{
		backend: b, request: r.id, next: r.lastEventID + 1, last: max(1, r.outputTokens/tokensPerEvent),
		eventTime: b.cfg.DecodeTime * time.Duration(tokensPerEvent),
	}
}

// EventText is the data of an event: the same whichever backend makes it.
func EventText(request string, id int) string { return fmt.Sprintf("%s token %d", request, id) }

// Read implements io.Reader: it waits for the next event, and gives it whole where p is long enough.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.next > s.last {
		return 0, io.EOF
	}
	time.Sleep(s.eventTime)
	n := copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", s.next, EventText(s.request, s.next)))
	s.next++
	return n, nil
}

// Close implements io.Closer. fasthttp calls it when the stream has ended or its client has left.
func (s *eventStream) Close() error {
	if !s.isReleased {
		s.isReleased = true
		s.backend.release()
	}
	return nil
}
