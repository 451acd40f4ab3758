package quotaclient

import (
	"sync/atomic"

	vm "github.com/VictoriaMetrics/metrics"
)

// results counts the decisions.
type results struct {
	granted, exceeded, exceededLocally, unknown atomic.Uint64
}

// count counts a decision for which an owner was asked, or was not.
func (r *results) count(verdict Verdict, asked bool) {
	switch {
	case verdict == Granted:
		r.granted.Add(1)
	case verdict == Unknown:
		r.unknown.Add(1)
	case asked:
		r.exceeded.Add(1)
	default:
		r.exceededLocally.Add(1)
	}
}

// AddMetrics adds the client's metrics to a set; docs/METRICS.md lists them.
func (c *Client) AddMetrics(set *vm.Set) {
	for result, count := range map[string]*atomic.Uint64{
		"granted": &c.results.granted, "exceeded": &c.results.exceeded,
		"exceeded_locally": &c.results.exceededLocally, "unknown": &c.results.unknown,
	} {
		set.NewGauge(`marlreel_quota_decisions_total{result="`+result+`"}`, func() float64 { return float64(count.Load()) })
	}
}
