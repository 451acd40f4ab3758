package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/valyala/fasthttp"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/testing/fakesystem"
	"marlreel/internal/testing/simnet"
)

// Addresses of the harness.
const (
	frontAddress   = "10.1.0.1:8080"
	backendAddress = "10.2.0.1:9000"
)

// harness is a gateway that serves one service on a simulated network, in a bubble of simulated time.
type harness struct {
	t       *testing.T
	net     *simnet.Network
	gateway *Gateway
	service *service
	backend *fakesystem.Backend
	mu      sync.Mutex
	lines   []string // of the gateway's log
}

// fasthttp's first response starts a clock goroutine that never ends. It has to be started outside any synctest bubble.
func init() {
	var first fasthttp.Response
	_, _ = first.WriteTo(io.Discard) // writing to io.Discard can't fail
}

// runGateway runs a test on a gateway with a configuration and a gate for quotas. Its service has no backend yet.
func runGateway(t *testing.T, document *configuration.Document, gate QuotaGate, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, net: simnet.New(simnet.Config{Delay: time.Millisecond, Seed: 1})}
		log := funcr.New(func(_, args string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.lines = append(h.lines, args)
		}, funcr.Options{})
		edge := h.net.Machine("10.1.0.1")
		h.gateway = New(Config{Dial: edge.Dial, Name: "edge-1", Zone: "z", Zones: []string{"z"}, BodyBytes: 1 << 20, MaxConnections: 64, Quota: gate, Log: log},
			watch.New("edge-1", time.Now))
		h.applyDocument(document)
		server := h.gateway.newFrontServer(64)
		listener, err := edge.Listen(frontAddress)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		h.backend = fakesystem.NewBackend(fakesystem.BackendConfig{
			ID: "i-1", Service: "s", Address: backendAddress, Zone: "z", Slots: 6, RequestTime: 20 * time.Millisecond, HeartbeatInterval: time.Second,
			Controls: func() []string { return []string{"10.3.0.1:8082"} }, // nothing listens there
		}, h.net.Machine("10.2.0.1"))
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(listener) })
		running.Go(func() { _ = h.backend.Serve(ctx) })
		t.Cleanup(func() {
			cancel()
			_ = server.Shutdown()
			h.gateway.stopServices()
			running.Wait()
			time.Sleep(5 * time.Minute) // fasthttp's goroutines for idle connections end by themselves
		})
		test(h)
	})
}

// applyDocument applies a configuration that has the service s.
func (h *harness) applyDocument(document *configuration.Document) {
	h.t.Helper()
	started, err := h.gateway.newService(context.Background(), document.Service("s"), classesOf(document, "s"), 1)
	if err != nil {
		h.t.Fatal(err)
	}
	h.service = started
	h.gateway.table.Store(&routingTable{document: document, services: map[string]*service{"s": started}})
}

// addBackend gives the service its backend.
func (h *harness) addBackend() {
	h.service.setBackends([]*api.Backend{{Id: "i-1", Service: "s", Address: backendAddress, Zone: "z", Slots: 6}}, h.gateway.identity, nil)
	time.Sleep(time.Second)
}

// dial opens a client's connection.
func (h *harness) dial() net.Conn {
	h.t.Helper()
	conn, err := h.net.Machine("10.9.0.1").Dial(context.Background(), frontAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// write sends a request with some header lines.
func (h *harness) write(conn net.Conn, path, headers string) {
	h.t.Helper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41\r\nContent-Length: 0\r\n%s\r\n", path, headers)
	if err != nil {
		h.t.Fatal(err)
	}
}

// read reads the head of a response.
func (h *harness) read(conn net.Conn) (status int, header http.Header) {
	h.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header
}

// send sends a request over a connection of its own.
func (h *harness) send(path, headers string) (status int, header http.Header) {
	h.t.Helper()
	conn := h.dial()
	defer conn.Close()
	h.write(conn, path, headers)
	return h.read(conn)
}

// loggedLines returns the gateway's log lines so far.
func (h *harness) loggedLines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.lines...)
}
