package controlplane

import (
	"context"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/process/metricserver"
)

// newMetrics makes the metrics of a control process (docs/METRICS.md).
func (s *Service) newMetrics() *vm.Set {
	set := vm.NewSet()
	set.RegisterMetricsWriter(s.writeChainMetrics)
	set.NewGauge("marlreel_config_version", func() float64 {
		version := uint64(0)
		s.feed.ReadState(func(machine *state.Machine) { version = machine.Version() })
		return float64(version)
	})
	set.NewGauge("marlreel_backends", func() float64 { return float64(len(s.feed.Backends())) })
	set.NewGauge("marlreel_nodes", func() float64 { return float64(len(s.feed.Nodes())) })
	set.NewGauge("marlreel_feed_readers", func() float64 { return float64(len(s.membership.Subscribers())) })
	s.counters.Store(set)
	return set
}

// countOperation counts a completed operation by its result.
func (s *Service) countOperation(outcome *result.Error) {
	set := s.counters.Load()
	if set == nil {
		return
	}
	name := metricserver.SeriesName("marlreel_orders_total", metricserver.Label{Key: "result", Value: outcome.Code.String()})
	set.GetOrCreateCounter(name).Inc()
}

// writeChainMetrics writes the metrics of the chain. They are those of the zero ChainStatus if the status is not
// available in time.
func (s *Service) writeChainMetrics(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := s.chainStatus(ctx)
	vm.WriteGaugeFloat64(w, "marlreel_chain_connected", metricserver.BoolValue(status.Connected))
	vm.WriteGaugeUint64(w, "marlreel_chain_view", status.View)
	vm.WriteGaugeUint64(w, "marlreel_chain_members", uint64(len(status.Members)))
	vm.WriteGaugeUint64(w, "marlreel_chain_length", uint64(len(status.Chain)))
	vm.WriteGaugeFloat64(w, "marlreel_chain_leaving", metricserver.BoolValue(status.Leaving))
	vm.WriteGaugeFloat64(w, "marlreel_chain_catching_up", metricserver.BoolValue(status.CatchingUp != ""))
	vm.WriteGaugeUint64(w, "marlreel_chain_committed", status.Committed)
	vm.WriteGaugeFloat64(w, "marlreel_store_failed", metricserver.BoolValue(status.StoreFailed))
}
