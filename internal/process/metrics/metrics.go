package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/dataplane/engine"
)

// PublishInterval is how often the gauges are published, and so their maximum age.
const PublishInterval = 100 * time.Millisecond

// classCounters count the requests of a class. They are kept when an operator changes the classes in the settings, as a
// counter must not decrease.
type classCounters struct {
	label string // the name of the class, sanitized for a line

	succeeded, declined, aborted atomic.Uint64
}

// ProxyMetrics are the metrics of a process since its start. The engine's goroutine calls the methods of
// engine.Observer; Append may be called from any goroutine.
type ProxyMetrics struct {
	writtenAttempts func() uint64

	classes          atomic.Pointer[[]*classCounters] // by the engine's class number
	outstanding      atomic.Int64
	discovered       atomic.Int64
	ejected          atomic.Int64
	stormState       atomic.Int64
	settingsApplied  atomic.Uint64 // settings files applied at SIGHUP
	settingsRejected atomic.Uint64 // settings files rejected at SIGHUP
}

var _ engine.Observer = (*ProxyMetrics)(nil)

// New creates metrics that are all 0. writtenAttempts returns how many attempts have been written completely to backends.
func New(writtenAttempts func() uint64, classes []balancer.Class) *ProxyMetrics {
	m := &ProxyMetrics{writtenAttempts: writtenAttempts}
	m.SetClasses(classes)
	return m
}

// SetClasses sets the list of classes. A class whose name is already known keeps its counters. SetClasses must not be
// called concurrently.
func (m *ProxyMetrics) SetClasses(classes []balancer.Class) {
	var previous []*classCounters
	p := m.classes.Load()
	if p != nil {
		previous = *p
	}
	current := make([]*classCounters, len(classes))
	for i := range classes {
		label := metricLabel(classes[i].Name)
		for _, known := range previous {
			if known.label == label {
				current[i] = known
			}
		}
		if current[i] == nil {
			current[i] = &classCounters{label: label}
		}
	}
	m.classes.Store(&current)
}

// metricLabel returns the name of a class with the characters replaced that have a meaning in a line or a metric path.
func metricLabel(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || strings.ContainsRune(":|.@#", r) {
			return '_'
		}
		return r
	}, name)
}

// SetGauges publishes the number of discovered backends, the number of ejected ones, and the retry storm state.
func (m *ProxyMetrics) SetGauges(discovered, ejected int, storm retrystorm.State) {
	m.discovered.Store(int64(discovered))
	m.ejected.Store(int64(ejected))
	m.stormState.Store(int64(storm))
}

// RecordSettings counts a settings file that was applied or rejected.
func (m *ProxyMetrics) RecordSettings(applied bool) {
	if applied {
		m.settingsApplied.Add(1)
		return
	}
	m.settingsRejected.Add(1)
}

// Type suffixes of a line, as in the statsd format.
const (
	counter = "c"
	gauge   = "g"
)

// Append appends the metrics to b, one line each, as proxy.NAME[.CLASS]:VALUE|KIND.
func (m *ProxyMetrics) Append(b []byte) []byte {
	classes := *m.classes.Load()
	for i, c := range classes {
		if c.label == "" || slices.Contains(classes[:i], c) {
			continue // the class has no name, or shares the label of an earlier one
		}
		b = appendLine(b, "succeeded", c.label, int64(c.succeeded.Load()), counter)
		b = appendLine(b, "declined", c.label, int64(c.declined.Load()), counter)
		b = appendLine(b, "aborted", c.label, int64(c.aborted.Load()), counter)
	}
	b = appendLine(b, "forwards", "", int64(m.writtenAttempts()), counter)
	b = appendLine(b, "outstanding", "", m.outstanding.Load(), gauge)
	b = appendLine(b, "discovered", "", m.discovered.Load(), gauge)
	b = appendLine(b, "ejected", "", m.ejected.Load(), gauge)
	b = appendLine(b, "storm", "", m.stormState.Load(), gauge)
	b = appendLine(b, "sighup_applied", "", int64(m.settingsApplied.Load()), counter)
	return appendLine(b, "sighup_rejected", "", int64(m.settingsRejected.Load()), counter)
}

// AppendCounter appends a process-wide counter that another package keeps.
func AppendCounter(b []byte, name string, value uint64) []byte {
	return appendLine(b, name, "", int64(value), counter)
}

// appendLine appends a line; an empty class means the whole process.
func appendLine(b []byte, name, class string, value int64, kind string) []byte {
	b = append(append(b, "proxy."...), name...)
	if class != "" {
		b = append(append(b, '.'), class...)
	}
	b = append(b, ':')
	b = strconv.AppendInt(b, value, 10)
	b = append(append(b, '|'), kind...)
	return append(b, '\n')
}
