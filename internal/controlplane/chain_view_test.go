package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
)

func TestChainView(t *testing.T) {
	for name, c := range map[string]struct {
		status    ChainStatus
		isHead    bool
		addresses []string
	}{
		"nothing is known": {ChainStatus{}, false, []string{"seed"}},
		"connected":        {ChainStatus{Connected: true, Head: "c0", Members: []string{"c0", "c1"}, View: 3}, true, []string{"c0", "c1"}},
		"not connected":    {ChainStatus{Head: "c0", Members: []string{"c0", "c1"}, View: 3}, false, []string{"c0", "c1"}},
		"another head":     {ChainStatus{Connected: true, Head: "c1", Members: []string{"c1", "c0"}, View: 3}, false, []string{"c1", "c0"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := &chainView{seeds: func() []string { return []string{"seed"} }}
			view.onChainStatus(c.status)
			number, isHead := view.headOf("c0")
			is.Equal(number, c.status.View)
			is.Equal(isHead, c.isHead)
			is.Equal(view.addresses(), c.addresses)
		})
	}
}

// A process's state is established once the process has been connected without interruption for long enough.
func TestFreshness(t *testing.T) {
	const established = 4 * time.Second
	freshness := freshnessTracker{establishedAfter: established}
	at := func(after time.Duration) time.Time { return tableTestStart.Add(after) }
	connected, cutOff := ChainStatus{Connected: true}, ChainStatus{}
	for _, step := range []struct {
		name   string
		status ChainStatus
		now    time.Time
		want   watch.SourceStatus
	}{
		{"not connected yet", cutOff, at(0), watch.SourceStatus{}},
		{"connected", connected, at(time.Second), watch.SourceStatus{Fresh: true}},
		{"not for long enough", connected, at(time.Second + established), watch.SourceStatus{Fresh: true}},
		{"for long enough", connected, at(time.Second + established + 1), watch.SourceStatus{Fresh: true, Established: true}},
		{"cut off", cutOff, at(time.Minute), watch.SourceStatus{}},
		{"connected anew", connected, at(time.Minute + 1), watch.SourceStatus{Fresh: true}},
	} {
		t.Run(step.name, func(t *testing.T) { is.New(t).Equal(freshness.onChainStatus(step.status, step.now), step.want) })
	}
}

// A deadline converted to a peer's clock is never later than on the sender's own clock.
func TestDeadlineOnAPeersClock(t *testing.T) {
	is := is.New(t)
	var clocks peerClocks
	is.True(clocks.instantAt("c1", tableTestStart) == nil)
	clocks.onClockReading("c1", nil, tableTestStart)
	is.True(clocks.instantAt("c1", tableTestStart) == nil)
	clocks.onClockReading("c1", &api.Instant{Incarnation: 7, MonotonicNs: 1000}, tableTestStart)
	is.Equal(clocks.instantAt("c1", tableTestStart.Add(50)).MonotonicNs, uint64(1050))
	is.Equal(clocks.instantAt("c1", tableTestStart.Add(50)).Incarnation, uint64(7))
	is.Equal(clocks.instantAt("c1", tableTestStart.Add(-50)).MonotonicNs, uint64(1000)) // never below the reading
	for i := range maxPeerClocks {
		clocks.onClockReading(string(rune('a'+i)), &api.Instant{}, tableTestStart)
	}
	is.True(len(clocks.readings) <= maxPeerClocks)
}

// A deadline is valid for one incarnation of a process only.
func TestDeadlineOfAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	clock, other := newProcessClock(), newProcessClock()
	reading := clock.reading()
	deadline, ok := clock.deadline(reading)
	is.True(ok)
	is.True(deadline > 0 && deadline <= clock.now())
	_, ok = other.deadline(reading)
	is.True(!ok)
	_, ok = clock.deadline(nil)
	is.True(!ok)
}
