package configuration

import "time"

// The values of Route.Class.
const (
	// ClassSafe: requests may run any number of times.
	ClassSafe = "safe"
	// ClassUnsafe: a request may run at most once.
	ClassUnsafe = "unsafe"
	// ClassStreaming: responses are event streams; a request may run again if the route is resumable.
	ClassStreaming = "streaming"
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is at least 0; the share is the weight divided by the sum of the route's weights.
	Weight float64 `json:"weight"`
}

// Route defines which services receive the requests for a host and path prefix, and how they are handled.
type Route struct {
	Name string `json:"name"`
	// Host is compared case-insensitively and without the port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	// Class is one of ClassSafe, ClassUnsafe and ClassStreaming.
	Class string `json:"route_class"`
	// TimeoutMS is the time limit for a request in milliseconds; above 0.
	TimeoutMS float64 `json:"timeout_ms"`
	// TargetLatencyMS is the latency target in milliseconds; for a stream, the target for its first event.
	TargetLatencyMS float64 `json:"target_latency_ms"`
	// Priority ranges from 0 (highest) to 9 (lowest).
	Priority int `json:"priority"`
	// Service receives all requests if Split is empty.
	Service string            `json:"service"`
	Split   []WeightedService `json:"weighted_split"`
	// MaxAttempts is how many backends a request may be sent to; 0 means 1.
	MaxAttempts int `json:"max_attempts"`
	// Affinity routes requests to the backend whose prefix cache contains their prompt.
	Affinity bool `json:"affinity"`
	// Resumable allows a stream to be continued at another backend after its last complete event.
	Resumable bool `json:"resumable"`
	// EventGapTargetMS is the target in milliseconds for the longest gap between two events of a stream.
	EventGapTargetMS float64 `json:"gap_aim_ms"`
	// PermittedRegions lists the regions in which the route's requests may run; empty: all.
	PermittedRegions []string `json:"permitted_regions"`
	// Keyless exempts requests from needing an access key when the configuration lists subscribers.
	Keyless bool `json:"keyless,omitempty"`
}

// Streaming reports whether responses are event streams.
func (r *Route) Streaming() bool { return r.Class == ClassStreaming }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Class == ClassSafe || (r.Streaming() && r.Resumable)
}

// Timeout is the time limit for a request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMS) }

// TargetLatency is the latency target for a response, or for a stream's first event.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMS) }

// AttemptLimit is how many backends one request may be sent to, at least 1.
func (r *Route) AttemptLimit() int { return max(1, r.MaxAttempts) }

// EachService calls visit for each service that the route may use, with its weight, in configuration order.
func (r *Route) EachService(visit func(service string, weight float64)) {
	if len(r.Split) == 0 {
		visit(r.Service, 1)
		return
	}
	for _, target := range r.Split {
		visit(target.Service, target.Weight)
	}
}

// Model is a model that a service's backends can be ordered to load.
type Model struct {
	Name string `json:"name"`
	// WeightsMB is the backend memory that the model's weights take, in megabytes.
	WeightsMB float64 `json:"weights_mb"`
	// LoadTimeS is how long loading the model takes, in seconds.
	LoadTimeS float64 `json:"load_time_s"`
	// Adapters is how many adapters the model has.
	Adapters int `json:"adapter_list"`
	// AdapterSizeMB is the backend memory that one adapter takes, in megabytes.
	AdapterSizeMB float64 `json:"adapter_size_mb"`
}

// Engine describes a service's model backends.
type Engine struct {
	// Slots is how many requests a backend runs in one batch.
	Slots int `json:"slots"`
	// KVCapacity is the size of a backend's KV cache in tokens.
	KVCapacity float64 `json:"kv_capacity"`
	Models     []Model `json:"model_list"`
	// WeightsMB is a backend's memory for model weights, in megabytes.
	WeightsMB float64 `json:"weights_mb"`
	// AdapterCapacity is how many adapters a backend has room for.
	AdapterCapacity int `json:"adapter_capacity"`
	// LoadPerS is how many loads per second the model store allows to start.
	LoadPerS float64 `json:"load_per_s"`
}

// Service is a group of interchangeable backends.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of health checks.
	HealthPath string `json:"health_path"`
	// ConnLimit is how many connections a backend accepts; 0: the configuration sets no limit.
	ConnLimit int `json:"conn_limit"`
	// WarmupS is how long a backend that starts under traffic takes to warm up, in seconds.
	WarmupS float64 `json:"cold_start_s"`
	// WarmupRequestsPerS is the load that a backend can handle while it warms up, in requests per second.
	WarmupRequestsPerS float64 `json:"cold_per_s"`
	// Engine is nil for backends without models.
	Engine *Engine `json:"engine"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
	// HeaderTimeoutMS is how long a client may take to send a request's header, in milliseconds.
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	// IdleTimeoutMS is how long a connection may be idle, in milliseconds.
	IdleTimeoutMS float64 `json:"idle_timeout_ms"`
}

// Document is a complete configuration.
type Document struct {
	// Version is above 0 and increases with each accepted configuration.
	Version  uint64    `json:"config_version"`
	Routes   []Route   `json:"route_list"`
	Services []Service `json:"service_list"`
	Limits   Limits    `json:"limits"`
	// Subscribers are the tenants; nil if the configuration has no such list: then requests need no access key.
	Subscribers []Subscriber `json:"subscribers,omitempty"`

	raw          *rawDocument
	services     map[string]*Service
	routesByHost map[string][]*Route // by lower-case host, longest prefix first
	subscribers  *subscriberIndex
}

// Raw returns the document's JSON, with fields and items as the operator sent them. The caller must not modify it.
func (d *Document) Raw() []byte { return d.raw.json(d.Version) }

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service { return d.services[name] }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
