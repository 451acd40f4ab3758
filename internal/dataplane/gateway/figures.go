package gateway

import (
	"strconv"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/balancer"
	"marlreel/internal/engine"
	"marlreel/internal/process/metricserver"
)

// mostClasses bounds the classes that are counted apart: configurations may bring new ones
// for ever. Those beyond count as one.
const mostClasses = 128

// mostServices bounds the services that are counted apart, likewise.
const mostServices = 256

// otherLabel stands for all that is not counted apart.
const otherLabel = "other"

// firstByteBounds are the upper bounds of the times to the first byte, in seconds.
var firstByteBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

// classFigures are those of a class of requests.
type classFigures struct {
	causes    map[cause]*vm.Counter
	firstByte *vm.PrometheusHistogram
}

// serviceFigures counts what becomes of a service's requests and attempts. It is an
// engine.Observer, on the engine's goroutine.
type serviceFigures struct {
	set      *vm.Set
	service  string
	classes  map[string]*classFigures // by the class's name
	attempts map[balancer.Result]*vm.Counter
	broken   *vm.Counter
}

func newServiceFigures(set *vm.Set, service string) *serviceFigures {
	f := &serviceFigures{set: set, service: service, classes: map[string]*classFigures{}, attempts: map[balancer.Result]*vm.Counter{}}
	f.broken = set.GetOrCreateCounter(metricserver.SeriesName("marlreel_streams_broken_off_total", metricserver.Label{Key: "service", Value: service}))
	for result, word := range resultWords {
		f.attempts[result] = set.GetOrCreateCounter(metricserver.SeriesName("marlreel_attempts_total",
			metricserver.Label{Key: "service", Value: service}, metricserver.Label{Key: "result", Value: word}))
	}
	return f
}

// of gives the figures of a call's class.
func (f *serviceFigures) of(c *engine.Call) *classFigures {
	class := &c.Book.Settings.Classes[c.Class]
	figures := f.classes[class.Name]
	if figures == nil {
		figures = f.newClass(class)
		f.classes[class.Name] = figures
	}
	return figures
}

// newClass makes the figures of a class. Those of an earlier one with the same labels go on.
func (f *serviceFigures) newClass(class *balancer.Class) *classFigures {
	kind := "plain"
	if class.Generates {
		kind = "streaming"
	}
	labels := []metricserver.Label{
		{Key: "service", Value: f.service},
		{Key: "kind", Value: kind},
		{Key: "repeatable", Value: strconv.FormatBool(class.Effect == balancer.Safe)},
		{Key: "aim_ms", Value: strconv.FormatInt(class.Aim.Milliseconds(), 10)},
	}
	if len(f.classes) >= mostClasses {
		labels = []metricserver.Label{{Key: "service", Value: f.service}, {Key: "kind", Value: otherLabel}}
	}
	figures := &classFigures{
		causes:    map[cause]*vm.Counter{},
		firstByte: f.set.GetOrCreatePrometheusHistogramExt(metricserver.SeriesName("marlreel_first_byte_seconds", labels...), firstByteBounds),
	}
	for of, word := range causeWords {
		figures.causes[of] = f.set.GetOrCreateCounter(metricserver.SeriesName("marlreel_requests_total",
			append(labels[:len(labels):len(labels)], metricserver.Label{Key: "outcome", Value: word})...))
	}
	return figures
}

// over counts a request that is over.
func (f *serviceFigures) over(now time.Duration, c *engine.Call, verdict engine.Verdict, left bool) {
	figures := f.of(c)
	figures.causes[journeyOf(now, c, verdict, left).cause()].Inc()
	if !left && verdict == engine.Served {
		figures.firstByte.Update((now - c.Arrived()).Seconds())
	}
}

// Taken implements engine.Observer.
func (f *serviceFigures) Taken(time.Duration, *engine.Call) {}

// Sent implements engine.Observer.
func (f *serviceFigures) Sent(time.Duration, *engine.Attempt) {}

// Ended implements engine.Observer.
func (f *serviceFigures) Ended(_ time.Duration, _ *engine.Attempt, end engine.End) {
	if counter := f.attempts[end.Result]; counter != nil {
		counter.Inc()
	}
}

// Answered implements engine.Observer.
func (f *serviceFigures) Answered(now time.Duration, c *engine.Call, a engine.Answer) {
	f.over(now, c, a.Verdict, false)
}

// Streamed implements engine.Observer.
func (f *serviceFigures) Streamed(_ time.Duration, _ *engine.Call, whole bool) {
	if !whole {
		f.broken.Inc()
	}
}

// Left implements engine.Observer.
func (f *serviceFigures) Left(now time.Duration, c *engine.Call) { f.over(now, c, engine.Left, true) }

// Listed implements engine.Observer.
func (f *serviceFigures) Listed(time.Duration, *engine.List) {}

// Probed implements engine.Observer.
func (f *serviceFigures) Probed(time.Duration, *engine.Backend, balancer.Result, time.Duration) {}

// countedAs is the name under which a service is counted. Called with the lock.
func (g *Gateway) countedAs(service string) string {
	if !g.counted[service] && len(g.counted) >= mostServices {
		return otherLabel
	}
	g.counted[service] = true
	return service
}

// newFigures makes the figures of a gateway as a whole.
func (g *Gateway) newFigures() *vm.Set {
	set := vm.NewSet()
	set.NewGauge("marlreel_ready", func() float64 { return metricserver.BoolValue(g.Ready()) })
	set.NewGauge("marlreel_feed_fresh", func() float64 { return metricserver.BoolValue(g.feed.Fresh(nil)) })
	set.NewGauge("marlreel_backends", func() float64 { return float64(len(g.feed.Backends())) })
	set.NewGauge("marlreel_nodes", func() float64 { return float64(len(g.feed.Nodes())) })
	set.NewGauge("marlreel_config_version", func() float64 {
		if document := g.plan.Load().document; document != nil {
			return float64(document.Version)
		}
		return 0
	})
	return set
}
