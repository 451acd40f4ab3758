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

// Every is how often the gauges are published: the figures are no older.
const Every = 100 * time.Millisecond

// class is what a class of requests came to. Its counts outlive the class: a figure that
// counts up must not fall because an operator took a class out of the settings and put it
// back.
type class struct {
	label string // its name, as it may stand in a line

	succeeded, declined, aborted atomic.Uint64
}

// Counts are a process's figures, from its start on.
type Counts struct {
	written func() uint64

	classes   atomic.Pointer[[]*class] // by the engine's number for the class
	open      atomic.Int64
	listed    atomic.Int64
	avoided   atomic.Int64
	storms    atomic.Int64
	taken     atomic.Uint64 // settings files taken at SIGHUP
	turnedOff atomic.Uint64 // and turned down
}

// New makes counts. written tells how many attempts have been written whole to backends.
func New(written func() uint64, classes []balancer.Class) *Counts {
	c := &Counts{written: written}
	c.SetClasses(classes)
	return c
}

// SetClasses says which classes there are. One that is known by its number and name keeps
// its counts. Only one goroutine at a time.
func (c *Counts) SetClasses(classes []balancer.Class) {
	var old []*class
	if p := c.classes.Load(); p != nil {
		old = *p
	}
	now := make([]*class, len(classes))
	for i, s := range classes {
		l := label(s.Name)
		for _, o := range old {
			if o.label == l {
				now[i] = o
			}
		}
		if now[i] == nil {
			now[i] = &class{label: l}
		}
	}
	c.classes.Store(&now)
}

// label is a class's name with what would break a line, or a path of names, replaced.
func label(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || strings.ContainsRune(":|.@#", r) {
			return '_'
		}
		return r
	}, name)
}

// Gauges publishes what stands at the moment: backends in the list, and those of them that
// get nothing for now; and how it stands with retry storms.
func (c *Counts) Gauges(listed, avoided int, storms retrystorm.State) {
	c.listed.Store(int64(listed))
	c.avoided.Store(int64(avoided))
	c.storms.Store(int64(storms))
}

// Settings counts a settings file that was taken, or turned down.
func (c *Counts) Settings(taken bool) {
	if taken {
		c.taken.Add(1)
		return
	}
	c.turnedOff.Add(1)
}

// Append writes the figures behind b, a line each.
func (c *Counts) Append(b []byte) []byte {
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
		if s == nil || s.label == "" || c.again(i) {
			continue
		}
		line("succeeded", s.label, int64(s.succeeded.Load()), "c")
		line("declined", s.label, int64(s.declined.Load()), "c")
		line("aborted", s.label, int64(s.aborted.Load()), "c")
	}
	line("forwards", "", int64(c.written()), "c")
	line("outstanding", "", c.open.Load(), "g")
	line("discovered", "", c.listed.Load(), "g")
	line("ejected", "", c.avoided.Load(), "g")
	line("storm", "", c.storms.Load(), "g")
	line("sighup_applied", "", int64(c.taken.Load()), "c")
	line("sighup_rejected", "", int64(c.turnedOff.Load()), "c")
	return b
}

// again tells whether a class before this one has the same counts: one line is enough.
func (c *Counts) again(i int) bool {
	all := *c.classes.Load()
	for _, s := range all[:i] {
		if s == all[i] {
			return true
		}
	}
	return false
}

// OnCallAccepted implements engine.Observer.
func (c *Counts) OnCallAccepted(time.Duration, *engine.Call) { c.open.Add(1) }

// OnAnswered implements engine.Observer. What is served as a stream counts when that ends.
func (c *Counts) OnAnswered(_ time.Duration, call *engine.Call, a engine.Answer) {
	if a.Streaming {
		return
	}
	if call.Accepted() {
		c.open.Add(-1)
	}
	c.count(call.Class, a.Verdict)
}

// OnStreamEnded implements engine.Observer.
func (c *Counts) OnStreamEnded(_ time.Duration, call *engine.Call, whole bool) {
	c.open.Add(-1)
	verdict := engine.Served
	if !whole {
		verdict = engine.Failed
	}
	c.count(call.Class, verdict)
}

func (c *Counts) count(number int, verdict engine.Verdict) {
	all := *c.classes.Load()
	if number < 0 || number >= len(all) {
		return
	}
	switch verdict {
	case engine.Served:
		all[number].succeeded.Add(1)
	case engine.Rejected, engine.Overloaded:
		all[number].declined.Add(1)
	default:
		all[number].aborted.Add(1)
	}
}

// OnClientGone implements engine.Observer: nobody waits for an answer any more.
func (c *Counts) OnClientGone(time.Duration, *engine.Call) { c.open.Add(-1) }

// OnAttemptStarted implements engine.Observer.
func (c *Counts) OnAttemptStarted(time.Duration, *engine.Attempt) {}

// OnAttemptEnded implements engine.Observer.
func (c *Counts) OnAttemptEnded(time.Duration, *engine.Attempt, engine.AttemptEnd) {}

// OnMembership implements engine.Observer.
func (c *Counts) OnMembership(time.Duration, *engine.Membership) {}

// OnHealthCheck implements engine.Observer.
func (c *Counts) OnHealthCheck(time.Duration, *engine.Backend, balancer.Result, time.Duration) {}
