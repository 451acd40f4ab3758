package httpproxy

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"marlreel/internal/dataplane/eventstream"
)

// eventMediaType is the media type of a stream of server-sent events.
const eventMediaType = "text/event-stream"

// isEventStream reports whether the body of an answer is a stream of server-sent events: its Content-Type says so, or it
// has none and answers a request for a stream. Failures and encoded bodies don't count.
func isEventStream(m *Message, resp *http.Response) bool {
	encoding := resp.Header.Get("Content-Encoding")
	successful := resp.StatusCode >= 200 && resp.StatusCode < 300
	if !successful || encoding != "" && !strings.EqualFold(encoding, "identity") {
		return false
	}
	contentType := resp.Header.Get("Content-Type")
	if contentType == "" {
		return m.Streaming
	}
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), eventMediaType)
}

// closeDelimitedBody returns the reader of a body that ends with its connection. The close alone doesn't tell whether the
// body is complete, as the backend may have crashed; the format of the body may.
func (c *backendConn) closeDelimitedBody(m *Message, resp *http.Response) io.Reader {
	if isEventStream(m, resp) {
		return &eventBodyReader{in: c.reader}
	}
	return c.reader
}

// eventBodyReader reads a stream of server-sent events that ends with its connection. If the connection is closed in the
// middle of an event, the stream is incomplete: its end is io.ErrUnexpectedEOF and not io.EOF.
type eventBodyReader struct {
	in     io.Reader
	events eventstream.Scanner
}

// Read implements io.Reader.
func (e *eventBodyReader) Read(p []byte) (int, error) {
	n, err := e.in.Read(p)
	e.events.Scan(p[:n])
	switch {
	case !errors.Is(err, io.EOF):
		return n, err
	case n > 0: // the next call returns the end
		return n, nil
	case e.events.InEvent():
		return 0, io.ErrUnexpectedEOF
	}
	return 0, io.EOF
}
