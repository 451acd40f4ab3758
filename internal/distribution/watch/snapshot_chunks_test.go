package watch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

// largeRemarkBytes exceeds the size of one reply, both of the state and of entries.
const largeRemarkBytes = maxReplyEntryBytes + maxReplyStateBytes

// largeDocument returns a configuration that is too large for one reply.
func largeDocument(version uint64) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"remark":"%s","route_list":[],"service_list":[],"limits":{}}`, version,
		strings.Repeat("x", largeRemarkBytes))
}

// appendConfiguration adds an entry at the source that replaces the configuration by a large one.
func (f *testSubscriber) appendConfiguration(sequence, version uint64) {
	f.source.AppendEntries([]*api.Entry{{Sequence: sequence, PreviousHash: sequence, Hash: sequence + 1, Operations: []*api.Operation{{
		Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: version - 1, Document: largeDocument(version)}},
	}}}})
}

// version returns the version of a store's configuration.
func version(s *Store) uint64 {
	var version uint64
	s.ReadState(func(m *state.Machine) { version = m.Version() })
	return version
}

// pollChunk polls without waiting and returns the size of the chunk in the reply.
func (f *testSubscriber) pollChunk() int {
	reply := f.source.replyTo(f.store.NewRequest(f.cursor))
	f.store.ApplyReply(reply, f.cursor)
	return len(reply.StatePart.GetData())
}

// pollUntil polls until the subscriber has the wanted version. It calls check before each poll.
func (f *testSubscriber) pollUntil(t *testing.T, wanted uint64, maxPolls int, check func()) {
	t.Helper()
	for polls := 0; version(f.store) < wanted; polls++ {
		if polls >= maxPolls {
			t.Fatalf("the subscriber does not have version %d after %d polls", wanted, polls)
		}
		check()
		f.pollChunk()
	}
}

func noCheck() {}

func establishedSource(name string) *Store {
	source := New(name, time.Now)
	source.SetSourceStatus(SourceStatus{Fresh: true, Established: true})
	return source
}

func newLargeSubscriber() *testSubscriber { return newTestSubscriber(establishedSource("source")) }

// A snapshot that is too large for one reply arrives in chunks, and the store is not fresh before it is complete.
func TestLargeSnapshotComesInChunks(t *testing.T) {
	is := is.New(t)
	f := newLargeSubscriber()
	f.appendConfiguration(1, 1)
	polls := 0
	for ; version(f.store) == 0; polls++ {
		is.True(polls < 20)
		is.True(!f.store.Fresh(nil))
		is.True(f.pollChunk() <= maxReplyStateBytes)
	}
	is.Equal(polls, largeRemarkBytes/maxReplyStateBytes+1)
	is.True(f.store.Fresh(nil))
	sequence, hash := f.store.Position()
	is.True(sequence == 1 && hash == 2)
	is.True(!f.cursor.ReceivingSnapshot())
}

// Changes during the transfer of a large snapshot neither break nor prolong it, even if they are too large for one reply.
func TestLargeSnapshotArrivesWhileTheStateChanges(t *testing.T) {
	is := is.New(t)
	f := newLargeSubscriber()
	f.appendConfiguration(1, 1)
	for next := uint64(2); next < 8; next++ {
		f.pollChunk()
		f.appendConfiguration(next, next)
	}
	f.pollUntil(t, 7, 60, noCheck)
	is.True(f.store.Fresh(nil))
}

// A fresh store stays fresh while a large change arrives in chunks. A stale store, as after a partition, does not become
// fresh before the change is complete.
func TestFreshnessWhileALargeChangeArrives(t *testing.T) {
	for name, fresh := range map[string]bool{"fresh before": true, "stale before": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLargeSubscriber()
			f.appendConfiguration(1, 1)
			f.pollUntil(t, 1, 20, noCheck)
			if !fresh {
				f.store.MarkStale(nil)
			}
			f.appendConfiguration(2, 2)
			f.pollUntil(t, 2, 20, func() { is.Equal(f.store.Fresh(nil), fresh) })
			is.True(f.store.Fresh(nil))
		})
	}
}

// Chunks of two sources are never combined into one snapshot.
func TestChunksOfAnotherSourceStartOver(t *testing.T) {
	is := is.New(t)
	f := newLargeSubscriber()
	f.appendConfiguration(1, 1)
	f.pollChunk()
	f.pollChunk()
	f.source = establishedSource("another")
	f.appendConfiguration(1, 1)
	f.pollUntil(t, 1, 20, noCheck)
	is.Equal(len(f.store.machine.Document().Raw()), len(largeDocument(1)))
}

// A chunk from another source is not appended, even if its offset fits.
func TestChunkOfAnotherSourceIsNotAppended(t *testing.T) {
	is := is.New(t)
	f := newLargeSubscriber()
	f.appendConfiguration(1, 1)
	f.pollChunk()
	is.True(f.cursor.ReceivingSnapshot())
	next := f.source.replyTo(f.store.NewRequest(f.cursor))
	is.Equal(next.StatePart.Offset, uint64(maxReplyStateBytes))
	next.Source = "another"
	f.store.ApplyReply(next, f.cursor)
	is.True(!f.cursor.ReceivingSnapshot())
	f.pollUntil(t, 1, 20, noCheck)
}

// Guards against a store that never becomes fresh again, and against endless fetches: the state that is being received in
// chunks arrives in another way first, as an agent's fetch and its watch can overtake each other.
func TestChunksOfAKnownStateAreDropped(t *testing.T) {
	for name, arrive := range map[string]func(f *testSubscriber){
		"as a snapshot": func(f *testSubscriber) { f.store.InstallSnapshot(1, 2, f.source.machine.State()) },
		"as a newer snapshot": func(f *testSubscriber) {
			f.appendConfiguration(2, 2)
			f.store.InstallSnapshot(2, 3, f.source.machine.State())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLargeSubscriber()
			f.appendConfiguration(1, 1)
			f.pollChunk()
			is.True(f.cursor.ReceivingSnapshot())
			arrive(f)
			f.pollChunk()
			is.True(!f.cursor.ReceivingSnapshot())
			is.True(f.store.Fresh(nil))
		})
	}
}
