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

// largeRemark is more than what goes in one answer, be it of the state or of entries.
const largeRemark = largestEntries + largestAnswer

// largeDocument is a configuration of a version that takes several answers.
func largeDocument(version uint64) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"remark":"%s","route_list":[],"service_list":[],"limits":{}}`, version,
		strings.Repeat("x", largeRemark))
}

// set has a source hold a large configuration, by one more entry.
func (f *follower) set(sequence, version uint64) {
	f.source.AppendEntries([]*api.Entry{{Sequence: sequence, PreviousHash: sequence, Hash: sequence + 1, Operations: []*api.Operation{{
		Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: version - 1, Document: largeDocument(version)}},
	}}}})
}

// version is that of the configuration that a store holds.
func version(s *Store) (version uint64) {
	s.ReadState(func(m *state.Machine) { version = m.Version() })
	return version
}

// step asks once, and gives the answer's size.
func (f *follower) step() int {
	answer := f.source.since(f.store.NewRequest(f.cursor))
	f.store.ApplyReply(answer, f.cursor)
	return len(answer.StatePart.GetData())
}

func newLargeFollower() *follower {
	source := New("source", time.Now)
	source.SetSourceStatus(SourceStatus{Fresh: true, Established: true})
	return newFollower(source)
}

// A state that is too large for one answer comes in parts, and nothing counts as fresh before it is whole.
func TestALargeStateComesInParts(t *testing.T) {
	is := is.New(t)
	f := newLargeFollower()
	f.set(1, 1)
	answers := 0
	for ; version(f.store) == 0; answers++ {
		is.True(answers < 20)
		is.True(!f.store.Fresh(nil))
		is.True(f.step() <= largestAnswer)
	}
	is.Equal(answers, largeRemark/largestAnswer+1)
	is.True(f.store.Fresh(nil))
	sequence, hash := f.store.Position()
	is.True(sequence == 1 && hash == 2)
	is.True(!f.cursor.ReceivingSnapshot())
}

// Changes that come meanwhile neither spoil nor prolong it, also where one of them is too large for an answer.
func TestALargeStateComesWhileItChanges(t *testing.T) {
	is := is.New(t)
	f := newLargeFollower()
	f.set(1, 1)
	for next := uint64(2); next < 8; next++ {
		f.step()
		f.set(next, next)
	}
	for answers := 0; version(f.store) < 7; answers++ {
		is.True(answers < 60)
		f.step()
	}
	is.True(f.store.Fresh(nil))
}

// Who is fresh stays so while a large change comes in parts; who was not, as after a cut, is not before it is whole.
func TestFreshnessWhileALargeStateComes(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		is := is.New(t)
		f := newLargeFollower()
		f.set(1, 1)
		for version(f.store) == 0 {
			f.step()
		}
		if !fresh {
			f.store.MarkStale(nil)
		}
		f.set(2, 2)
		for answers := 0; version(f.store) < 2; answers++ {
			is.True(answers < 20)
			is.Equal(f.store.Fresh(nil), fresh)
			f.step()
		}
		is.True(f.store.Fresh(nil))
	}
}

// Parts of two sources never make one state.
func TestPartsOfAnotherSourceBeginAnew(t *testing.T) {
	is := is.New(t)
	f := newLargeFollower()
	f.set(1, 1)
	f.step()
	f.step()
	f.source = New("another", time.Now)
	f.source.SetSourceStatus(SourceStatus{Fresh: true, Established: true})
	f.set(1, 1)
	for answers := 0; version(f.store) == 0; answers++ {
		is.True(answers < 20)
		f.step()
	}
	is.Equal(len(f.store.machine.Document().Raw()), len(largeDocument(1)))
}

// A part that would fit, and comes from another source, is not put behind those that are here.
func TestAPartOfAnotherSourceIsNotPutBehind(t *testing.T) {
	is := is.New(t)
	f := newLargeFollower()
	f.set(1, 1)
	f.step()
	is.True(f.cursor.ReceivingSnapshot())
	fitting := f.source.since(f.store.NewRequest(f.cursor))
	is.Equal(fitting.StatePart.Offset, uint64(largestAnswer))
	fitting.Source = "another"
	f.store.ApplyReply(fitting, f.cursor)
	is.True(!f.cursor.ReceivingSnapshot())
	for answers := 0; version(f.store) == 0; answers++ {
		is.True(answers < 20)
		f.step()
	}
}
