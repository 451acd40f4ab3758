// Package fakesystem plays what stands around the system: model backends with their
// heartbeats, an operator, and clients. It is for tests and for trying the system out on
// one machine; the roles never link it.
package fakesystem

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
)

// BackendConfig says what a backend is like.
type BackendConfig struct {
	ID, Service, Address, Zone string
	Controls                   func() []string // where heartbeats go
	HeartbeatInterval          time.Duration
	Slots                      int
	Models                     []string                 // held from the start
	LoadTimes                  map[string]time.Duration // of models that may be loaded
	CapacityMB                 float64
	SizesMB                    map[string]float64
	DecodeTime                 time.Duration // between two tokens
	PrefillTime                time.Duration // of a token of the prompt
	RequestTime                time.Duration // of a request without a model
	TokensPerEvent             int           // tokens of an event
}

// Execution is one run of a request.
type Execution struct {
	Request, Backend string
	LastEventID      int // the event after which it began
}

// Backend is a stand-in for a backend.
type Backend struct {
	cfg     BackendConfig
	network host.Network
	client  *fasthttp.Client
	server  *fasthttp.Server

	mu       sync.Mutex
	held     map[string]map[string]bool // adapters by model
	had      map[string]bool
	busy     bool
	orders   uint64
	fence    uint64
	running  int
	calls    uint64
	draining bool
	left     bool
	cold     time.Time
	runs     []Execution
	refused  int // requests turned away
	seen     []ReceivedOrder
	faults   []string
	beatAt   string
	cached   map[string]bool // parts of prompts, by model
}

// NewBackend makes a backend.
func NewBackend(cfg BackendConfig, network host.Network) *Backend {
	b := &Backend{
		cfg: cfg, network: network, client: transport.NewHTTPClient(network.Dial), held: map[string]map[string]bool{},
		had: map[string]bool{}, cached: map[string]bool{},
	}
	for _, model := range cfg.Models {
		b.held[model], b.had[model] = map[string]bool{}, true
	}
	b.server = &fasthttp.Server{
		Handler: b.handle, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: silent{},
		IdleTimeout: 20 * time.Second,
	}
	return b
}

type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Serve answers requests and sends heartbeats until ctx ends.
func (b *Backend) Serve(ctx context.Context) error {
	listener, err := b.network.Listen(b.cfg.Address)
	if err != nil {
		return err
	}
	go b.beat(ctx)
	go func() {
		<-ctx.Done()
		listener.Close()
	}()
	return b.server.Serve(listener)
}

// Executions are all runs so far.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// Violations are orders that broke a bound of the backend.
func (b *Backend) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.faults)
}

// ReceivedOrder is an order that has arrived, whatever became of it.
type ReceivedOrder struct {
	At           time.Time
	Holder       string
	FencingToken uint64
}

// ReceivedOrders are all orders that have arrived so far.
func (b *Backend) ReceivedOrders() []ReceivedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.seen)
}

// LoadedModels are the models that the backend holds.
func (b *Backend) LoadedModels() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var models []string
	for model := range b.held {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// Drain lets the backend say that it leaves.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// ---- Heartbeats ----

type modelState struct {
	Name     string   `json:"name"`
	Version  int      `json:"config_version"`
	Adapters []string `json:"adapter_list"`
}

func (b *Backend) models() []modelState {
	states := []modelState{}
	for model, adapters := range b.held {
		s := modelState{Name: model, Version: 1, Adapters: []string{}}
		for name := range adapters {
			s.Adapters = append(s.Adapters, name)
		}
		slices.Sort(s.Adapters)
		states = append(states, s)
	}
	slices.SortFunc(states, func(x, y modelState) int { return strings.Compare(x.Name, y.Name) })
	return states
}

// Heartbeat is the body of the next heartbeat.
func (b *Backend) heartbeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	state := "in_service"
	if b.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": b.cfg.Service, "address": b.cfg.Address, "zone": b.cfg.Zone,
		"config_version": "v1", "slots": b.cfg.Slots, "state": state, "cold_left_ms": max(0, time.Until(b.cold).Milliseconds()),
		"phase": "both", "model_list": b.models(), "call_seq": b.calls,
	})
	return body
}

// beat sends heartbeats: where the last answer said, or else to one control process after
// the other.
func (b *Backend) beat(ctx context.Context) {
	for at := 0; ctx.Err() == nil; {
		controls := b.cfg.Controls()
		target := b.beatAt
		if target == "" {
			target = controls[at%len(controls)]
		}
		if !b.call(target) {
			b.beatAt = ""
			at++
			pause(ctx, b.cfg.HeartbeatInterval/10)
			continue
		}
		pause(ctx, b.cfg.HeartbeatInterval)
	}
}

