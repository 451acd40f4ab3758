package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

// The entries that are kept for lagging subscribers are bounded in bytes too. A subscriber that lags further gets the
// snapshot.
func TestLogIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	source := New("source", time.Now)
	const size, maxEntries = maxReplyEntryBytes / 8, 8 * maxLogBytes / maxReplyEntryBytes
	add := func(sequence uint64, size int) {
		change := &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{Change: make([]byte, size)}}}
		source.AppendEntries([]*api.Entry{{Sequence: sequence, PreviousHash: sequence, Hash: sequence + 1, Operations: []*api.Operation{change}}})
	}
	for sequence := uint64(1); sequence <= 100; sequence++ {
		add(sequence, size)
		is.True(len(source.log.entries) <= maxEntries)
	}
	near := source.replyTo(&api.WatchRequest{Sequence: 98, Hash: 99})
	is.Equal(len(near.Entries), 2)
	is.True(near.State == nil)
	further := source.replyTo(&api.WatchRequest{Sequence: 88, Hash: 89})
	is.Equal(len(further.Entries), 7) // as many as fit into one reply
	far := source.replyTo(&api.WatchRequest{Sequence: 2, Hash: 3})
	is.True(far.State != nil)
	add(101, 2*maxLogBytes)
	is.Equal(len(source.log.entries), 1) // the last one is kept whatever its size
	is.True(source.replyTo(&api.WatchRequest{Sequence: 100, Hash: 101}).State != nil)
}

// AppendApplied leads to the same state as applying the entries, and ignores entries that do not directly follow.
func TestAppliedEntriesLeadToTheSameState(t *testing.T) {
	is := is.New(t)
	entry := func(sequence uint64) *api.Entry {
		operation := &api.Operation{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: fmt.Sprint("zone-", sequence), Active: true}}}
		return &api.Entry{Sequence: sequence, PreviousHash: sequence, Hash: sequence + 1, Operations: []*api.Operation{operation}}
	}
	zones := func(s *Store) (zones []string) {
		s.ReadState(func(m *state.Machine) { zones = m.EvacuatedZones() })
		return zones
	}
	first := &api.Entry{Sequence: 1, Hash: 2}
	applied, elsewhere := New("applied", time.Now), state.New()
	applied.AppendEntries([]*api.Entry{first})
	entries := []*api.Entry{entry(2), entry(3)}
	for _, e := range entries {
		elsewhere.Apply(e)
	}
	applied.AppendApplied(entries, elsewhere.Clone())
	is.Equal(zones(applied), []string{"zone-2", "zone-3"})
	sequence, hash := applied.Position()
	is.True(sequence == 3 && hash == 4)
	later := entry(5)
	elsewhere.Apply(later)
	applied.AppendApplied([]*api.Entry{later}, elsewhere.Clone()) // entry 4 is missing
	is.Equal(zones(applied), []string{"zone-2", "zone-3"})
}
