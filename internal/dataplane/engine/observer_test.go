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

// recordingObserver writes down what it sees.
type recordingObserver struct{ events []string }

func (s *recordingObserver) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

func (s *recordingObserver) OnCallAccepted(_ time.Duration, c *Call) { s.note("taken %d", c.ID) }
func (s *recordingObserver) OnAttemptStarted(_ time.Duration, a *Attempt) {
	s.note("sent %d to %s", a.Call.ID, a.Backend.Name)
}

func (s *recordingObserver) OnAttemptEnded(_ time.Duration, a *Attempt, end AttemptEnd) {
	s.note("ended %d as %d", a.Call.ID, end.Result)
}

func (s *recordingObserver) OnAnswered(_ time.Duration, c *Call, a Answer) {
	s.note("answered %d with %d", c.ID, a.Verdict)
}

func (s *recordingObserver) OnStreamEnded(_ time.Duration, c *Call, whole bool) {
	s.note("streamed %d %v", c.ID, whole)
}
func (s *recordingObserver) OnClientGone(_ time.Duration, c *Call) { s.note("left %d", c.ID) }
func (s *recordingObserver) OnMembership(_ time.Duration, l *Membership) {
	s.note("listed %d", len(l.Entries))
}

func (s *recordingObserver) OnHealthCheck(_ time.Duration, b *Backend, r balancer.Result, _ time.Duration) {
	s.note("probed %s as %d", b.Name, r)
}

// healthChecker answers every probe at once.
type healthChecker struct{ result balancer.Result }

func (p healthChecker) CheckHealth(_ *Backend, _ time.Time, end func(AttemptEnd)) {
	end(AttemptEnd{Result: p.result})
}

// An observer sees each thing once and in its order; several see the same.
func TestObserver(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t)
	a, b := &recordingObserver{}, &recordingObserver{}
	l.SetObserver(Join(nil, a, nil, b))
	l.SetHealthChecker(healthChecker{balancer.OK})
	l.Dispatch(func() {
		l.ApplyMembership(Membership{Kind: balancer.MembershipFull, Version: 2, Entries: []Entry{ready("s-1", "127.0.0.1:1")}})
	})
	first := l.submit(0, time.Minute)
	l.Dispatch(func() { first.attempts[0].End(AttemptEnd{Result: balancer.Error}) })
	l.Dispatch(func() { first.attempts[1].End(AttemptEnd{Result: balancer.OK}) })
	second := l.submit(1, time.Minute)
	l.Dispatch(func() { l.HandleClientGone(&second.Call) })
	third := l.submit(1, time.Minute)
	l.Dispatch(func() { third.attempts[0].End(AttemptEnd{Result: balancer.Reset}) })
	l.Dispatch(func() { host{l.Engine}.CheckHealth(l.backends.id("s-1")) })
	want := "listed 1; taken 1; sent 1 to s-1; ended 1 as 1; sent 1 to s-1; ended 1 as 0; answered 1 with 0; " +
		"taken 2; sent 2 to s-1; left 2; ended 2 as 7; taken 3; sent 3 to s-1; ended 3 as 5; answered 3 with 3; probed s-1 as 0"
	if got := strings.Join(a.events, "; "); got != want {
		t.Errorf("seen: %s\nwant: %s", got, want)
	}
	if !slices.Equal(a.events, b.events) {
		t.Error("two observers saw different things")
	}
	if Join(nil, nil) != nil {
		t.Error("none is one")
	}
}

// noopObserver sees everything and does nothing.
type noopObserver struct{}

func (noopObserver) OnCallAccepted(time.Duration, *Call)                                   {}
func (noopObserver) OnAttemptStarted(time.Duration, *Attempt)                              {}
func (noopObserver) OnAttemptEnded(time.Duration, *Attempt, AttemptEnd)                    {}
func (noopObserver) OnAnswered(time.Duration, *Call, Answer)                               {}
func (noopObserver) OnStreamEnded(time.Duration, *Call, bool)                              {}
func (noopObserver) OnClientGone(time.Duration, *Call)                                     {}
func (noopObserver) OnMembership(time.Duration, *Membership)                               {}
func (noopObserver) OnHealthCheck(time.Duration, *Backend, balancer.Result, time.Duration) {}

// To be observed costs a call no allocation.
func TestObserverAllocatesNothing(t *testing.T) {
	count := func(o Observer) float64 {
		l := newManualEngine(t, ready("s-1", "127.0.0.1:1"))
		l.SetObserver(o)
		return testing.AllocsPerRun(500, func() {
			c := l.submit(1, time.Minute)
			l.Dispatch(func() { c.attempts[0].End(AttemptEnd{Result: balancer.OK}) })
			l.carrier.started = l.carrier.started[:0]
		})
	}
	without, with := count(nil), count(noopObserver{})
	if testutil.Race { // the detector drops pooled buffers at random, one in some thousand calls
		with -= 1
	}
	if with > without {
		t.Errorf("%v allocations a call with an observer, %v without", with, without)
	}
}
