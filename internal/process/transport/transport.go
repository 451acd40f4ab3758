// Package transport carries twirp calls over fasthttp.
package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"marlreel/internal/sockets"
)

const (
	// longestCall bounds a call whose context has no deadline.
	longestCall = 5 * time.Second
	// dialTimeout bounds the making of a connection to another system.
	dialTimeout = time.Second
	// peerDialTimeout bounds the making of a connection to a process of the system: some round trips between
	// regions. A machine without power answers nothing; a packet that was lost would be sent again after a
	// second only, and another try, or another process, is sooner.
	peerDialTimeout = 250 * time.Millisecond
	// idleConnection is how long a connection without a call is kept.
	idleConnection = 30 * time.Second
	// largestMessage bounds a message either way.
	largestMessage = 32 << 20
)

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialFor is a Dial as fasthttp wants one.
func dialFor(dial DialFunc, timeout time.Duration) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return dial(ctx, address)
	}
}

// ErrUnexpectedData says that a kept connection held something that belongs to no call, or had ended. Nothing
// was written: the call has not been made.
var ErrUnexpectedData = eris.New("the connection held bytes of no call")

// guardedConn is a connection on which each call begins with nothing left to be read: a backend may
// send more after a complete answer, and that would be read as the answer to the next call.
type guardedConn struct {
	net.Conn
	answered bool // something was read since the last write
}

// guarded makes guarded connections.
func guarded(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.answered = c.answered || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.answered && !sockets.Quiet(c.Conn) {
		return 0, ErrUnexpectedData
	}
	c.answered = false
	return c.Conn.Write(p)
}

// Client is an HTTP client as twirp wants one.
type Client struct {
	http fasthttp.Client
}

// NewHTTPClient makes a plain client, for calls to others than processes of the system.
func NewHTTPClient(dial DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: guarded(dialFor(dial, dialTimeout)), NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		DisablePathNormalizing: true,
	}
}

// NewClient makes a client.
func NewClient(dial DialFunc) *Client {
	return &Client{fasthttp.Client{
		Dial:                     dialFor(dial, peerDialTimeout),
		NoDefaultUserAgentHeader: true, MaxIdleConnDuration: idleConnection, MaxResponseBodySize: largestMessage,
		DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 64,
	}}
}

// Do implements twirp's HTTPClient.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.Header.SetMethod(request.Method)
	out.SetRequestURI(request.URL.String())
	out.Header.SetContentType(request.Header.Get("Content-Type"))
	if request.Body != nil {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, err
		}
		out.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(out, in, deadlineOf(request.Context())); err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) {
			return nil, context.DeadlineExceeded
		}
		return nil, err
	}
	response := &http.Response{
		StatusCode: in.StatusCode(), Status: strconv.Itoa(in.StatusCode()), Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: request,
	}
	response.Header.Set("Content-Type", string(in.Header.ContentType()))
	body := bytes.Clone(in.Body())
	response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return response, nil
}

func deadlineOf(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(longestCall)
}

// Service is a twirp server.
type Service interface {
	http.Handler
	PathPrefix() string
}

// NewServer makes a server for services. What none of them takes goes to rest, which
// may be nil.
func NewServer(rest fasthttp.RequestHandler, services ...Service) *fasthttp.Server {
	type route struct {
		prefix  []byte
		handler fasthttp.RequestHandler
	}
	var routes []route
	for _, service := range services {
		routes = append(routes, route{[]byte(service.PathPrefix()), fasthttpadaptor.NewFastHTTPHandler(service)})
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		for _, r := range routes {
			if bytes.HasPrefix(ctx.Path(), r.prefix) {
				r.handler(ctx)
				return
			}
		}
		if rest == nil {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		rest(ctx)
	}
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		MaxRequestBodySize: largestMessage, IdleTimeout: 2 * idleConnection, ReadTimeout: 2 * idleConnection,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true, Logger: silent{},
	}
}

// silent drops the server's lines on single connections: broken ones are usual.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
