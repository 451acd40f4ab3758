package httpproxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"marlreel/internal/process/budget"
)

// The methods below are for fronts in other packages. A front claims the reply in
// Front.HandleAnswer, on the engine's goroutine, and releases it once, on any goroutine.

// Claim makes the front the owner of the reply: it has to call Release.
func (r *Reply) Claim() { r.claimed = true }

// Status is the status code of the backend's answer.
func (r *Reply) Status() int { return r.status }

// Header returns the end-to-end header fields, without hop-by-hop ones.
func (r *Reply) Header() http.Header { return endToEnd(r.header) }

// Body is the complete body, unless the reply is Streaming.
func (r *Reply) Body() []byte { return r.body }

// Streaming reports whether the body has to be read piece by piece with Read.
func (r *Reply) Streaming() bool { return r.stream != nil }

// HasEvents reports whether the body is, or by its request should be, a stream of server-sent events.
func (r *Reply) HasEvents() bool { return r.events }

// Read reads the next part of a streamed body as it arrives. It returns io.EOF only at the end of
// a complete body. until is the deadline of the read.
func (r *Reply) Read(p []byte, until time.Time) (int, error) {
	d := r.stream
	if len(d.first) > 0 {
		n := copy(p, d.first)
		d.first = d.first[n:]
		return n, nil
	}
	_ = d.conn.SetReadDeadline(until)
	n, err := d.body.Read(p)
	if n > 0 && errors.Is(err, io.EOF) {
		err = nil // the next read returns it again
	}
	return n, err
}

// Abort closes the connection of a streamed body, which ends a pending Read. Any goroutine may call it.
func (r *Reply) Abort() {
	if d := r.stream; d != nil {
		d.conn.Close()
	}
}

// Release returns the memory and the connection of the reply. complete says that the stream was
// read to its end, so that the connection can be reused.
func (r *Reply) Release(memory *budget.Budget, complete bool) {
	if d := r.stream; d != nil {
		d.finish(complete)
		r.stream = nil
	}
	r.release(memory)
}
