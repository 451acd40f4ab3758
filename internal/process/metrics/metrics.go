// Package metrics counts what a proxy does, by observing its engine. It owns the counts
// and their lines of text, and nothing that it counts. The engine's goroutine writes;
// any other may read at any time, and neither waits for the other.
package metrics

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/dataplane/engine"
)

// PublishInterval is how often the gauges are published: the figures are no older.
const PublishInterval = 100 * time.Millisecond

// classCounters is what a class of requests came to. Its counts outlive the class: a figure that
// counts up must not fall because an operator took a class out of the settings and put it
// back.
type classCounters struct {
	label string // its name, as it may stand in a line

	succeeded, declined, aborted atomic.Uint64
}

// ProxyMetrics are a process's figures, from its start on.
type ProxyMetrics struct {
	writtenAttempts func() uint64

	classes          atomic.Pointer[[]*classCounters] // by the engine's number for the class
	outstanding      atomic.Int64
	discovered       atomic.Int64
	ejected          atomic.Int64
	stormState       atomic.Int64
	settingsApplied  atomic.Uint64 // settings files taken at SIGHUP
	settingsRejected atomic.Uint64 // and turned down
}

// New makes counts. written tells how many attempts have been written whole to backends.
func New(written func() uint64, classes []balancer.Class) *ProxyMetrics {
	c := &ProxyMetrics{writtenAttempts: written}
	c.SetClasses(classes)
	return c
}

// SetClasses says which classes there are. One that is known by its number and name keeps
// its counts. Only one goroutine at a time.
func (c *ProxyMetrics) SetClasses(classes []balancer.Class) {
	var old []*classCounters
	if p := c.classes.Load(); p != nil {
		old = *p
	}
	now := make([]*classCounters, len(classes))
	for i, s := range classes {
		l := metricLabel(s.Name)
		for _, o := range old {
			if o.label == l {
				now[i] = o
			}
		}
		if now[i] == nil {
			now[i] = &classCounters{label: l}
		}
	}
	c.classes.Store(&now)
}

// metricLabel is a class's name with what would break a line, or a path of names, replaced.
func metricLabel(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || strings.ContainsRune(":|.@#", r) {
			return '_'
		}
		return r
	}, name)
}

// SetGauges publishes what stands at the moment: backends in the list, and those of them that
// get nothing for now; and how it stands with retry storms.
func (c *ProxyMetrics) SetGauges(listed, avoided int, storms retrystorm.State) {
	c.discovered.Store(int64(listed))
	c.ejected.Store(int64(avoided))
	c.stormState.Store(int64(storms))
}

// RecordSettings counts a settings file that was taken, or turned down.
func (c *ProxyMetrics) RecordSettings(taken bool) {
	if taken {
		c.settingsApplied.Add(1)
		return
	}
	c.settingsRejected.Add(1)
}

// Append writes the figures behind b, a line each.
func (c *ProxyMetrics) Append(b []byte) []byte {
	line := func(name, class string, n int64, kind string) {
		b = append(append(b, "proxy."...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = append(b, ':')
		b = strconv.AppendInt(b, n, 10)
		b = append(append(b, '|'), kind...)
		b = append(b, '\n')
	}
	for i, s := range *c.classes.Load() {
		if s == nil || s.label == "" || c.repeatsEarlierClass(i) {
			continue
		}
		line("succeeded", s.label, int64(s.succeeded.Load()), "c")
		line("declined", s.label, int64(s.declined.Load()), "c")
		line("aborted", s.label, int64(s.aborted.Load()), "c")
	}
	line("forwards", "", int64(c.writtenAttempts()), "c")
	line("outstanding", "", c.outstanding.Load(), "g")
	line("discovered", "", c.discovered.Load(), "g")
	line("ejected", "", c.ejected.Load(), "g")
	line("storm", "", c.stormState.Load(), "g")
	line("sighup_applied", "", int64(c.settingsApplied.Load()), "c")
	line("sighup_rejected", "", int64(c.settingsRejected.Load()), "c")
	return b
}

// repeatsEarlierClass tells whether a class before this one has the same counts: one line is enough.
func (c *ProxyMetrics) repeatsEarlierClass(i int) bool {
	all := *c.classes.Load()
	for _, s := range all[:i] {
		if s == all[i] {
			return true
		}
	}
	return false
}

// Taken implements engine.Observer.
func (c *ProxyMetrics) Taken(time.Duration, *engine.Call) { c.outstanding.Add(1) }

// Answered implements engine.Observer. What is served as a stream counts when that ends.
func (c *ProxyMetrics) Answered(_ time.Duration, call *engine.Call, a engine.Answer) {
	if a.Streams {
		return
	}
	if call.Taken() {
		c.outstanding.Add(-1)
	}
	c.recordVerdict(call.Class, a.Verdict)
}

// Streamed implements engine.Observer.
func (c *ProxyMetrics) Streamed(_ time.Duration, call *engine.Call, whole bool) {
	c.outstanding.Add(-1)
	verdict := engine.Served
	if !whole {
		verdict = engine.Failed
	}
	c.recordVerdict(call.Class, verdict)
}

func (c *ProxyMetrics) recordVerdict(number int, verdict engine.Verdict) {
	all := *c.classes.Load()
	if number < 0 || number >= len(all) {
		return
	}
	switch verdict {
	case engine.Served:
		all[number].succeeded.Add(1)
	case engine.Refused, engine.Overloaded:
		all[number].declined.Add(1)
	default:
		all[number].aborted.Add(1)
	}
}

// Left implements engine.Observer: nobody waits for an answer any more.
func (c *ProxyMetrics) Left(time.Duration, *engine.Call) { c.outstanding.Add(-1) }

// Sent implements engine.Observer.
func (c *ProxyMetrics) Sent(time.Duration, *engine.Attempt) {}

// Ended implements engine.Observer.
func (c *ProxyMetrics) Ended(time.Duration, *engine.Attempt, engine.End) {}

// Listed implements engine.Observer.
func (c *ProxyMetrics) Listed(time.Duration, *engine.List) {}

// Probed implements engine.Observer.
func (c *ProxyMetrics) Probed(time.Duration, *engine.Backend, balancer.Result, time.Duration) {}
