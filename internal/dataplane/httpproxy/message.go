package httpproxy

import (
	"net/http"
	"strconv"
	"time"

	"marlreel/internal/dataplane/engine"
)

// Message is a request, ready to be forwarded any number of times.
type Message struct {
	Method      string
	Head        []byte // the part of the head that is the same for every attempt, with line ends
	Body        []byte
	ID          string  // the id that its answer carries; "": none
	HealthCheck bool    // it is a health check
	Streaming   bool    // the answer is forwarded as it arrives, without buffering
	upload      *upload // replaces Body if the body is large
}

// newMessage encodes the head of a client's request once for all attempts, which only add their own headers.
func newMessage(r *http.Request, body []byte, up *upload) *Message {
	head := make([]byte, 0, 512)
	for _, part := range []string{r.Method, " ", r.URL.RequestURI(), " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		head = append(head, part...)
	}
	for field, values := range r.Header {
		if field == headerTimeout || isHopByHop(r.Header, field) {
			continue
		}
		for _, v := range values {
			for _, part := range []string{field, ": ", v, "\r\n"} {
				head = append(head, part...)
			}
		}
	}
	if r.Method != http.MethodGet && up == nil {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(body)), 10)
		head = append(head, "\r\n"...)
	}
	return &Message{Method: r.Method, Head: head, Body: body, upload: up}
}

// encode encodes the whole message, so that a single write sends it and the number of bytes written tells whether it may run.
// The body comes last.
func (m *Message) encode(dialect *Dialect, to *engine.Backend, timeout time.Duration) []byte {
	const spare = 160
	data := append(make([]byte, 0, len(m.Head)+spare+len(m.Body)), m.Head...)
	if m.upload != nil {
		if n := m.upload.announcedLength(); n >= 0 {
			data = strconv.AppendInt(append(data, "Content-Length: "...), n, 10)
			data = append(data, "\r\n"...)
		} else {
			data = append(data, "Transfer-Encoding: chunked\r\n"...)
		}
	}
	data = dialect.AppendAttemptHeaders(data, to, timeout)
	data = append(data, "\r\n"...)
	return append(data, m.Body...)
}
