package scale

import (
	"encoding/json"
	"fmt"
)

// These types hold the part of the operator's configuration that a trial needs. configuration.Document is not used, as
// an operator's file has only the keys that are set, and its size on the wire is measured.
type (
	sentRoute struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"path_prefix"`
		Class    string `json:"route_class"`
		Timeout  int    `json:"timeout_ms"`
		Target   int    `json:"target_latency_ms"`
		Service  string `json:"service"`
		Attempts int    `json:"max_attempts"`
	}
	sentModel struct {
		Name     string  `json:"name"`
		Weights  float64 `json:"weights_mb"`
		LoadTime float64 `json:"load_time_s"`
		Adapters int     `json:"adapter_list"`
		Adapter  float64 `json:"adapter_size_mb"`
	}
	sentEngine struct {
		Slots    int         `json:"slots"`
		Memory   int         `json:"kv_capacity"`
		Weights  float64     `json:"weights_mb"`
		Adapters int         `json:"adapter_capacity"`
		Loads    float64     `json:"load_per_s"`
		Models   []sentModel `json:"model_list"`
	}
	sentService struct {
		Name        string      `json:"name"`
		Health      string      `json:"health_path"`
		Connections int         `json:"conn_limit"`
		Engine      *sentEngine `json:"engine,omitempty"`
	}
	sentDocument struct {
		Version  uint64         `json:"config_version"`
		Routes   []sentRoute    `json:"route_list"`
		Services []sentService  `json:"service_list"`
		Limits   map[string]int `json:"limits"`
	}
)

// document returns a configuration with cfg.Routes routes and cfg.Models models.
func document(cfg Config, version uint64) []byte {
	sent := sentDocument{Version: version, Limits: map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 4 << 20,
		"header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
	for i := range cfg.Routes {
		sent.Routes = append(sent.Routes, sentRoute{
			Name: fmt.Sprint("route-", i), Host: "scale.example", Prefix: fmt.Sprintf("/r%d/", i),
			Class: "streaming", Timeout: 15000, Target: 800, Service: "llm", Attempts: 2,
		})
	}
	engine := &sentEngine{Slots: 64, Memory: 100000, Weights: 200000, Adapters: 8, Loads: 4}
	for i := range cfg.Models {
		engine.Models = append(engine.Models, sentModel{Name: fmt.Sprint("model-", i), Weights: 60000, LoadTime: 3, Adapters: 6, Adapter: 60})
	}
	sent.Services = []sentService{{Name: "llm", Health: "/health", Connections: 300, Engine: engine}}
	data, _ := json.Marshal(sent) // structs of plain fields always marshal
	return data
}
