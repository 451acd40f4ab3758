package transport

import (
	"bytes"
	"net/http"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Service is a twirp server.
type Service interface {
	http.Handler
	PathPrefix() string
}

// route is the handler of a service and the prefix of its paths.
type route struct {
	prefix  []byte
	handler fasthttp.RequestHandler
}

// NewServer creates a server for services. Requests for other paths go to fallback; if it is nil, the response is 404.
func NewServer(fallback fasthttp.RequestHandler, services ...Service) *fasthttp.Server {
	if fallback == nil {
		fallback = func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) }
	}
	var routes []route
	for _, service := range services {
		routes = append(routes, route{[]byte(service.PathPrefix()), fasthttpadaptor.NewFastHTTPHandler(withServerContext(service))})
	}
	return &fasthttp.Server{
		Handler: dispatch(routes, new(compressor), fallback), NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		MaxRequestBodySize: maxMessageBytes, IdleTimeout: 2 * idleConnTimeout, ReadTimeout: 2 * idleConnTimeout,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true, Logger: discardLogger{},
	}
}

// dispatch passes a request to the first route that matches its path, and compresses large replies of the services.
func dispatch(routes []route, replies *compressor, fallback fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		for _, r := range routes {
			if bytes.HasPrefix(ctx.Path(), r.prefix) {
				r.handler(ctx)
				replies.apply(ctx)
				return
			}
		}
		fallback(ctx)
	}
}

// discardLogger drops the server's log lines about single connections, as broken connections are normal.
type discardLogger struct{}

var _ fasthttp.Logger = discardLogger{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
