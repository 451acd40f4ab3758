package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 30 * time.Second
	// maxMessageBytes bounds a message in either direction.
	maxMessageBytes = 32 << 20
	// maxConnsPerPeer bounds the connections to one process of the system.
	maxConnsPerPeer = 64
)

// NewHTTPClient creates a plain HTTP client for servers that are not processes of the system. It never retries a call,
// and fails with ErrUnexpectedData instead of sending it on a connection with unread data.
func NewHTTPClient(dial DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: dialer{dial, dialTimeout}.connectGuarded, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		DisablePathNormalizing: true,
	}
}

// Client calls processes of the system. It implements twirp's HTTPClient interface.
type Client struct {
	http         fasthttp.Client
	compressed   bool // accept compressed replies
	decompressor decompressor
}

// NewClient creates a client that doesn't accept compressed replies.
func NewClient(dial DialFunc) *Client {
	return &Client{http: fasthttp.Client{
		Dial:                     dialer{dial, peerDialTimeout}.connect,
		NoDefaultUserAgentHeader: true, MaxIdleConnDuration: idleConnTimeout, MaxResponseBodySize: maxMessageBytes,
		DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: maxConnsPerPeer,
	}}
}

// NewCompressedClient creates a client for calls between machines. It accepts compressed replies, and also works with
// servers that don't compress.
func NewCompressedClient(dial DialFunc) *Client {
	c := NewClient(dial)
	c.compressed = true
	return c
}

// Do implements twirp's HTTPClient. It uses only the deadline of the request's context, and returns
// context.DeadlineExceeded when it has passed; cancelling the context doesn't abort a call in flight.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	if err := copyRequest(out, request); err != nil {
		return nil, err
	}
	if c.compressed {
		out.Header.Set(fasthttp.HeaderAcceptEncoding, encodingZstd)
	}
	err := c.http.DoDeadline(out, in, deadlineOf(request.Context()))
	if errors.Is(err, fasthttp.ErrTimeout) {
		return nil, context.DeadlineExceeded
	}
	if err != nil {
		return nil, err
	}
	body, err := c.decompressor.body(in)
	if err != nil {
		return nil, err
	}
	return responseTo(request, in, body), nil
}

// copyRequest copies a net/http request into a fasthttp request.
func copyRequest(out *fasthttp.Request, request *http.Request) error {
	out.Header.SetMethod(request.Method)
	out.SetRequestURI(request.URL.String())
	out.Header.SetContentType(request.Header.Get("Content-Type"))
	if request.Body == nil {
		return nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return eris.Wrap(err, "reading the body of the request")
	}
	out.SetBodyRaw(body)
	return nil
}

// responseTo makes a net/http response with a body. It copies the fasthttp response, which may be released afterwards.
func responseTo(request *http.Request, in *fasthttp.Response, body []byte) *http.Response {
	response := &http.Response{
		StatusCode: in.StatusCode(), Status: strconv.Itoa(in.StatusCode()), Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: request,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	response.Header.Set("Content-Type", string(in.Header.ContentType()))
	return response
}

func deadlineOf(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(defaultCallTimeout)
}
