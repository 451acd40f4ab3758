package scale

import (
	"encoding/json"
	"fmt"
)

// The operator's configuration, as far as a trial needs it.
type (
	wireRoute struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"path_prefix"`
		Class    string `json:"route_class"`
		Timeout  int    `json:"timeout_ms"`
		Target   int    `json:"target_latency_ms"`
		Service  string `json:"service"`
		Attempts int    `json:"max_attempts"`
	}
	wireModel struct {
		Name     string  `json:"name"`
		Weights  float64 `json:"weights_mb"`
		LoadTime float64 `json:"load_time_s"`
		Adapters int     `json:"adapter_list"`
		Adapter  float64 `json:"adapter_size_mb"`
	}
	wireEngine struct {
		Slots    int         `json:"slots"`
		Memory   int         `json:"kv_capacity"`
		Weights  float64     `json:"weights_mb"`
		Adapters int         `json:"adapter_capacity"`
		Loads    float64     `json:"load_per_s"`
		Models   []wireModel `json:"model_list"`
	}
	wireService struct {
		Name        string      `json:"name"`
		Health      string      `json:"health_path"`
		Connections int         `json:"conn_limit"`
		Engine      *wireEngine `json:"engine,omitempty"`
	}
	wireDocument struct {
		Version  uint64         `json:"config_version"`
		Routes   []wireRoute    `json:"route_list"`
		Services []wireService  `json:"service_list"`
		Limits   map[string]int `json:"limits"`
	}
)

// document is a configuration of the size that is asked for.
func document(cfg Config, version uint64) []byte {
	d := wireDocument{Version: version, Limits: map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 4 << 20,
		"header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
	for i := range cfg.Routes {
		d.Routes = append(d.Routes, wireRoute{
			Name: fmt.Sprint("route-", i), Host: "scale.example", Prefix: fmt.Sprintf("/r%d/", i),
			Class: "streaming", Timeout: 15000, Target: 800, Service: "llm", Attempts: 2,
		})
	}
	engine := &wireEngine{Slots: 64, Memory: 100000, Weights: 200000, Adapters: 8, Loads: 4}
	for i := range cfg.Models {
		engine.Models = append(engine.Models, wireModel{Name: fmt.Sprint("model-", i), Weights: 60000, LoadTime: 3, Adapters: 6, Adapter: 60})
	}
	d.Services = []wireService{{Name: "llm", Health: "/health", Connections: 300, Engine: engine}}
	data, _ := json.Marshal(d) // structs of plain fields always marshal
	return data
}
