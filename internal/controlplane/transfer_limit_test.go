package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// largeReply is one that begins a transfer of the state.
func largeReply() *api.WatchReply {
	change := &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{Change: make([]byte, minTransferBytes)}}}
	return &api.WatchReply{Entries: []*api.Entry{{Operations: []*api.Operation{change}}}}
}

// Guards against subscribers that lag all at once and fill the links of control, behind which the next change waited on
// the largest site: in no span more large transfers begin than the rate allows, whatever the number of subscribers.
func TestLargeTransfersAreBounded(t *testing.T) {
	const span = 3 * time.Second
	for _, subscribers := range []int{9, 42, 295} {
		is := is.New(t)
		limit := newTransferLimit()
		admitted, waiting := 0, subscribers
		for now := time.Second; now < time.Second+span; now += 20 * time.Millisecond {
			for range waiting {
				if limit.admit(now, largeReply()) == nil {
					admitted++
					waiting--
				}
			}
			is.True(admitted <= transferBurst+int(transfersPerS*(now-time.Second).Seconds()))
		}
		is.Equal(admitted, min(subscribers, transferBurst+int(transfersPerS*(span-20*time.Millisecond).Seconds())))
	}
}

// Small changes and the rest of a snapshot pass also while large transfers are refused.
func TestSmallRepliesAreNotBounded(t *testing.T) {
	is := is.New(t)
	limit := newTransferLimit()
	now := time.Second
	for limit.admit(now, largeReply()) == nil {
	}
	is.NoErr(limit.admit(now, &api.WatchReply{}))
	is.NoErr(limit.admit(now, &api.WatchReply{Entries: []*api.Entry{{Sequence: 5}}}))
	is.NoErr(limit.admit(now, &api.WatchReply{StatePart: &api.StatePart{Offset: 1, Total: minTransferBytes}}))
	is.True(limit.admit(now, &api.WatchReply{StatePart: &api.StatePart{Total: minTransferBytes}}) != nil)
}
