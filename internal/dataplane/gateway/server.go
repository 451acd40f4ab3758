package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/process/bootstrap"
	"marlreel/internal/sockets"
)

const (
	// defaultIdleTimeout and defaultReadTimeout hold until a configuration says otherwise.
	defaultIdleTimeout = 15 * time.Second
	defaultReadTimeout = 15 * time.Second
	// bodyTimeout is how much longer than its head a request's body may take.
	bodyTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// defaultMaxBodyBytes bounds the body of a request until a configuration says otherwise.
	defaultMaxBodyBytes = 64 << 20
)

// newServer makes a server for a handler, with the limits that hold for all.
func (g *Gateway) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: discardLogger{}, HeaderReceived: g.requestConfig,
		IdleTimeout: defaultIdleTimeout, ReadTimeout: defaultReadTimeout,
	}
}

// newFrontServer makes the server for clients.
func (g *Gateway) newFrontServer(maxConnections int) *fasthttp.Server {
	server := g.newServer(g.endConnectionsWhileDraining(dropDeparted(g.HandleRequest)))
	server.MaxRequestBodySize = defaultMaxBodyBytes
	server.ReadBufferSize = maxHeaderBytes
	server.Concurrency = maxConnections
	return server
}

// dropDeparted drops requests whose client has gone by the time that they were read: while the process was behind with
// its work they waited in the socket, and no backend is to have them any more. Who leaves later is noticed by the
// disconnectWatcher.
func dropDeparted(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if conn := ctx.Conn(); conn != nil && !sockets.PeerConnected(conn) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		handler(ctx)
	}
}

// endConnectionsWhileDraining has each answer end its connection from when the proxy drains: clients turn to other proxies
// then. It is said last, as an answer that takes the place of another one begins with nothing set.
func (g *Gateway) endConnectionsWhileDraining(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if g.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// requestConfig bounds a request by the configuration in force.
func (g *Gateway) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	document := g.table.Load().document
	if document == nil {
		return fasthttp.RequestConfig{}
	}
	limits := document.Limits
	return fasthttp.RequestConfig{
		MaxRequestBodySize: limits.MaxBodyBytes,
		ReadTimeout:        bootstrap.Milliseconds(limits.HeaderTimeoutMS) + bodyTimeout,
	}
}

// discardLogger drops the server's lines on single connections: broken ones are usual.
type discardLogger struct{}

var _ fasthttp.Logger = discardLogger{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
