package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// contextService sends the context of each request to a channel.
type contextService struct{ contexts chan context.Context }

func (contextService) PathPrefix() string { return "/context/" }

func (s contextService) ServeHTTP(_ http.ResponseWriter, r *http.Request) { s.contexts <- r.Context() }

// A context derived from that of a request may be read after the server has moved on to the next one, for example by the
// timer of a context with a timeout. With fasthttp's own context, this test failed under -race.
func TestContextsOutliveTheirRequests(t *testing.T) {
	service := contextService{make(chan context.Context, 1)}
	server := NewServer(nil, service)
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := &fasthttp.HostClient{Addr: "memory", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	const requests = 50
	var kept []context.Context
	for range requests {
		if status, _, err := client.Get(nil, "http://memory/context/x"); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
		ctx := <-service.contexts
		derived, cancel := context.WithTimeout(ctx, time.Millisecond)
		t.Cleanup(cancel)
		kept = append(kept, derived)
	}
	for _, ctx := range kept {
		<-ctx.Done()
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Error(ctx.Err())
		}
		if ctx.Value("key") != nil {
			t.Error("the context has a value that was never set")
		}
	}
	if err := server.Shutdown(); err != nil {
		t.Fatal(err)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

// The contexts of requests end when the server shuts down.
func TestContextsEndWithTheServer(t *testing.T) {
	shutdown := make(chan struct{})
	ctx := serverContext{shutdown}
	if err := ctx.Err(); err != nil {
		t.Error(err)
	}
	close(shutdown)
	<-ctx.Done()
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
