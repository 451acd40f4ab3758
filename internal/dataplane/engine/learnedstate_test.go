package engine

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/process/learnedstate"
)

// engineWithLearnedState returns an engine whose balancer has learned something about each of n backends.
func engineWithLearnedState(t testing.TB, n int) *manualEngine {
	t.Helper()
	var entries []Entry
	for i := range n {
		e := ready(fmt.Sprint("s-", i), fmt.Sprint("127.0.0.1:", 1000+i))
		e.Started = time.Now().Add(-time.Second) // a start time is learned from the membership
		entries = append(entries, e)
	}
	return newManualEngine(t, entries...)
}

// collect collects the learned state and counts the events that this takes.
func (l *manualEngine) collect(t *testing.T) (s *learnedstate.State, events int) {
	t.Helper()
	l.Dispatch(func() { l.CollectLearnedState(func(got *learnedstate.State) { s = got }) })
	for events = 1; s == nil; events++ {
		if len(l.timers) == 0 {
			t.Fatal("the collection stopped without a result: no timer is set")
		}
		l.Dispatch(heap.Pop(&l.timers).(*Timer).event)
	}
	return s, events
}

// Collecting the learned state handles only a few backends per event, however many there are.
func TestLearnedStateIsCollectedInBatches(t *testing.T) {
	t.Parallel()
	const n = 200
	s, events := engineWithLearnedState(t, n).collect(t)
	if len(s.Backends) != n || events < n/learnedStateBatch {
		t.Errorf("%d backends collected in %d events", len(s.Backends), events)
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}

// Learned state is restored only for a member with the same name and the same address: not for one that shares only one
// of them, and not for a backend that has left.
func TestRestoreMatchesTheMembership(t *testing.T) {
	t.Parallel()
	from := engineWithLearnedState(t, 4)
	s, _ := from.collect(t)
	to := newManualEngine(t, ready("s-0", "127.0.0.1:1000"), ready("s-1", "127.0.0.1:9999"), ready("other", "127.0.0.1:1002"))
	to.Dispatch(func() {
		if n := to.RestoreLearnedState(s); n != 1 {
			t.Errorf("state of %d backends restored, want 1", n)
		}
	})
	again, _ := to.collect(t)
	if len(again.Backends) != 1 || again.Backends[0].Name != "s-0" {
		t.Errorf("backends with learned state after the restore: %+v, want only s-0", again.Backends)
	}
	if again.Backends[0].SinceStart < time.Second {
		t.Errorf("time since the start of the backend is %v after the restore, want at least 1s", again.Backends[0].SinceStart)
	}
}

// A class that is added, and a backend that leaves, during the collection don't invalidate the collected state.
func TestSettingsChangeDuringCollection(t *testing.T) {
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
		t.Errorf("%d backends collected, want 99; check: %v", len(s.Backends), err)
	}
}

// BenchmarkCollectLearnedState measures the collection of one batch.
func BenchmarkCollectLearnedState(b *testing.B) {
	l := engineWithLearnedState(b, learnedStateBatch)
	b.ReportAllocs()
	for b.Loop() {
		l.CollectLearnedState(func(*learnedstate.State) {})
	}
}
