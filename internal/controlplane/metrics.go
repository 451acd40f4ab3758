package controlplane

import (
	"context"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/process/metricserver"
)

// newMetrics makes the figures of a control process.
func (s *Service) newMetrics() *vm.Set {
	set := vm.NewSet()
	set.RegisterMetricsWriter(s.writeChainMetrics)
	set.NewGauge("marlreel_config_version", func() float64 {
		version := uint64(0)
		s.feed.ReadState(func(m *state.Machine) { version = m.Version() })
		return float64(version)
	})
	set.NewGauge("marlreel_backends", func() float64 { return float64(len(s.feed.Backends())) })
	set.NewGauge("marlreel_nodes", func() float64 { return float64(len(s.feed.Nodes())) })
	set.NewGauge("marlreel_feed_readers", func() float64 { return float64(len(s.membership.Subscribers())) })
	s.counters.Store(set)
	return set
}

// countOrder counts an order that was answered, by its result.
func (s *Service) countOrder(outcome *result.Error) {
	if set := s.counters.Load(); set != nil {
		set.GetOrCreateCounter(metricserver.SeriesName("marlreel_orders_total", metricserver.Label{Key: "result", Value: outcome.Code.String()})).Inc()
	}
}

// writeChainMetrics writes how the chain stands: nothing of it where that is not known in time.
func (s *Service) writeChainMetrics(w io.Writer) {
	patience, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	standing := s.chainStatus(patience)
	vm.WriteGaugeFloat64(w, "marlreel_chain_connected", metricserver.BoolValue(standing.Connected))
	vm.WriteGaugeUint64(w, "marlreel_chain_view", standing.View)
	vm.WriteGaugeUint64(w, "marlreel_chain_members", uint64(len(standing.Members)))
	vm.WriteGaugeUint64(w, "marlreel_chain_length", uint64(len(standing.Chain)))
	vm.WriteGaugeFloat64(w, "marlreel_chain_leaving", metricserver.BoolValue(standing.Leaving))
	vm.WriteGaugeFloat64(w, "marlreel_chain_catching_up", metricserver.BoolValue(standing.CatchingUp != ""))
	vm.WriteGaugeUint64(w, "marlreel_chain_committed", standing.Committed)
	vm.WriteGaugeFloat64(w, "marlreel_store_failed", metricserver.BoolValue(standing.StoreFailed))
}
