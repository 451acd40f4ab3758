package engine

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/process/learnedstate"
)

// engineWithLearnedState is an engine in whose module something is known of each of n backends.
func engineWithLearnedState(t testing.TB, n int) *manualEngine {
	t.Helper()
	var entries []Entry
	for i := range n {
		e := ready(fmt.Sprint("s-", i), fmt.Sprint("127.0.0.1:", 1000+i))
		e.Started = time.Now().Add(-time.Second) // a start, known from the list
		entries = append(entries, e)
	}
	return newManualEngine(t, entries...)
}

// collect has what was learnt written down, and counts the events that it takes.
func (l *manualEngine) collect(t *testing.T) (s *learnedstate.State, events int) {
	t.Helper()
	l.Dispatch(func() { l.CollectLearnedState(func(got *learnedstate.State) { s = got }) })
	for events = 1; s == nil; events++ {
		if len(l.timers) == 0 {
			t.Fatal("it never ends")
		}
		l.Dispatch(heap.Pop(&l.timers).(*Timer).event)
	}
	return s, events
}

// What is written down holds the engine for a few backends at a time, however many there are.
func TestLearntIsWrittenDownInParts(t *testing.T) {
	t.Parallel()
	const n = 200
	s, events := engineWithLearnedState(t, n).collect(t)
	if len(s.Backends) != n || events < n/learnedStateBatch {
		t.Errorf("%d backends in %d events", len(s.Backends), events)
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}

// What was learnt is of the backend of a name at an address: not of who is there now under one
// of them alone, and not of one that has left.
func TestRestoreMeetsTheList(t *testing.T) {
	t.Parallel()
	from := engineWithLearnedState(t, 4)
	s, _ := from.collect(t)
	to := newManualEngine(t, ready("s-0", "127.0.0.1:1000"), ready("s-1", "127.0.0.1:9999"), ready("other", "127.0.0.1:1002"))
	to.Dispatch(func() {
		if n := to.RestoreLearnedState(s); n != 1 {
			t.Errorf("%d backends are taken for those that were there", n)
		}
	})
	again, _ := to.collect(t)
	if len(again.Backends) != 1 || again.Backends[0].Name != "s-0" {
		t.Errorf("known are %+v", again.Backends)
	}
	if again.Backends[0].SinceStart < time.Second {
		t.Errorf("its start is %v ago", again.Backends[0].SinceStart)
	}
}

// A class that comes while it is written down spoils nothing.
func TestSettingsChangeWhileItIsWrittenDown(t *testing.T) {
	t.Parallel()
	l := engineWithLearnedState(t, 100)
	var s *learnedstate.State
	l.Dispatch(func() { l.CollectLearnedState(func(got *learnedstate.State) { s = got }) })
	next := *l.Settings()
	next.Classes = append(append([]balancer.Class(nil), next.Classes...), balancer.Class{Name: "new", LatencyTarget: time.Second, ClientTimeout: time.Second, Value: 1})
	l.Dispatch(func() {
		if err := l.Reconfigure(next); err != nil {
			t.Fatal(err)
		}
		l.ApplyMembership(Membership{Kind: balancer.MembershipDelta, Entries: []Entry{{Name: "s-99", State: balancer.Gone}}})
	})
	for s == nil {
		l.Dispatch(heap.Pop(&l.timers).(*Timer).event)
	}
	if err := s.Check(); err != nil || len(s.Backends) != 99 {
		t.Errorf("%d backends, %v", len(s.Backends), err)
	}
}

// BenchmarkLearnt writes one part down.
func BenchmarkLearnt(b *testing.B) {
	l := engineWithLearnedState(b, learnedStateBatch)
	b.ReportAllocs()
	for b.Loop() {
		l.CollectLearnedState(func(*learnedstate.State) {})
	}
}
