package controlplane

import (
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// maxFragmentedBytes bounds the size of a message that is sent in fragments.
	maxFragmentedBytes = 32 << 20
	// maxSenders bounds the number of senders with a partial message. Beyond it, the partial message that has been
	// idle the longest is dropped.
	maxSenders = 4
)

// reassembler reassembles messages from fragments, one message at a time for each sender.
type reassembler struct {
	mu      sync.Mutex
	partial map[uint64]*partialMessage // by the sender's incarnation
}

// partialMessage is the part of a message that has been received so far.
type partialMessage struct {
	id             uint64
	totalBytes     uint64
	data           []byte
	lastFragmentAt time.Time
}

func newReassembler() *reassembler { return &reassembler{partial: map[uint64]*partialMessage{}} }

// onFragment handles a fragment. It returns the message if this fragment completes it, and nil otherwise. Its errors
// are twirp errors: InvalidArgument for a malformed fragment or message, and FailedPrecondition if an earlier fragment
// of the message is missing here.
func (r *reassembler) onFragment(f *api.Fragment) (*api.ChainMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isWellFormed(f) {
		return nil, twirp.InvalidArgumentError("fragment", "is not a part of a message that is taken")
	}
	if f.Offset == 0 {
		r.begin(f)
	}
	p := r.partial[f.SenderIncarnation]
	if p == nil || p.id != f.Message || p.totalBytes != f.Total || f.Offset > uint64(len(p.data)) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the beginning of that message is not here")
	}
	if f.Offset < uint64(len(p.data)) {
		return nil, nil // a retransmission: it was received before, but the reply was lost
	}
	p.data, p.lastFragmentAt = append(p.data, f.Data...), time.Now()
	if uint64(len(p.data)) < p.totalBytes {
		return nil, nil
	}
	delete(r.partial, f.SenderIncarnation)
	message := new(api.ChainMessage)
	if err := proto.Unmarshal(p.data, message); err != nil {
		return nil, twirp.InvalidArgumentError("fragment", "its message can't be read")
	}
	return message, nil
}

// isWellFormed reports whether a fragment is not empty, lies within its message, and that message is not too large.
func isWellFormed(f *api.Fragment) bool {
	end := f.Offset + uint64(len(f.Data))
	return len(f.Data) > 0 && end <= f.Total && f.Total <= maxFragmentedBytes
}

// begin starts a new partial message, which replaces the sender's previous one. The caller holds the lock.
func (r *reassembler) begin(f *api.Fragment) {
	p := r.partial[f.SenderIncarnation]
	if p != nil && p.id == f.Message {
		return // the first fragment was retransmitted
	}
	if len(r.partial) >= maxSenders {
		r.dropOldest()
	}
	r.partial[f.SenderIncarnation] = &partialMessage{id: f.Message, totalBytes: f.Total, lastFragmentAt: time.Now()}
}

// dropOldest drops the partial message whose last fragment is the oldest. The caller holds the lock.
func (r *reassembler) dropOldest() {
	var oldest *partialMessage
	oldestSender := uint64(0)
	for sender, p := range r.partial {
		if oldest == nil || p.lastFragmentAt.Before(oldest.lastFragmentAt) {
			oldest, oldestSender = p, sender
		}
	}
	delete(r.partial, oldestSender)
}
