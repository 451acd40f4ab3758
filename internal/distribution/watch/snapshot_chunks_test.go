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

// largeRemarkBytes is more than goes in one reply, be it of the state or of entries.
const largeRemarkBytes = maxReplyEntryBytes + maxReplyStateBytes

// largeDocument is a configuration of a version that takes several replies.
func largeDocument(version uint64) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"remark":"%s","route_list":[],"service_list":[],"limits":{}}`, version,
		strings.Repeat("x", largeRemarkBytes))
}

// appendConfiguration adds one more entry at the source, which replaces the configuration by a large one.
func (f *testSubscriber) appendConfiguration(sequence, version uint64) {
	f.source.AppendEntries([]*api.Entry{{Sequence: sequence, PreviousHash: sequence, Hash: sequence + 1, Operations: []*api.Operation{{
		Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: version - 1, Document: largeDocument(version)}},
	}}}})
}

// version is that of the configuration that a store has.
func version(s *Store) uint64 {
	var version uint64
	s.ReadState(func(m *state.Machine) { version = m.Version() })
	return version
}

// pollChunk polls without waiting, and returns the bytes of the chunk that came.
func (f *testSubscriber) pollChunk() int {
	reply := f.source.replyTo(f.store.NewRequest(f.cursor))
	f.store.ApplyReply(reply, f.cursor)
	return len(reply.StatePart.GetData())
}

// pollUntil polls until the subscriber has a version; check is called before each poll.
func (f *testSubscriber) pollUntil(t *testing.T, wanted uint64, maxPolls int, check func()) {
	t.Helper()
	for polls := 0; version(f.store) < wanted; polls++ {
		if polls >= maxPolls {
			t.Fatalf("version %d has not arrived after %d polls", wanted, polls)
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

// A snapshot that is too large for one reply comes in chunks, and nothing counts as fresh before it is complete.
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

// Changes that come meanwhile neither spoil nor prolong it, also where one of them is too large for a reply.
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

// A fresh store stays fresh while a large change comes in chunks; one that is not, as after a partition, does not become
// so before the change is complete.
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

// Chunks of two sources never make one snapshot.
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

// A chunk that would fit by its position, but comes from another source, is not appended to those that are here.
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

// Guards against a store that is never fresh again, and against fetches that go on without an end: the state that comes in
// chunks arrives by another way, as an agent's fetch and its watch overtake each other.
func TestChunksOfAKnownStateAreDropped(t *testing.T) {
	for name, arrive := range map[string]func(f *testSubscriber){
		"as a snapshot": func(f *testSubscriber) { f.store.InstallSnapshot(1, 2, f.source.machine.State()) },
		"and more of it": func(f *testSubscriber) {
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
