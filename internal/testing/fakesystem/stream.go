package fakesystem

import (
	"fmt"
	"io"
	"time"
)

// eventStream is the body of a streaming response. Each event arrives after its decode time.
type eventStream struct {
	backend    *Backend
	request    string
	next, last int // event IDs
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

// eventMediaType is the media type of streams.
const eventMediaType = "text/event-stream"

// eventOf returns an event as it is sent.
func eventOf(request string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, EventText(request, id))
}

// EventText returns the data of an event. It does not depend on the backend.
func EventText(request string, id int) string { return fmt.Sprintf("%s token %d", request, id) }

// Read implements io.Reader. It waits for the next event and returns it; p must be long enough for a whole event.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.next > s.last {
		return 0, io.EOF
	}
	time.Sleep(s.eventTime)
	n := copy(p, eventOf(s.request, s.next))
	s.next++
	return n, nil
}

// Close implements io.Closer. fasthttp calls it when the stream has ended or its client has disconnected.
func (s *eventStream) Close() error {
	if !s.isReleased {
		s.isReleased = true
		s.backend.release()
	}
	return nil
}
