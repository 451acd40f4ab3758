package transport

import (
	"context"
	"net/http"
	"time"
)

// serverContext is the context of a request until its server shuts down. It stands in place of fasthttp's own, which
// the server uses again for the next request: a timer of a context derived from that one may look values up in it
// after the handler has returned, and meets the reset.
type serverContext struct{ shutdown <-chan struct{} }

var _ context.Context = serverContext{}

// Deadline implements context.Context: there is none.
func (serverContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done implements context.Context.
func (c serverContext) Done() <-chan struct{} { return c.shutdown }

// Err implements context.Context.
func (c serverContext) Err() error {
	select {
	case <-c.shutdown:
		return context.Canceled
	default:
		return nil
	}
}

// Value implements context.Context: there are none.
func (serverContext) Value(any) any { return nil }

// withServerContext gives a service contexts that outlive their requests.
func withServerContext(service http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := serverContext{shutdown: r.Context().Done()}
		service.ServeHTTP(w, r.WithContext(ctx)) //nolint:contextcheck // the request's own context is used again by the server
	})
}
