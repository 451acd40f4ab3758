// Package configuration reads, checks and changes the operator's configuration:
// routes, services and limits. A Document is never changed once it is made. What
// the operator sent is kept as it was, fields that are not known here among it.
package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"marlreel/internal/controlplane/result"
)

// The classes of routes.
const (
	ClassSafe      = "safe"
	ClassUnsafe    = "unsafe"
	ClassStreaming = "streaming"
)

// WeightedService is a part of a route's traffic that goes to a service.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route says where requests of a host and a prefix go, and how they are treated.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"host"`
	PathPrefix       string            `json:"path_prefix"`
	Class            string            `json:"route_class"`
	TimeoutMS        float64           `json:"timeout_ms"`
	TargetLatencyMS  float64           `json:"target_latency_ms"`
	Priority         int               `json:"priority"`
	Service          string            `json:"service"`
	Split            []WeightedService `json:"weighted_split"`
	MaxAttempts      int               `json:"max_attempts"`
	Affinity         bool              `json:"affinity"`
	Resumable        bool              `json:"resumable"`
	EventGapTargetMS float64           `json:"gap_aim_ms"`
	PermittedRegions []string          `json:"permitted_regions"`
}

// Streaming tells whether answers are streams of events.
func (r *Route) Streaming() bool { return r.Class == ClassStreaming }

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Class == ClassSafe || r.Streaming() && r.Resumable }

// Timeout is how long a request may be held.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMS) }

// TargetLatency is within what time an answer, or a stream's first event, earns its full worth.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMS) }

// AttemptLimit is how many backends one request may be sent to.
func (r *Route) AttemptLimit() int { return max(1, r.MaxAttempts) }

// Services calls for each service that the route may use, with its weight.
func (r *Route) Services(each func(service string, weight float64)) {
	if len(r.Split) == 0 {
		each(r.Service, 1)
		return
	}
	for _, share := range r.Split {
		each(share.Service, share.Weight)
	}
}

// Model is a model that backends of a service may be told to load.
type Model struct {
	Name          string  `json:"name"`
	WeightsMB     float64 `json:"weights_mb"`
	LoadTimeS     float64 `json:"load_time_s"`
	Adapters      int     `json:"adapter_list"`
	AdapterSizeMB float64 `json:"adapter_size_mb"`
}

// Engine describes a service's model backends.
type Engine struct {
	Slots           int     `json:"slots"`
	KVCapacity      float64 `json:"kv_capacity"`
	Models          []Model `json:"model_list"`
	WeightsMB       float64 `json:"weights_mb"`
	AdapterCapacity int     `json:"adapter_capacity"`
	LoadPerS        float64 `json:"load_per_s"`
}

// Service is a group of backends that answer alike.
type Service struct {
	Name               string  `json:"name"`
	HealthPath         string  `json:"health_path"`
	ConnLimit          int     `json:"conn_limit"`
	WarmupS            float64 `json:"cold_start_s"`
	WarmupRequestsPerS float64 `json:"cold_per_s"`
	Engine             *Engine `json:"engine"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int     `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}

// Document is a whole configuration.
type Document struct {
	Version  uint64    `json:"config_version"`
	Routes   []Route   `json:"route_list"`
	Services []Service `json:"service_list"`
	Limits   Limits    `json:"limits"`

	text     *text
	services map[string]*Service
	hosts    map[string][]*Route // the longest prefix first
}

// Raw is the document as JSON. It must not be changed.
func (d *Document) Raw() []byte { return d.text.whole(d.Version) }

// Service is the service of a name, or nil.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Parse reads and checks a whole configuration. The error names the first fault by its code
// and all of them by their words.
func Parse(data []byte) (*Document, *result.Error) {
	d, faults := Validate(data)
	if err := errorOf(faults); err != nil {
		return nil, err
	}
	return d, nil
}

// errorOf makes one error of all faults; nil where there are none.
func errorOf(faults []*result.Error) *result.Error {
	if len(faults) == 0 {
		return nil
	}
	words := make([]string, 0, len(faults))
	for _, fault := range faults[:min(len(faults), mostFaults)] {
		words = append(words, fault.Detail)
	}
	if more := len(faults) - mostFaults; more > 0 {
		words = append(words, fmt.Sprintf("and %d more", more))
	}
	return result.Errorf(faults[0].Code, "%s", strings.Join(words, "; "))
}

// mostFaults is how many faults one error names.
const mostFaults = 20

// Validate reads a whole configuration and gives all that is wrong with it.
func Validate(data []byte) (*Document, []*result.Error) {
	d, err := Decode(data)
	if err != nil {
		return nil, []*result.Error{err}
	}
	return d, d.check(func(string) bool { return true })
}

