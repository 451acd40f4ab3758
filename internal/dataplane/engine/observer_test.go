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

// recordingObserver records the events that it is notified of.
type recordingObserver struct{ events []string }

func (s *recordingObserver) record(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

func (s *recordingObserver) OnCallAccepted(_ time.Duration, c *Call) { s.record("accepted %d", c.ID) }

func (s *recordingObserver) OnAttemptStarted(_ time.Duration, a *Attempt) {
	s.record("sent %d to %s", a.Call.ID, a.Backend.Name)
}

func (s *recordingObserver) OnAttemptEnded(_ time.Duration, a *Attempt, end AttemptEnd) {
	s.record("ended %d as %d", a.Call.ID, end.Result)
}

func (s *recordingObserver) OnAnswered(_ time.Duration, c *Call, a Answer) {
	s.record("answered %d with %d", c.ID, a.Verdict)
}

func (s *recordingObserver) OnStreamEnded(_ time.Duration, c *Call, complete bool) {
	s.record("streamed %d %v", c.ID, complete)
}

func (s *recordingObserver) OnClientGone(_ time.Duration, c *Call) {
	s.record("client of %d gone", c.ID)
}

func (s *recordingObserver) OnMembership(_ time.Duration, m *Membership) {
	s.record("members %d", len(m.Entries))
}

func (s *recordingObserver) OnHealthCheck(_ time.Duration, b *Backend, r balancer.Result, _ time.Duration) {
	s.record("checked %s as %d", b.Name, r)
}

// healthChecker ends every health check at once, with the same result.
type healthChecker struct{ result balancer.Result }

func (h healthChecker) CheckHealth(_ *Backend, _ time.Time, end func(AttemptEnd)) {
	end(AttemptEnd{Result: h.result})
}

// An observer is notified of each event once and in order; several observers get the same events.
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
	want := "members 1; accepted 1; sent 1 to s-1; ended 1 as 1; sent 1 to s-1; ended 1 as 0; answered 1 with 0; " +
		"accepted 2; sent 2 to s-1; client of 2 gone; ended 2 as 7; accepted 3; sent 3 to s-1; ended 3 as 5; " +
		"answered 3 with 3; checked s-1 as 0"
	if got := strings.Join(a.events, "; "); got != want {
		t.Errorf("events: %s\nwant:   %s", got, want)
	}
	if !slices.Equal(a.events, b.events) {
		t.Error("two observers got different events")
	}
	if Join(nil, nil) != nil {
		t.Error("Join of nil observers is not nil")
	}
}

// noopObserver ignores all events.
type noopObserver struct{}

func (noopObserver) OnCallAccepted(time.Duration, *Call)                                   {}
func (noopObserver) OnAttemptStarted(time.Duration, *Attempt)                              {}
func (noopObserver) OnAttemptEnded(time.Duration, *Attempt, AttemptEnd)                    {}
func (noopObserver) OnAnswered(time.Duration, *Call, Answer)                               {}
func (noopObserver) OnStreamEnded(time.Duration, *Call, bool)                              {}
func (noopObserver) OnClientGone(time.Duration, *Call)                                     {}
func (noopObserver) OnMembership(time.Duration, *Membership)                               {}
func (noopObserver) OnHealthCheck(time.Duration, *Backend, balancer.Result, time.Duration) {}

// An observer adds no allocations to a call.
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
	if testutil.Race { // the race detector randomly drops pooled buffers, about one in some thousand calls
		with -= 1
	}
	if with > without {
		t.Errorf("%v allocations per call with an observer, %v without", with, without)
	}
}
