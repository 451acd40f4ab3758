package agent

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
	"marlreel/internal/testing/simnet"
)

// lossyControl serves watches from a store, and fails every second call.
type lossyControl struct {
	api.Control
	store *watch.Store
	calls int
}

func (c *lossyControl) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	c.calls++
	if c.calls%2 == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "lost")
	}
	return c.store.HandleWatch(ctx, request, 0), nil
}

// Guards against a fetch that restarts from the first chunk whenever a chunk is lost. On the largest site, such fetches
// saturated the links of control. Here a state of 1 MiB arrives although every second call fails.
func TestFetchResumesAfterLostChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const address, documentBytes, chunkBytes = "10.1.0.1:7660", 1 << 20, 64 << 10
		document := fmt.Sprintf(`{"config_version":1,"remark":"%s"}`, strings.Repeat("x", documentBytes))
		control := &lossyControl{store: watch.New("control", time.Now)}
		control.store.InstallSnapshot(7, 99, &api.State{Version: 1, Document: []byte(document)})
		network := simnet.New(simnet.Config{Delay: time.Millisecond})
		listener, err := network.Machine("10.1.0.1").Listen(address)
		is.NoErr(err)
		server := transport.NewServer(nil, api.NewControlServer(control))
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		node := network.Machine("10.2.0.1")
		t.Cleanup(func() {
			node.Kill()
			is.NoErr(server.Shutdown())
			is.NoErr(<-served)
			time.Sleep(5 * time.Minute) // fasthttp has closed its idle connections
		})
		m := &membership{
			node: &api.Node{Name: "edge-0"}, store: watch.New("agent", time.Now), client: transport.NewCompressedClient(node.Dial),
			log: logr.Discard(),
		}
		m.fetchState(t.Context(), address)
		sequence, hash := m.store.Position()
		is.True(sequence == 7 && hash == 99)
		is.True(control.calls <= 2*(documentBytes/chunkBytes+1)) // one successful and one failed call for each chunk
	})
}
