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

// connected returns the two ends of a connection.
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

// Guards against requests that reach a backend although their client disconnected before they were read, as happens on
// an overloaded machine.
func TestRequestOfADepartedClientIsDropped(t *testing.T) {
	is := is.New(t)
	g := New(Config{Name: "edge-1", BodyBytes: 1 << 20, Log: logr.Discard()}, watch.New("edge-1", time.Now))
	handle := g.newFrontServer(1).Handler
	client, conn := connected(t)
	present := &fasthttp.RequestCtx{}
	present.Init2(conn, nil, true)
	handle(present)
	is.True(!present.Hijacked())
	is.Equal(present.Response.StatusCode(), fasthttp.StatusServiceUnavailable) // there is no configuration
	is.NoErr(client.Close())
	testutil.Eventually(t, "the request of the disconnected client to be dropped", func() bool {
		departed := &fasthttp.RequestCtx{}
		departed.Init2(conn, nil, true)
		handle(departed)
		return departed.Hijacked()
	})
}

// Guards against backends that go on working for disconnected clients: the deadline for reading the request was still
// set while its answer was produced, and ended the watch before the client disconnected.
func TestDisconnectIsNoticedAfterTheDeadlineOfTheRequest(t *testing.T) {
	is := is.New(t)
	client, conn := connected(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second))) // of a request that has been read
	watcher := watchDisconnect(conn)
	defer watcher.stop()
	is.NoErr(client.Close())
	select {
	case <-watcher.disconnected:
	case <-time.After(testutil.WaitTimeout):
		t.Error("the watcher did not notice that the client disconnected")
	}
}
