package simcluster

import (
	"fmt"
	"strings"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// busyModelBackend is a model backend with room for one of the three models, which are loaded soon: with two such backends
// orders go on for ever.
func busyModelBackend(id, zone string, models ...string) fakesystem.BackendConfig {
	cfg := llmBackend(id, zone, models...)
	cfg.CapacityMB = historyCapacityMB
	for name := range cfg.LoadTimes {
		cfg.LoadTimes[name] = 600 * time.Millisecond
	}
	return cfg
}

// busySlipBackend is a plain backend that takes long enough for faults to meet requests that run.
func busySlipBackend(id, zone string) fakesystem.BackendConfig {
	cfg := slipBackend(id, zone)
	cfg.RequestTime = 150 * time.Millisecond
	return cfg
}

// historyCapacityMB is what a backend of a history holds, in MB.
const historyCapacityMB = 70000

// historyDocument is the configuration of a history, with one more route at a place of its own.
func historyDocument(place string) func(version uint64) string {
	return func(version uint64) string {
		mark := fmt.Sprintf(`{"name":"mark","host":"a.example","path_prefix":"%s","route_class":"unsafe","timeout_ms":2000,`+
			`"target_latency_ms":150,"priority":2,"service":"slips","max_attempts":1},`, place)
		return strings.NewReplacer(`"weights_mb":200000`, fmt.Sprintf(`"weights_mb":%d`, historyCapacityMB), `"load_time_s":3`, `"load_time_s":0.6`,
			`{"name":"slip"`, mark+`{"name":"slip"`).Replace(document(version))
	}
}
