package transport

import (
	"context"
	"net/http"
	"time"
)

// serverContext is a request context that ends only when the server shuts down. It replaces fasthttp's own context,
// which the server reuses for the next request: the timer of a context derived from that one may read values from it
// after the handler has returned, which races with the reset.
type serverContext struct{ shutdown <-chan struct{} }

var _ context.Context = serverContext{}

// Deadline implements context.Context. There is no deadline.
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

// Value implements context.Context. There are no values.
func (serverContext) Value(any) any { return nil }

// withServerContext gives the requests of a service contexts that stay valid after the requests have ended.
func withServerContext(service http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := serverContext{shutdown: r.Context().Done()}
		service.ServeHTTP(w, r.WithContext(ctx)) //nolint:contextcheck // the server reuses the request's own context
	})
}
