package gateway

import (
	"strconv"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/metricserver"
)

// maxMeteredClasses bounds the classes with metrics of their own, as configurations may add new classes without end.
// Further ones are counted together.
const maxMeteredClasses = 128

// maxMeteredServices bounds the services with metrics of their own, likewise.
const maxMeteredServices = 256

// otherLabel is the label value of classes and services without metrics of their own.
const otherLabel = "other"

// firstByteBounds are the upper bounds of the histogram of times to the first byte, in seconds.
var firstByteBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

// classMetrics are the metrics of a class of requests.
type classMetrics struct {
	causes    map[cause]*vm.Counter
	firstByte *vm.PrometheusHistogram
}

// serviceMetrics counts the outcomes of a service's requests and attempts. It is an engine.Observer, called on the
// engine's goroutine.
type serviceMetrics struct {
	set           *vm.Set
	service       string
	classes       map[string]*classMetrics // by the class's name
	attempts      map[balancer.Result]*vm.Counter
	brokenStreams *vm.Counter
	surplus       *vm.Counter
}

func newServiceMetrics(set *vm.Set, service string) *serviceMetrics {
	m := &serviceMetrics{set: set, service: service, classes: map[string]*classMetrics{}, attempts: map[balancer.Result]*vm.Counter{}}
	m.brokenStreams = set.GetOrCreateCounter(metricserver.SeriesName("marlreel_streams_broken_off_total", metricserver.Label{Key: "service", Value: service}))
	m.surplus = set.GetOrCreateCounter(metricserver.SeriesName("marlreel_surplus_answers_total", metricserver.Label{Key: "service", Value: service}))
	for result, name := range resultNames {
		m.attempts[result] = set.GetOrCreateCounter(metricserver.SeriesName("marlreel_attempts_total",
			metricserver.Label{Key: "service", Value: service}, metricserver.Label{Key: "result", Value: name}))
	}
	return m
}

// ofClass returns the metrics of a call's class.
func (m *serviceMetrics) ofClass(c *engine.Call) *classMetrics {
	class := &c.Snapshot.Settings.Classes[c.Class]
	metrics := m.classes[class.Name]
	if metrics == nil {
		metrics = m.newClass(class)
		m.classes[class.Name] = metrics
	}
	return metrics
}

// newClass returns the metrics of a class. An earlier class with the same labels shares them.
func (m *serviceMetrics) newClass(class *balancer.Class) *classMetrics {
	kind := "plain"
	if class.Generates {
		kind = "streaming"
	}
	labels := []metricserver.Label{
		{Key: "service", Value: m.service},
		{Key: "kind", Value: kind},
		{Key: "repeatable", Value: strconv.FormatBool(class.Effect == balancer.Safe)},
		{Key: "aim_ms", Value: strconv.FormatInt(class.LatencyTarget.Milliseconds(), 10)},
	}
	if len(m.classes) >= maxMeteredClasses {
		labels = []metricserver.Label{{Key: "service", Value: m.service}, {Key: "kind", Value: otherLabel}}
	}
	metrics := &classMetrics{
		causes:    map[cause]*vm.Counter{},
		firstByte: m.set.GetOrCreatePrometheusHistogramExt(metricserver.SeriesName("marlreel_first_byte_seconds", labels...), firstByteBounds),
	}
	for cause, name := range causeNames {
		metrics.causes[cause] = m.set.GetOrCreateCounter(metricserver.SeriesName("marlreel_requests_total",
			append(labels[:len(labels):len(labels)], metricserver.Label{Key: "outcome", Value: name})...))
	}
	return metrics
}

// recordEnd counts a finished request.
func (m *serviceMetrics) recordEnd(now time.Duration, c *engine.Call, verdict engine.Verdict, cancelled bool) {
	metrics := m.ofClass(c)
	metrics.causes[timelineOf(now, c, verdict, cancelled).cause()].Inc()
	if !cancelled && verdict == engine.Served {
		metrics.firstByte.Update((now - c.Arrived()).Seconds())
	}
}

// OnCallAccepted implements engine.Observer.
func (m *serviceMetrics) OnCallAccepted(time.Duration, *engine.Call) {}

// OnAttemptStarted implements engine.Observer.
func (m *serviceMetrics) OnAttemptStarted(time.Duration, *engine.Attempt) {}

// OnAttemptEnded implements engine.Observer.
func (m *serviceMetrics) OnAttemptEnded(_ time.Duration, _ *engine.Attempt, end engine.AttemptEnd) {
	if counter := m.attempts[end.Result]; counter != nil {
		counter.Inc()
	}
}

// OnAnswered implements engine.Observer.
func (m *serviceMetrics) OnAnswered(now time.Duration, c *engine.Call, a engine.Answer) {
	m.recordEnd(now, c, a.Verdict, false)
}

// OnStreamEnded implements engine.Observer.
func (m *serviceMetrics) OnStreamEnded(_ time.Duration, _ *engine.Call, complete bool) {
	if !complete {
		m.brokenStreams.Inc()
	}
}

// OnClientGone implements engine.Observer.
func (m *serviceMetrics) OnClientGone(now time.Duration, c *engine.Call) {
	m.recordEnd(now, c, engine.ClientGone, true)
}

// OnMembership implements engine.Observer.
func (m *serviceMetrics) OnMembership(time.Duration, *engine.Membership) {}

// OnHealthCheck implements engine.Observer.
func (m *serviceMetrics) OnHealthCheck(time.Duration, *engine.Backend, balancer.Result, time.Duration) {
}

// metricsLabel returns the label value under which a service is counted. Called with the lock.
func (g *Gateway) metricsLabel(service string) string {
	if !g.metered[service] && len(g.metered) >= maxMeteredServices {
		return otherLabel
	}
	g.metered[service] = true
	return service
}

// newMetrics creates the metrics of a gateway as a whole.
func (g *Gateway) newMetrics() *vm.Set {
	set := vm.NewSet()
	set.NewGauge("marlreel_ready", func() float64 { return metricserver.BoolValue(g.Ready()) })
	set.NewGauge("marlreel_feed_fresh", func() float64 { return metricserver.BoolValue(g.state.Fresh(nil)) })
	set.NewGauge("marlreel_backends", func() float64 { return float64(len(g.state.Backends())) })
	set.NewGauge("marlreel_nodes", func() float64 { return float64(g.state.NodeCount()) })
	set.NewGauge("marlreel_config_version", func() float64 {
		if document := g.table.Load().document; document != nil {
			return float64(document.Version)
		}
		return 0
	})
	return set
}
