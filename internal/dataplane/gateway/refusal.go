package gateway

import (
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"marlreel/internal/process/logevent"
	"marlreel/internal/process/metricserver"
)

// refusal is the reason why the proxy itself refuses a request.
type refusal int

// The reasons.
const (
	refusedUnauthenticated refusal = iota // its route needs a key, and it has no known one
	refusedOverQuota                      // its tenant is over its quota
	refusedQuotaUnknown                   // this proxy doesn't know what is left of its tenant's quota
)

// refusalNames are the values of the metrics' label "reason" (docs/METRICS.md).
var refusalNames = map[refusal]string{
	refusedUnauthenticated: "unauthenticated", refusedOverQuota: "over_quota", refusedQuotaUnknown: "quota_unknown",
}

// refusalLogInterval is the least time between two log lines about refused tenants.
const refusalLogInterval = 10 * time.Second

// refusalRecorder counts refusals, and logs at a limited rate which tenant is refused. Its methods are safe for
// concurrent use.
type refusalRecorder struct {
	counters map[refusal]*vm.Counter
	log      logr.Logger

	mu       sync.Mutex
	logLimit logRateLimit
}

func newRefusalRecorder(set *vm.Set, log logr.Logger) *refusalRecorder {
	r := &refusalRecorder{counters: map[refusal]*vm.Counter{}, log: log, logLimit: logRateLimit{interval: refusalLogInterval}}
	for reason, name := range refusalNames {
		r.counters[reason] = set.NewCounter(metricserver.SeriesName("marlreel_requests_refused_total", metricserver.Label{Key: "reason", Value: name}))
	}
	return r
}

// record counts the refusal of a request that has no tenant.
func (r *refusalRecorder) record(reason refusal) { r.counters[reason].Inc() }

// recordTenant counts the refusal of a tenant's request.
func (r *refusalRecorder) recordTenant(now time.Time, reason refusal, tenant string) {
	r.record(reason)
	r.mu.Lock()
	refused, due := r.logLimit.add(now)
	r.mu.Unlock()
	if due {
		r.log.Info(logevent.TenantRefused, logevent.KeyTenant, tenant, logevent.KeyCause, refusalNames[reason], logevent.KeyRefused, refused)
	}
}

// logRateLimit limits log lines to one per interval.
type logRateLimit struct {
	interval time.Duration
	last     time.Time // when the last line was logged; zero: never
	count    int       // events since then
}

// add counts one event. If a line is due, it returns how many events there were since the last line.
func (l *logRateLimit) add(now time.Time) (count int, due bool) {
	l.count++
	if !l.last.IsZero() && now.Sub(l.last) < l.interval {
		return 0, false
	}
	count = l.count
	l.last, l.count = now, 0
	return count, true
}