// Decode reads a whole configuration that was checked when it was taken.
func Decode(data []byte) (*Document, *result.Error) {
	d := &Document{text: newText(data)}
	if err := decode(data, d); err != nil {
		return nil, result.Errorf(result.Malformed, "configuration: %v", err)
	}
	d.index()
	return d, nil
}

var errMore = errors.New("more follows after the document")

// decode reads one JSON value, whole, with nothing behind it.
func decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errMore
	}
	return nil
}

// DecodeVersion reads no more than the version that a body claims.
func DecodeVersion(data []byte) (uint64, *result.Error) {
	var head struct {
		Version *uint64 `json:"config_version"`
	}
	if err := decode(data, &head); err != nil {
		return 0, result.Errorf(result.Malformed, "configuration: %v", err)
	}
	if head.Version == nil {
		return 0, result.Errorf(result.InvalidField, "config_version is missing")
	}
	return *head.Version, nil
}

// check gives the faults of a document. The fields of items are looked at only where they
// are new; what items have to do with one another, always.
func (d *Document) check(isNew func(name string) bool) (faults []*result.Error) {
	report := func(fault *result.Error) {
		if fault != nil {
			faults = append(faults, fault)
		}
	}
	if d.Version == 0 {
		report(result.Errorf(result.InvalidField, "config_version: must be 1 or more"))
	}
	if len(d.services) != len(d.Services) {
		report(result.Errorf(result.DuplicateName, "service_list: two services have the same name"))
	}
	for i := range d.Services {
		if isNew(d.Services[i].Name) {
			report(d.Services[i].check())
		}
	}
	names, places := map[string]bool{}, map[string]string{}
	for i := range d.Routes {
		route := &d.Routes[i]
		fault := d.checkTargets(route)
		if isNew(route.Name) {
			fault = cmp.Or(route.check(), fault)
		}
		report(fault)
		place := route.Host + route.PathPrefix
		if other, taken := places[place]; taken {
			report(result.Errorf(result.DuplicateMatch, "route %s: route %s has %s too", route.Name, other, place))
		}
		if names[route.Name] {
			report(result.Errorf(result.DuplicateName, "route_list: two routes are named %s", route.Name))
		}
		names[route.Name], places[place] = true, route.Name
	}
	return faults
}

func (s *Service) check() *result.Error {
	err := validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required, validation.Length(1, longestName)),
		validation.Field(&s.ConnLimit, validation.Min(0)),
		validation.Field(&s.WarmupS, validation.Min(0.0)),
		validation.Field(&s.WarmupRequestsPerS, validation.Min(0.0)))
	if err != nil {
		return result.Errorf(result.InvalidField, "service %s: %v", s.Name, err)
	}
	return nil
}

const longestName = 256

// check gives a fault of the route's own fields.
func (r *Route) check() *result.Error {
	if r.TimeoutMS <= 0 {
		return result.Errorf(result.MissingTimeout, "route %s: timeout_ms is %v", r.Name, r.TimeoutMS)
	}
	err := validation.ValidateStruct(r,
		validation.Field(&r.Name, validation.Required, validation.Length(1, longestName)),
		validation.Field(&r.Host, validation.Required),
		validation.Field(&r.PathPrefix, validation.Required, validation.By(slashes)),
		validation.Field(&r.TargetLatencyMS, validation.Min(0.0)),
		validation.Field(&r.MaxAttempts, validation.Min(0)))
	if err != nil {
		return result.Errorf(result.InvalidField, "route %s: %v", r.Name, err)
	}
	return nil
}

// checkTargets gives a fault of where a route leads.
func (d *Document) checkTargets(r *Route) *result.Error {
	sum, unknown, negative := 0.0, "", false
	r.Services(func(service string, weight float64) {
		if d.services[service] == nil {
			unknown = service
		}
		negative = negative || weight < 0
		sum += weight
	})
	switch {
	case unknown != "" || r.Service == "" && len(r.Split) == 0:
		return result.Errorf(result.UnknownService, "route %s: there is no service %q", r.Name, unknown)
	case negative:
		return result.Errorf(result.InvalidField, "route %s: a weight is below 0", r.Name)
	case sum == 0:
		return result.Errorf(result.ZeroWeight, "route %s: its weights sum to 0", r.Name)
	}
	return nil
}

func slashes(value any) error {
	prefix, _ := value.(string)
	if len(prefix) == 0 || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		return validation.NewError("prefix", "must begin and end with a slash")
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
