package agent

import (
	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/process/metricserver"
)

// newFigures makes the figures of an agent.
func (a *Agent) newFigures() *vm.Set {
	set := vm.NewSet()
	set.NewGauge("marlreel_feed_fresh", func() float64 { return metricserver.BoolValue(a.feed.Fresh(nil)) })
	set.NewGauge("marlreel_backends", func() float64 { return float64(len(a.feed.Backends())) })
	set.NewGauge("marlreel_nodes", func() float64 { return float64(len(a.feed.Nodes())) })
	set.NewGauge("marlreel_roles_held", func() float64 { return float64(a.leases.count()) })
	return set
}
