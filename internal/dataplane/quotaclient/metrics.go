package quotaclient

import vm "github.com/VictoriaMetrics/metrics"

// results counts the decisions; docs/METRICS.md lists the metrics.
type results struct {
	granted, exceeded, exceededLocally, unknown *vm.Counter
}

func newResults(set *vm.Set) results {
	counter := func(result string) *vm.Counter {
		return set.NewCounter(`marlreel_quota_decisions_total{result="` + result + `"}`)
	}
	return results{counter("granted"), counter("exceeded"), counter("exceeded_locally"), counter("unknown")}
}

// count counts a decision. asked says whether an owner was called for it.
func (r *results) count(verdict Verdict, asked bool) {
	switch {
	case verdict == Granted:
		r.granted.Inc()
	case verdict == Unknown:
		r.unknown.Inc()
	case asked:
		r.exceeded.Inc()
	default:
		r.exceededLocally.Inc()
	}
}
