package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/testutil"
)

// Guards against backends that work on for clients that have gone: the deadline for reading the request, still set while
// its answer was made, ended the watch for a client that left later than that.
func TestDisconnectIsNoticedAfterTheDeadlineOfTheRequest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer client.Close()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
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
