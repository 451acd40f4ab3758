package fakesystem

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
)

// idleTimeout is the time after which the backend closes an idle connection.
const idleTimeout = 20 * time.Second

// BackendConfig describes a backend.
type BackendConfig struct {
	ID, Service string
	Address     string // HOST:PORT
	Zone        string
	// Controls returns the addresses of the control processes, HOST:PORT. It is called before each heartbeat.
	Controls          func() []string
	HeartbeatInterval time.Duration
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Models are the models loaded at the start.
	Models []string
	// LoadTimes are the load times of models, by name.
	LoadTimes map[string]time.Duration
	// CapacityMB is the memory for models; SizesMB holds the size of each model, by name.
	CapacityMB float64
	SizesMB    map[string]float64
	// PrefillTime is the time per prompt token, DecodeTime the time per token of the response.
	PrefillTime time.Duration
	DecodeTime  time.Duration
	// RequestTime is the duration of a request without a model.
	RequestTime time.Duration
	// TokensPerEvent is the number of tokens in each event of a stream; 0 means 1.
	TokensPerEvent int
}

// Execution is one execution of a request.
type Execution struct {
	Request, Backend string
	// LastEventID is the event after which a resumed stream began; 0: from the start.
	LastEventID int
	// Header holds the headers of the request.
	Header http.Header
}

// Backend is a fake backend.
type Backend struct {
	cfg     BackendConfig
	network host.Network
	client  *fasthttp.Client
	server  *fasthttp.Server

	// heartbeatTarget is the address that the last acknowledgement gave for the next heartbeat. Only the heartbeat
	// goroutine uses it.
	heartbeatTarget string

	mu                sync.Mutex
	adapters          map[string]map[string]bool // loaded adapters by loaded model
	everLoaded        map[string]bool            // models loaded before, which load faster
	isOrderRunning    bool
	orderCount        uint64
	fencingToken      uint64 // the highest one received
	running           int    // requests in flight
	heartbeatCount    uint64
	isDraining        bool
	drainAcknowledged bool
	executions        []Execution
	receivedOrders    []ReceivedOrder
	violations        []string
	cachedPrefixes    map[string]bool // cached prompt parts, as "MODEL PART"
	streamFault       StreamFault
	streamRandom      *rand.Rand      // nil before the first StreamFault
	cutStreams        map[string]bool // the IDs of requests whose streams were cut
	earlyStart        EarlyStart
	startRandom       *rand.Rand              // nil before the first EarlyStart
	starts            map[string]requestStart // requests that have begun, by ID, until their handler is called
	brokenStarts      int                     // requests that have begun and ended before their bodies were received
}

// NewBackend creates a backend on a network. Serve starts it.
func NewBackend(cfg BackendConfig, network host.Network) *Backend {
	b := &Backend{
		cfg: cfg, network: network, client: transport.NewHTTPClient(network.Dial),
		adapters: map[string]map[string]bool{}, everLoaded: map[string]bool{}, cachedPrefixes: map[string]bool{},
		cutStreams: map[string]bool{}, starts: map[string]requestStart{},
	}
	for _, model := range cfg.Models {
		b.adapters[model] = map[string]bool{}
		b.everLoaded[model] = true
	}
	b.server = &fasthttp.Server{
		Handler: b.handle, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{}, IdleTimeout: idleTimeout,
		StreamRequestBody: true, HeaderReceived: b.startEarly,
	}
	return b
}

// discardLogger discards fasthttp's messages about broken connections, which would clutter the output of tests.
type discardLogger struct{}

var _ fasthttp.Logger = discardLogger{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers requests and sends heartbeats until ctx ends, then returns nil. It returns an error if it can't listen
// on its address.
func (b *Backend) Serve(ctx context.Context) error {
	listener, err := b.network.Listen(b.cfg.Address)
	if err != nil {
		return eris.Wrapf(err, "listening for backend %s", b.cfg.ID)
	}
	if err := limitWindow(listener); err != nil {
		return eris.Wrapf(err, "limiting the receive window of backend %s", b.cfg.ID)
	}
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { b.sendHeartbeats(ctx) })
	background.Go(func() {
		<-ctx.Done()
		_ = listener.Close() // ends server.Serve
	})
	err = b.server.Serve(listener)
	cancel()
	background.Wait()
	return err
}

// ID returns the backend's ID.
func (b *Backend) ID() string { return b.cfg.ID }

// Service returns the name of the backend's service.
func (b *Backend) Service() string { return b.cfg.Service }

// Executions returns all executions so far, in the order of their starts.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.executions)
}

// Violations describes the orders that exceeded the backend's memory.
func (b *Backend) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.violations)
}

// ReceivedOrders returns all orders received so far, in the order of arrival.
func (b *Backend) ReceivedOrders() []ReceivedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.receivedOrders)
}

// LoadedModels returns the names of the loaded models, sorted.
func (b *Backend) LoadedModels() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.adapters))
}

// Drain starts draining: heartbeats announce it and health checks fail.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDraining = true
}

// DrainAcknowledged reports whether a control process has acknowledged a heartbeat that announced draining.
func (b *Backend) DrainAcknowledged() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drainAcknowledged
}

func (b *Backend) draining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isDraining
}
