package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"marlreel/internal/distribution/watch"
)

// Guards against clients that are refused again and again on a connection to a draining proxy: the proxy's own answers
// had lost "Connection: close".
func TestEachAnswerOfADrainingProxyEndsItsConnection(t *testing.T) {
	is := is.New(t)
	g := New(Config{Name: "edge-1", BodyBytes: 1 << 20, Log: logr.Discard()}, watch.New("edge-1", time.Now))
	handle := g.newFrontServer(1).Handler
	before := &fasthttp.RequestCtx{}
	handle(before)
	is.Equal(before.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(!before.Response.ConnectionClose())
	g.StartDraining()
	during := &fasthttp.RequestCtx{}
	handle(during)
	is.Equal(during.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(during.Response.ConnectionClose())
}
