package fakesystem

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
)

// idleTimeout is after what time the backend closes an idle connection.
const idleTimeout = 20 * time.Second

// BackendConfig says what a backend is like.
type BackendConfig struct {
	ID, Service string
	Address     string // HOST:PORT
	Zone        string
	// Controls are the control processes' addresses, HOST:PORT. It is called before each heartbeat.
	Controls          func() []string
	HeartbeatInterval time.Duration
	// Slots is how many requests run at once.
	Slots int
	// Models are loaded from the start.
	Models []string
	// LoadTimes are those of the models that may be loaded.
	LoadTimes map[string]time.Duration
	// CapacityMB is the memory for models, SizesMB what each takes of it.
	CapacityMB float64
	SizesMB    map[string]float64
	// PrefillTime is the time for a token of a prompt, DecodeTime the one between two tokens of an answer.
	PrefillTime time.Duration
	DecodeTime  time.Duration
	// RequestTime is that of a request without a model.
	RequestTime time.Duration
	// TokensPerEvent is how many tokens an event of a stream has; 0 counts as 1.
	TokensPerEvent int
}

// Execution is one execution of a request.
type Execution struct {
	Request, Backend string
	// LastEventID is the event after which it began; 0: from the start.
	LastEventID int
	// Header is what the request came with.
	Header http.Header
}

// Backend is a fake backend.
type Backend struct {
	cfg     BackendConfig
	network host.Network
	client  *fasthttp.Client
	server  *fasthttp.Server

	// heartbeatTarget is where the last acknowledgement asked for the next heartbeat; the goroutine of heartbeats
	// alone uses it.
	heartbeatTarget string

	mu                sync.Mutex
	adapters          map[string]map[string]bool // loaded adapters by loaded model
	everLoaded        map[string]bool            // models; a second load is faster
	isOrderRunning    bool
	orderCount        uint64
	fencingToken      uint64 // the highest one that has arrived
	running           int    // requests
	heartbeatCount    uint64
	isDraining        bool
	drainAcknowledged bool
	executions        []Execution
	receivedOrders    []ReceivedOrder
	violations        []string
	cachedPrefixes    map[string]bool // parts of prompts, by model and part
}

// NewBackend returns a backend that serves on a network.
func NewBackend(cfg BackendConfig, network host.Network) *Backend {
	b := &Backend{
		cfg: cfg, network: network, client: transport.NewHTTPClient(network.Dial),
		adapters: map[string]map[string]bool{}, everLoaded: map[string]bool{}, cachedPrefixes: map[string]bool{},
	}
	for _, model := range cfg.Models {
		b.adapters[model] = map[string]bool{}
		b.everLoaded[model] = true
	}
	b.server = &fasthttp.Server{
		Handler: b.handle, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{}, IdleTimeout: idleTimeout,
	}
	return b
}

// discardLogger keeps fasthttp's notes on broken connections out of the tests' output.
type discardLogger struct{}

var _ fasthttp.Logger = discardLogger{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers requests and sends heartbeats until ctx ends. It returns nil then, and an error where its address
// can't be listened at.
func (b *Backend) Serve(ctx context.Context) error {
	listener, err := b.network.Listen(b.cfg.Address)
	if err != nil {
		return eris.Wrapf(err, "backend %s", b.cfg.ID)
	}
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { b.sendHeartbeats(ctx) })
	background.Go(func() {
		<-ctx.Done()
		_ = listener.Close() // the server ends
	})
	err = b.server.Serve(listener)
	cancel()
	background.Wait()
	return err
}

// ID is the backend's id.
func (b *Backend) ID() string { return b.cfg.ID }

// Service is the backend's service.
func (b *Backend) Service() string { return b.cfg.Service }

// Executions are all executions so far, in the order in which they began.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.executions)
}

// Violations are orders that asked for more than the backend's memory.
func (b *Backend) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.violations)
}

// ReceivedOrders are all orders that have arrived so far, in their order.
func (b *Backend) ReceivedOrders() []ReceivedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.receivedOrders)
}

// LoadedModels are the models in the backend's memory, by name.
func (b *Backend) LoadedModels() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.adapters))
}

// Drain lets the backend say that it leaves.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDraining = true
}

// DrainAcknowledged reports whether control has acknowledged that the backend leaves.
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
