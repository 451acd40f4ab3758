package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/testutil"
)

// testGateway is a gateway that serves one service on real sockets.
type testGateway struct {
	front    string // the address for clients
	gateway  *Gateway
	service  *service
	backends []*api.Backend
}

// smallBuffer is the size of the socket buffers between proxy and backends, in bytes.
const smallBuffer = 64 << 10

// dialSmallBuffer connects to a backend. A long request doesn't fit into the buffers.
func dialSmallBuffer(ctx context.Context, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
}

// serveDocument serves a configuration that has the service s, with backends at the given addresses.
func serveDocument(t *testing.T, text string, backends ...string) *testGateway {
	t.Helper()
	document, decodeErr := configuration.Decode([]byte(text))
	if decodeErr != nil {
		t.Fatal(decodeErr)
	}
	g := &testGateway{gateway: New(Config{
		Dial: dialSmallBuffer, Name: "edge-1", Zone: "z", Zones: []string{"z"}, BodyBytes: 8 << 20, MaxConnections: 64, Log: logr.Discard(),
		Budgets: SharedBudgets{Retry: budgetshare.RetryConfig{Ratio: 10, Window: 10 * time.Second}},
	}, watch.New("edge-1", time.Now))}
	s, startErr := g.gateway.newService(context.Background(), document.Service("s"), classesOf(document, "s"), 1)
	if startErr != nil {
		t.Fatal(startErr)
	}
	g.service = s
	g.gateway.table.Store(&routingTable{document: document, services: map[string]*service{"s": s}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.front = listener.Addr().String()
	server := g.gateway.newFrontServer(64)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
		s.cancel()
		<-s.engine.Done()
	})
	for i, address := range backends {
		g.backends = append(g.backends, &api.Backend{Id: fmt.Sprintf("i-%d", i), Service: "s", Address: address, Zone: "z", Slots: 64})
	}
	g.applyBackends(t)
	return g
}

// applyBackends gives the service its backends, and returns once it knows them.
func (g *testGateway) applyBackends(t *testing.T) {
	t.Helper()
	g.service.setBackends(g.backends, g.gateway.identity, nil)
	known := make(chan struct{})
	g.service.engine.Post(func() { close(known) })
	testutil.Receive(t, known, "the backends to be known")
}

// setDraining makes all backends drain.
func (g *testGateway) setDraining(t *testing.T) {
	t.Helper()
	for _, b := range g.backends {
		b.Draining = true
	}
	g.applyBackends(t)
}
