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
	// minTransferBytes is the smallest uncompressed size that counts as a large transfer.
	minTransferBytes = 64 << 10
	// transfersPerS and transferBurst bound the large transfers that a control process starts. Raising them lets
	// lagging subscribers fill its link, which delays the chain's messages; lowering them makes subscribers wait longer
	// after a restart of the whole system.
	transfersPerS = 64
	transferBurst = 16
)

// transferLimit bounds by a token bucket how many large transfers of the replicated state start. It is safe for
// concurrent use.
type transferLimit struct {
	mu     sync.Mutex
	bucket *tokenbucket.Bucket
}

func newTransferLimit() *transferLimit {
	parameters := tokenbucket.Parameters{RatePerS: transfersPerS, Capacity: transferBurst, Exposure: transferBurst}
	return &transferLimit{bucket: tokenbucket.NewBucket(parameters, 0)}
}

// admit returns an error if a reply starts a large transfer and the limit is reached. The subscriber then retries, here
// or at another process.
func (l *transferLimit) admit(now time.Duration, reply *api.WatchReply) error {
	if !beginsLargeTransfer(reply) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bucket.Take(now, 1) {
		return twirp.NewError(twirp.ResourceExhausted, "too many others receive the state")
	}
	l.bucket.Lapse(1) // only the rate is limited, as the end of a transfer is not known here
	return nil
}

// beginsLargeTransfer reports whether a reply starts a large transfer. A later chunk of a snapshot does not count: the
// first one was admitted.
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
