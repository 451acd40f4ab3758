package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// echoService responds with the method, the content type and the body of the request.
type echoService struct{ prefix string }

func (s echoService) PathPrefix() string { return s.prefix }

func (s echoService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, s.prefix+" "+r.Method+" "+string(body))
}

// serve runs a server until the test ends, and returns a client of it.
func serve(t *testing.T, server *fasthttp.Server) *Client {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return NewClient(func(context.Context, string) (net.Conn, error) { return listener.Dial() })
}

func TestCallsGoToTheServiceOfTheirPath(t *testing.T) {
	fallback := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fallback") }
	services := []Service{echoService{"/a/"}, echoService{"/b/"}}
	for name, c := range map[string]struct {
		fallback fasthttp.RequestHandler
		path     string
		status   int
		body     string
	}{
		"the first service":               {fallback, "/a/call", http.StatusAccepted, "/a/ POST request"},
		"the second service":              {fallback, "/b/call", http.StatusAccepted, "/b/ POST request"},
		"another path":                    {fallback, "/c/call", http.StatusOK, "fallback"},
		"another path, no fallback":       {nil, "/c/call", http.StatusNotFound, ""},
		"the second service, no fallback": {nil, "/b/call", http.StatusAccepted, "/b/ POST request"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := serve(t, NewServer(c.fallback, services...))
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server"+c.path, strings.NewReader("request"))
			is.NoErr(err)
			request.Header.Set("Content-Type", "application/protobuf")
			response, err := client.Do(request)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.Equal(string(body), c.body)
			is.Equal(response.ContentLength, int64(len(c.body)))
		})
	}
}

func TestCallPastItsDeadlineFails(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	client := serve(t, NewServer(func(*fasthttp.RequestCtx) { <-release }))
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
	is.NoErr(err)
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// idleConn is a connection with a settable idle state.
type idleConn struct {
	net.Conn
	idle bool
}

func (c *idleConn) Idle() bool { return c.idle }

func (c *idleConn) Read(p []byte) (int, error) { return copy(p, "answer"), nil }

func (c *idleConn) Write(p []byte) (int, error) { return len(p), nil }

func TestCallBeginsOnlyOnAnIdleConnection(t *testing.T) {
	is := is.New(t)
	conn := &idleConn{}
	guarded, err := dialer{func(context.Context, string) (net.Conn, error) { return conn, nil }, time.Second}.connectGuarded("backend")
	is.NoErr(err)
	_, err = guarded.Write([]byte("the first call: nothing was read before"))
	is.NoErr(err)
	_, err = guarded.Write([]byte("and the rest of it"))
	is.NoErr(err)
	_, err = guarded.Read(make([]byte, 10))
	is.NoErr(err)
	_, err = guarded.Write([]byte("the next call, with unread data"))
	is.True(errors.Is(err, ErrUnexpectedData))
	conn.idle = true
	_, err = guarded.Write([]byte("the next call"))
	is.NoErr(err)
}
