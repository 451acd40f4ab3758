package httpproxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"marlreel/internal/process/budget"
)

// What a front of another package does with a backend's answer. It claims the reply in
// Front.HandleAnswer, on the engine's goroutine, and releases it once, on any goroutine.

// Claim makes the reply the front's, who releases it.
func (r *Reply) Claim() { r.claimed = true }

// Status is the backend's.
func (r *Reply) Status() int { return r.status }

// Header gives the fields that go on beyond this hop.
func (r *Reply) Header() http.Header { return endToEnd(r.header) }

// Body is the complete body, unless it is Streaming.
func (r *Reply) Body() []byte { return r.body }

// Streaming tells whether the body comes as it goes, by Read.
func (r *Reply) Streaming() bool { return r.stream != nil }

// Read reads what follows of a stream, as it comes; it ends with io.EOF only where the body
// is complete. until bounds the wait.
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
		err = nil // it is met again
	}
	return n, err
}

// Abort ends a Read that waits, and whatever else is under way. Any goroutine.
func (r *Reply) Abort() {
	if d := r.stream; d != nil {
		d.conn.Close()
	}
}

// Release gives back what the reply holds. complete: its stream was read to its end, so the
// connection can be used again.
func (r *Reply) Release(memory *budget.Budget, complete bool) {
	if d := r.stream; d != nil {
		d.finish(complete)
		r.stream = nil
	}
	r.release(memory)
}
