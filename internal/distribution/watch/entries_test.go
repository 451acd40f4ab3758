package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// The entries that are kept for subscribers that lag are bounded in bytes too; who lags further gets the snapshot.
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
	is.Equal(len(further.Entries), 7) // as many as fit into a reply
	far := source.replyTo(&api.WatchRequest{Sequence: 2, Hash: 3})
	is.True(far.State != nil)
	add(101, 2*maxLogBytes)
	is.Equal(len(source.log.entries), 1) // the last one is kept whatever its size
	is.True(source.replyTo(&api.WatchRequest{Sequence: 100, Hash: 101}).State != nil)
}
