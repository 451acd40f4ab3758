package simcluster

import (
	"fmt"
	"strings"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// busyModelBackend returns a backend with capacity for one of the three models, which load fast: with two such backends,
// orders are sent all the time.
func busyModelBackend(id, zone string, models ...string) fakesystem.BackendConfig {
	cfg := llmBackend(id, zone, models...)
	cfg.CapacityMB = historyCapacityMB
	for name := range cfg.LoadTimes {
		cfg.LoadTimes[name] = 600 * time.Millisecond
	}
	return cfg
}

// busySlipBackend returns a backend of the plain route that is slow enough for faults to hit requests in flight.
func busySlipBackend(id, zone string) fakesystem.BackendConfig {
	cfg := slipBackend(id, zone)
	cfg.RequestTime = 150 * time.Millisecond
	return cfg
}

// historyCapacityMB is a backend's capacity for models in a history.
const historyCapacityMB = 70000

// historyDocument returns the configuration of a history, with an additional plain route at a prefix.
func historyDocument(prefix string) func(version uint64) string {
	return func(version uint64) string {
		route := fmt.Sprintf(`{"name":"mark","host":"a.example","path_prefix":"%s","route_class":"unsafe","timeout_ms":2000,`+
			`"target_latency_ms":150,"priority":2,"service":"slips","max_attempts":1},`, prefix)
		return strings.NewReplacer(`"weights_mb":200000`, fmt.Sprintf(`"weights_mb":%d`, historyCapacityMB), `"load_time_s":3`, `"load_time_s":0.6`,
			`"service":"slips","max_attempts":1`, `"service":"slips","max_attempts":3`,
			`{"name":"slip"`, route+`{"name":"slip"`).Replace(document(version))
	}
}
