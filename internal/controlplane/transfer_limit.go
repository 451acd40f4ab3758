package controlplane

import (
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/quota/tokenbucket"
)

const (
	// minTransferBytes is the least size, before it is compressed, of what counts as a large transfer.
	minTransferBytes = 64 << 10
	// transfersPerS and transferBurst bound the large transfers that a control process begins. Raising them lets
	// subscribers that lag fill its link, behind which the chain's messages wait; lowering them keeps more of them waiting
	// after a restart of all.
	transfersPerS = 64
	transferBurst = 16
)

// transferLimit bounds how many large transfers of the replicated state begin, by a token bucket. Any goroutine may use it.
type transferLimit struct {
	mu     sync.Mutex
	bucket *tokenbucket.Bucket
}

func newTransferLimit() *transferLimit {
	parameters := tokenbucket.Parameters{RatePerS: transfersPerS, Capacity: transferBurst, Exposure: transferBurst}
	return &transferLimit{bucket: tokenbucket.NewBucket(parameters, 0)}
}

// admit returns an error where a reply begins a large transfer and too many have begun: the subscriber comes again, or
// asks another process.
func (l *transferLimit) admit(now time.Duration, reply *api.WatchReply) error {
	if !beginsLargeTransfer(reply) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bucket.Take(now, 1) {
		return twirp.NewError(twirp.ResourceExhausted, "too many others receive the state")
	}
	l.bucket.Lapse(1) // the rate alone bounds it: when the last byte has left is not known
	return nil
}

// beginsLargeTransfer reports whether a reply carries much of the state. A chunk that continues a snapshot is none: its
// beginning was admitted.
func beginsLargeTransfer(reply *api.WatchReply) bool {
	if reply.StatePart != nil {
		return reply.StatePart.Offset == 0
	}
	size := 0
	for _, entry := range reply.Entries {
		size += proto.Size(entry)
	}
	return size >= minTransferBytes
}
