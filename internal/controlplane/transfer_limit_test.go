package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// largeReply is a reply that starts a large transfer.
func largeReply() *api.WatchReply {
	change := &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{Change: make([]byte, minTransferBytes)}}}
	return &api.WatchReply{Entries: []*api.Entry{{Operations: []*api.Operation{change}}}}
}

// Guards against many lagging subscribers at once that fill the links of the control processes: on the largest site, the
// next change of the configuration was delayed behind their transfers. In any span of time, no more large transfers start
// than the rate allows, whatever the number of subscribers.
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

// Small changes and the later chunks of a snapshot are admitted even while large transfers are rejected.
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
