package agent

import (
	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/process/metricserver"
	"marlreel/internal/quota/ledger"
)

// newMetrics returns the metrics of an agent; docs/METRICS.md lists them.
func (a *Agent) newMetrics() *vm.Set {
	set := vm.NewSet()
	set.NewGauge("marlreel_feed_fresh", func() float64 { return metricserver.BoolValue(a.store.Fresh(nil)) })
	set.NewGauge("marlreel_backends", func() float64 { return float64(len(a.store.Backends())) })
	set.NewGauge("marlreel_nodes", func() float64 { return float64(a.store.NodeCount()) })
	set.NewGauge("marlreel_roles_held", func() float64 { return float64(a.leases.count()) })
	for verdict, label := range map[ledger.Verdict]string{
		ledger.Granted: "granted", ledger.Exceeded: "exceeded", ledger.NotOwner: "not_owner", ledger.SubscriberUnknown: "subscriber_unknown",
	} {
		set.NewGauge(`marlreel_quota_requests_total{verdict="`+label+`"}`, func() float64 { return a.quotas.count(verdict) })
	}
	return set
}
