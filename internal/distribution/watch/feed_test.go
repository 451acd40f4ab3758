package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// follower reads a source into a store of its own, by hand.
type follower struct {
	source *Store
	store  *Store
	cursor *Cursor
}

func newFollower(source *Store, topics ...Topic) *follower {
	return &follower{source, New("follower", time.Now), NewCursor(topics)}
}

// read makes one call, and says how long it took and how many backends it told of.
func (f *follower) read(wait time.Duration) (after time.Duration, backends int) {
	began := time.Now()
	feed := f.source.HandleWatch(context.Background(), f.store.NewRequest(f.cursor), wait)
	f.store.ApplyReply(feed, f.cursor)
	return time.Since(began), len(feed.Backends)
}

func backend(id, service string) *api.Backend {
	return &api.Backend{Id: id, Service: service, Zone: "east", Slots: 4}
}

// later does something after a span, while a reader waits.
func later(span time.Duration, do func()) {
	go func() {
		timer := time.NewTimer(span)
		defer timer.Stop()
		<-timer.C
		do()
	}()
}

func TestTheFirstNewsAfterARestIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		f := newFollower(source)
		f.read(time.Second)
		later(2*newsGap, func() { source.RecordBackend(backend("a", "llm")) })
		after, told := f.read(time.Second)
		is.Equal(after, 2*newsGap)
		is.Equal(told, 1)
	})
}

func TestNewsOfBackendsIsGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		f := newFollower(source)
		f.read(time.Second)
		for i, id := range []string{"a", "b", "c"} {
			later(time.Duration(1+i)*newsGap/8, func() { source.RecordBackend(backend(id, "llm")) })
		}
		after, told := f.read(time.Second)
		is.Equal(after, newsGap)
		is.Equal(told, 3)
	})
}

func TestNewsOfTheStateDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		f := newFollower(source)
		f.read(time.Second)
		later(newsGap/8, func() { source.RecordBackend(backend("a", "llm")) })
		later(newsGap/4, func() { source.InstallSnapshot(1, 7, &api.State{}) })
		after, told := f.read(time.Second)
		is.Equal(after, newsGap/4)
		is.Equal(told, 1)
		sequence, _ := f.store.Position()
		is.Equal(sequence, uint64(1))
	})
}

func TestAReaderIsToldOfItsTopicsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		source.RecordBackend(backend("a", "llm"))
		source.RecordBackend(backend("b", "slips"))
		f := newFollower(source, ServiceTopic("slips"))
		_, told := f.read(time.Second)
		is.Equal(told, 1)
		later(newsGap, func() {
			source.RecordBackend(backend("c", "llm"))
			source.InstallSnapshot(1, 7, &api.State{})
		})
		after, told := f.read(time.Second)
		is.Equal(after, time.Second) // nothing of that is for it
		is.Equal(told, 0)
		sequence, _ := f.store.Position()
		is.Equal(sequence, uint64(0))
	})
}

// A backend that the source doesn't list goes only once the source is sure, and only
// where the reader follows its service there.
func TestWhoIsNotListedGoesOnceTheSourceIsSure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ids := func(s *Store) []string {
			var ids []string
			for _, b := range s.Backends() {
				ids = append(ids, b.Id)
			}
			return ids
		}
		first := New("first", time.Now)
		first.RecordBackend(backend("a", "llm"))
		first.RecordBackend(backend("b", "slips"))
		f := newFollower(first)
		f.read(time.Second)
		second := New("second", time.Now)
		f.source, f.cursor = second, NewCursor(Topics{ServiceTopic("slips")})
		f.read(time.Second)
		is.Equal(ids(f.store), []string{"a", "b"}) // it may not have heard of them yet
		second.SetSourceStatus(SourceStatus{Fresh: true, Established: true})
		f.read(time.Second)
		is.Equal(ids(f.store), []string{"a"})
	})
}

// Of all topics together the word is as fresh as the state's, and established where each
// part is.
func TestStandingByTopics(t *testing.T) {
	is := is.New(t)
	s := standings{parts: map[Topic]SourceStatus{}}
	is.Equal(s.of(nil), SourceStatus{})
	s.set(Topics{TopicState}, SourceStatus{Fresh: true, Established: true})
	is.Equal(s.of(nil), SourceStatus{Fresh: true, Established: true})
	s.set(Topics{ServiceTopic("llm")}, SourceStatus{})
	is.Equal(s.of(nil), SourceStatus{Fresh: true})
	is.Equal(s.of(Topics{ServiceTopic("llm")}), SourceStatus{})
	is.Equal(s.of(Topics{ServiceTopic("unknown")}), SourceStatus{})
	s.keep(Topics{TopicState})
	is.Equal(s.of(nil), SourceStatus{Fresh: true, Established: true})
}

// What is kept for readers that lag is bounded in bytes too; who lags further gets the whole state.
func TestEntriesForReadersThatLagAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	source := New("source", time.Now)
	const size, most = largestEntries / 8, 8 * mostEntryBytes / largestEntries
	add := func(sequence uint64, size int) {
		change := &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{Change: make([]byte, size)}}}
		source.AppendEntries([]*api.Entry{{Sequence: sequence, PreviousHash: sequence, Hash: sequence + 1, Operations: []*api.Operation{change}}})
	}
	for sequence := uint64(1); sequence <= 100; sequence++ {
		add(sequence, size)
		is.True(len(source.entries) <= most)
	}
	near := source.since(&api.WatchRequest{Sequence: 98, Hash: 99})
	is.Equal(len(near.Entries), 2)
	is.True(near.State == nil)
	further := source.since(&api.WatchRequest{Sequence: 88, Hash: 89})
	is.Equal(len(further.Entries), 7) // as many as fit into an answer
	far := source.since(&api.WatchRequest{Sequence: 2, Hash: 3})
	is.True(far.State != nil)
	add(101, 2*mostEntryBytes)
	is.Equal(len(source.entries), 1) // the last one is kept whatever its size
	is.True(source.since(&api.WatchRequest{Sequence: 100, Hash: 101}).State != nil)
}
