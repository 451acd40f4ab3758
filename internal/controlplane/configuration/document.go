package configuration

import "time"

// The classes of routes.
const (
	// ClassSafe: requests may run any number of times.
	ClassSafe = "safe"
	// ClassUnsafe: a request may run once at most.
	ClassUnsafe = "unsafe"
	// ClassStreaming: answers are streams of events; a request may run again where the route is resumable.
	ClassStreaming = "streaming"
)

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is at least 0; the share is the weight divided by the sum of the route's weights.
	Weight float64 `json:"weight"`
}

// Route says where the requests of a host and a path prefix go, and how they are treated.
type Route struct {
	Name string `json:"name"`
	// Host is compared without regard to case and port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	// Class is one of ClassSafe, ClassUnsafe and ClassStreaming.
	Class string `json:"route_class"`
	// TimeoutMS is how long a request may take, in milliseconds; above 0.
	TimeoutMS float64 `json:"timeout_ms"`
	// TargetLatencyMS is the latency target in milliseconds; for a stream it ends with the first event.
	TargetLatencyMS float64 `json:"target_latency_ms"`
	// Priority is from 0 (first) to 9 (last).
	Priority int `json:"priority"`
	// Service takes all requests where Split is empty.
	Service string            `json:"service"`
	Split   []WeightedService `json:"weighted_split"`
	// MaxAttempts is how many backends a request may be sent to; 0 counts as 1.
	MaxAttempts int `json:"max_attempts"`
	// Affinity: requests stay with the backend whose prefix cache has their prompt.
	Affinity bool `json:"affinity"`
	// Resumable: a stream may be continued at another backend after its last complete event.
	Resumable bool `json:"resumable"`
	// EventGapTargetMS is the longest time in milliseconds between two events of a stream that is in time.
	EventGapTargetMS float64 `json:"gap_aim_ms"`
	// PermittedRegions are the regions in which the route's requests may run; empty: all.
	PermittedRegions []string `json:"permitted_regions"`
	// Keyless: requests need no key where the configuration lists subscribers.
	Keyless bool `json:"keyless,omitempty"`
}

// Streaming reports whether answers are streams of events.
func (r *Route) Streaming() bool { return r.Class == ClassStreaming }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Class == ClassSafe || (r.Streaming() && r.Resumable)
}

// Timeout is how long a request may take.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMS) }

// TargetLatency is the latency target of an answer, or of a stream's first event.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMS) }

// AttemptLimit is how many backends one request may be sent to, at least 1.
func (r *Route) AttemptLimit() int { return max(1, r.MaxAttempts) }

// EachService calls visit for each service that the route may use, with its weight, in the order of the
// configuration.
func (r *Route) EachService(visit func(service string, weight float64)) {
	if len(r.Split) == 0 {
		visit(r.Service, 1)
		return
	}
	for _, target := range r.Split {
		visit(target.Service, target.Weight)
	}
}

// Model is a model that backends of a service may be told to load.
type Model struct {
	Name string `json:"name"`
	// WeightsMB is what the model takes of a backend's memory, in megabytes.
	WeightsMB float64 `json:"weights_mb"`
	// LoadTimeS is how long a load takes, in seconds.
	LoadTimeS float64 `json:"load_time_s"`
	// Adapters is how many adapters the model has.
	Adapters int `json:"adapter_list"`
	// AdapterSizeMB is what one adapter takes, in megabytes.
	AdapterSizeMB float64 `json:"adapter_size_mb"`
}

// Engine describes a service's model backends.
type Engine struct {
	// Slots is how many requests a backend runs in one batch.
	Slots int `json:"slots"`
	// KVCapacity is the size of a backend's KV cache in tokens.
	KVCapacity float64 `json:"kv_capacity"`
	Models     []Model `json:"model_list"`
	// WeightsMB is a backend's memory for models, in megabytes.
	WeightsMB float64 `json:"weights_mb"`
	// AdapterCapacity is how many adapters a backend has room for.
	AdapterCapacity int `json:"adapter_capacity"`
	// LoadPerS is how many loads a second the store of models allows to begin.
	LoadPerS float64 `json:"load_per_s"`
}

// Service is a group of backends that answer alike.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of health checks.
	HealthPath string `json:"health_path"`
	// ConnLimit is how many connections a backend accepts; 0: not limited here.
	ConnLimit int `json:"conn_limit"`
	// WarmupS is how long a backend warms up after a start during traffic, in seconds.
	WarmupS float64 `json:"cold_start_s"`
	// WarmupRequestsPerS is what a backend bears while it warms up, in requests a second.
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
	// Version is above 0, and rises with each configuration that is accepted.
	Version  uint64    `json:"config_version"`
	Routes   []Route   `json:"route_list"`
	Services []Service `json:"service_list"`
	Limits   Limits    `json:"limits"`
	// Subscribers are the tenants; nil where the configuration has no such list, and requests need no key.
	Subscribers []Subscriber `json:"subscribers,omitempty"`

	raw          *rawDocument
	services     map[string]*Service
	routesByHost map[string][]*Route // the longest prefix first
	subscribers  *subscriberIndex
}

// Raw is the document as JSON, as it was sent. The caller must not change it.
func (d *Document) Raw() []byte { return d.raw.json(d.Version) }

// Service returns the service of a name, or nil.
func (d *Document) Service(name string) *Service { return d.services[name] }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
