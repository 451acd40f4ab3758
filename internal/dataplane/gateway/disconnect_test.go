package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"marlreel/internal/distribution/watch"
	"marlreel/internal/testutil"
)

// connected gives the two ends of a connection.
func connected(t *testing.T) (client, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		client.Close()
		conn.Close()
	})
	return client, conn
}

// Guards against requests that reach a backend though their client left before they were read, as on a machine that is
// behind with its work.
func TestRequestOfADepartedClientIsDropped(t *testing.T) {
	is := is.New(t)
	g := New(Config{Name: "edge-1", BodyBytes: 1 << 20, Log: logr.Discard()}, watch.New("edge-1", time.Now))
	handle := g.newFrontServer(1).Handler
	client, conn := connected(t)
	here := &fasthttp.RequestCtx{}
	here.Init2(conn, nil, true)
	handle(here)
	is.True(!here.Hijacked())
	is.Equal(here.Response.StatusCode(), fasthttp.StatusServiceUnavailable) // there is no configuration
	is.NoErr(client.Close())
	testutil.Eventually(t, "the client's end", func() bool {
		departed := &fasthttp.RequestCtx{}
		departed.Init2(conn, nil, true)
		handle(departed)
		return departed.Hijacked()
	})
}

// Guards against backends that work on for clients that have gone: the deadline for reading the request, still set while
// its answer was made, ended the watch for a client that left later than that.
func TestDisconnectIsNoticedAfterTheDeadlineOfTheRequest(t *testing.T) {
	is := is.New(t)
	client, conn := connected(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second))) // of a request that has been read
	watcher := watchDisconnect(conn)
	defer watcher.stop()
	is.NoErr(client.Close())
	select {
	case <-watcher.disconnected:
	case <-time.After(testutil.Patience):
		t.Error("nobody noticed that the client has gone")
	}
}
