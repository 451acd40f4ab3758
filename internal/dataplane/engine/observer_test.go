package engine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/testutil"
)

// seen writes down what it sees.
type seen struct{ words []string }

func (s *seen) note(format string, args ...any) {
	s.words = append(s.words, fmt.Sprintf(format, args...))
}

func (s *seen) Taken(_ time.Duration, c *Call)   { s.note("taken %d", c.ID) }
func (s *seen) Sent(_ time.Duration, a *Attempt) { s.note("sent %d to %s", a.Call.ID, a.Backend.Name) }

func (s *seen) Ended(_ time.Duration, a *Attempt, end End) {
	s.note("ended %d as %d", a.Call.ID, end.Result)
}

func (s *seen) Answered(_ time.Duration, c *Call, a Answer) {
	s.note("answered %d with %d", c.ID, a.Verdict)
}

func (s *seen) Streamed(_ time.Duration, c *Call, whole bool) {
	s.note("streamed %d %v", c.ID, whole)
}
func (s *seen) Left(_ time.Duration, c *Call)   { s.note("left %d", c.ID) }
func (s *seen) Listed(_ time.Duration, l *List) { s.note("listed %d", len(l.Entries)) }
func (s *seen) Probed(_ time.Duration, b *Backend, r balancer.Result, _ time.Duration) {
	s.note("probed %s as %d", b.Name, r)
}

// prober answers every probe at once.
type prober struct{ result balancer.Result }

func (p prober) Probe(_ *Backend, _ time.Time, end func(End)) { end(End{Result: p.result}) }

// An observer sees each thing once and in its order; several see the same.
func TestObserver(t *testing.T) {
	t.Parallel()
	l := stillEngine(t)
	a, b := &seen{}, &seen{}
	l.Observe(Join(nil, a, nil, b))
	l.ProbeWith(prober{balancer.OK})
	l.Do(func() {
		l.List(List{Kind: balancer.MembershipFull, Version: 2, Entries: []Entry{ready("s-1", "127.0.0.1:1")}})
	})
	first := l.ask(0, time.Minute)
	l.Do(func() { first.attempts[0].End(End{Result: balancer.Error}) })
	l.Do(func() { first.attempts[1].End(End{Result: balancer.OK}) })
	second := l.ask(1, time.Minute)
	l.Do(func() { l.Gone(&second.Call) })
	third := l.ask(1, time.Minute)
	l.Do(func() { third.attempts[0].End(End{Result: balancer.Reset}) })
	l.Do(func() { host{l.Engine}.CheckHealth(l.backends.id("s-1")) })
	want := "listed 1; taken 1; sent 1 to s-1; ended 1 as 1; sent 1 to s-1; ended 1 as 0; answered 1 with 0; " +
		"taken 2; sent 2 to s-1; left 2; ended 2 as 7; taken 3; sent 3 to s-1; ended 3 as 5; answered 3 with 3; probed s-1 as 0"
	if got := strings.Join(a.words, "; "); got != want {
		t.Errorf("seen: %s\nwant: %s", got, want)
	}
	if !slices.Equal(a.words, b.words) {
		t.Error("two observers saw different things")
	}
	if Join(nil, nil) != nil {
		t.Error("none is one")
	}
}

// quiet sees everything and does nothing.
type quiet struct{}

func (quiet) Taken(time.Duration, *Call)                                     {}
func (quiet) Sent(time.Duration, *Attempt)                                   {}
func (quiet) Ended(time.Duration, *Attempt, End)                             {}
func (quiet) Answered(time.Duration, *Call, Answer)                          {}
func (quiet) Streamed(time.Duration, *Call, bool)                            {}
func (quiet) Left(time.Duration, *Call)                                      {}
func (quiet) Listed(time.Duration, *List)                                    {}
func (quiet) Probed(time.Duration, *Backend, balancer.Result, time.Duration) {}

// To be observed costs a call no allocation.
func TestObserverAllocatesNothing(t *testing.T) {
	count := func(o Observer) float64 {
		l := stillEngine(t, ready("s-1", "127.0.0.1:1"))
		l.Observe(o)
		return testing.AllocsPerRun(500, func() {
			c := l.ask(1, time.Minute)
			l.Do(func() { c.attempts[0].End(End{Result: balancer.OK}) })
			l.carrier.begun = l.carrier.begun[:0]
		})
	}
	without, with := count(nil), count(quiet{})
	if testutil.Race { // the detector drops pooled buffers at random, one in some thousand calls
		with -= 1
	}
	if with > without {
		t.Errorf("%v allocations a call with an observer, %v without", with, without)
	}
}