// call sends one heartbeat, and tells whether it was acknowledged.
func (b *Backend) call(control string) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + control + "/marlreel/backends/" + b.cfg.ID + "/heartbeat")
	request.SetBody(b.heartbeat())
	if err := b.client.DoTimeout(request, response, time.Second); err != nil || response.StatusCode() != fasthttp.StatusOK {
		return false
	}
	var reply struct {
		Address string `json:"beat_address"`
	}
	if json.Unmarshal(response.Body(), &reply) == nil && reply.Address != "" {
		b.beatAt = reply.Address
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = b.draining
	return true
}

// DrainAcknowledged tells whether the backend's leave was acknowledged.
func (b *Backend) DrainAcknowledged() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ---- Requests ----

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Backend-Id", b.cfg.ID)
	switch path := string(ctx.Path()); {
	case path == "/health":
		ctx.SetStatusCode(fasthttp.StatusOK)
		if b.isDraining() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case path == "/marlreel/report":
		b.report(ctx)
	case path == "/marlreel/order":
		b.order(ctx)
	default:
		b.request(ctx)
	}
}

func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

func (b *Backend) report(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"phase": "both", "model_list": b.models(), "occupied": b.busy, "call_seq": b.orders,
		"queued": 0, "active": b.running, "kv_in_use": 0, "kv_limit": 1,
	})
	ctx.SetBody(body)
}

func turnAway(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Not-Executed", "1")
}

// request runs a client's request, or turns it away.
func (b *Backend) request(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	id := string(header.Peek("Request-Id"))
	ctx.Response.Header.Set("Request-Id", id)
	if expected := string(header.Peek("Expected-Backend")); expected != "" && expected != b.cfg.ID {
		turnAway(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	model, adapter, _ := strings.Cut(string(header.Peek("Model")), "/")
	from, _ := strconv.Atoi(string(header.Peek("Last-Event-Id")))
	b.mu.Lock()
	adapters, holds := b.held[model]
	switch {
	case model != "" && (!holds || adapter != "" && !adapters[adapter]):
		b.refused++
		b.mu.Unlock()
		turnAway(ctx, fasthttp.StatusMisdirectedRequest)
		return
	case b.running >= b.cfg.Slots:
		b.refused++
		b.mu.Unlock()
		turnAway(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	b.running++
	b.runs = append(b.runs, Execution{Request: id, Backend: b.cfg.ID, LastEventID: from})
	wait := b.readingTime(model, string(header.Peek("Prompt-Prefix")))
	b.mu.Unlock()
	ctx.Response.Header.Set("Server-Seal", "seal."+b.cfg.ID+"."+id)
	if model == "" {
		defer b.release()
		time.Sleep(b.cfg.RequestTime)
		ctx.SetBodyString("done " + id)
		return
	}
	_, out, _ := strings.Cut(string(header.Peek("Token-Count")), ",")
	tokens, _ := strconv.Atoi(out)
	events := max(1, tokens/max(1, b.cfg.TokensPerEvent))
	time.Sleep(wait)
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&eventSource{backend: b, request: id, next: from + 1, last: events}, -1)
}

// readingTime is how long a prompt takes to be read, but for the parts that are kept. Called
// with the lock.
func (b *Backend) readingTime(model, prompt string) time.Duration {
	tokens, kept := 0, true
	for part := range strings.SplitSeq(prompt, ",") {
		name, count, found := strings.Cut(part, ":")
		if !found {
			continue
		}
		key := model + " " + name
		if kept = kept && b.cached[key]; !kept {
			n, _ := strconv.Atoi(count)
			tokens += n
		}
		b.cached[key] = true
	}
	return time.Duration(tokens) * b.cfg.PrefillTime
}

func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// eventSource makes the events of a stream, each in its time.
type eventSource struct {
	backend    *Backend
	request    string
	next, last int
	released   bool
}

// EventText is the data of an event: the same whichever backend makes it.
func EventText(request string, id int) string { return fmt.Sprintf("%s token %d", request, id) }

// Read implements io.Reader.
func (s *eventSource) Read(p []byte) (int, error) {
	if s.next > s.last {
		return 0, io.EOF
	}
	time.Sleep(s.backend.cfg.DecodeTime * time.Duration(max(1, s.backend.cfg.TokensPerEvent)))
	n := copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", s.next, EventText(s.request, s.next)))
	s.next++
	return n, nil
}

// Close implements io.Closer.
func (s *eventSource) Close() error {
	if !s.released {
		s.released = true
		s.backend.release()
	}
	return nil
}

// Service is the backend's service.
func (b *Backend) Service() string { return b.cfg.Service }

// ID is the backend's id.
func (b *Backend) ID() string { return b.cfg.ID }
