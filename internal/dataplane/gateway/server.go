package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/process/bootstrap"
	"marlreel/internal/sockets"
)

const (
	// defaultIdleTimeout and defaultReadTimeout apply until a configuration overrides them.
	defaultIdleTimeout = 15 * time.Second
	defaultReadTimeout = 15 * time.Second
	// bodyTimeout is added to the header timeout for reading a request's body.
	bodyTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// defaultMaxBodyBytes bounds the body of a request until a configuration overrides it.
	defaultMaxBodyBytes = 64 << 20
)

// newServer returns a server for a handler, with the limits common to all servers.
func (g *Gateway) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: discardLogger{}, HeaderReceived: g.requestConfig,
		IdleTimeout: defaultIdleTimeout, ReadTimeout: defaultReadTimeout, WriteTimeout: clientStallTimeout,
	}
}

// newFrontServer returns the server for clients.
func (g *Gateway) newFrontServer(maxConnections int) *fasthttp.Server {
	server := g.newServer(g.endConnectionsWhileDraining(dropDisconnected(g.HandleRequest)))
	server.MaxRequestBodySize = defaultMaxBodyBytes
	server.ReadBufferSize = maxHeaderBytes
	server.Concurrency = maxConnections
	return server
}

// dropDisconnected drops requests whose client disconnected before they were read, so that they don't reach a backend:
// when the process is overloaded, requests wait in the socket's buffer. A client that disconnects later is noticed by
// the disconnectWatcher.
func dropDisconnected(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if conn := ctx.Conn(); conn != nil && !sockets.PeerConnected(conn) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		handler(ctx)
	}
}

// endConnectionsWhileDraining makes each answer of a draining proxy close its connection, so that clients move to other
// proxies. The flag is set after the handler, because an answer that replaces another one resets all flags.
func (g *Gateway) endConnectionsWhileDraining(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if g.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// requestConfig returns the limits on a request from the current configuration.
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

// discardLogger drops the server's log lines about single connections: broken connections are common.
type discardLogger struct{}

var _ fasthttp.Logger = discardLogger{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
