package controlplane

import (
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// maxFragmentedBytes bounds a message that comes in fragments.
	maxFragmentedBytes = 32 << 20
	// maxSenders bounds the processes of which fragments are kept; the one that was silent longest goes.
	maxSenders = 4
)

// reassembler puts messages together that come in fragments: one at a time of each sender.
type reassembler struct {
	mu      sync.Mutex
	partial map[uint64]*partialMessage // by the sender's incarnation
}

// partialMessage is the beginning of a message.
type partialMessage struct {
	id             uint64
	totalBytes     uint64
	data           []byte
	lastFragmentAt time.Time
}

func newReassembler() *reassembler { return &reassembler{partial: map[uint64]*partialMessage{}} }

// onFragment handles a fragment. It returns the message where that was its last one, and nil otherwise. Its errors are
// of twirp: InvalidArgument for what is no fragment of a message, and FailedPrecondition where the message's beginning
// is not known here.
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
		return nil, nil // it came before, and the answer was lost
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

// isWellFormed reports whether a fragment is one of a message that is not too large.
func isWellFormed(f *api.Fragment) bool {
	end := f.Offset + uint64(len(f.Data))
	return len(f.Data) > 0 && end <= f.Total && f.Total <= maxFragmentedBytes
}

// begin makes room for a message, in place of the one before by the same sender. Called with the lock.
func (r *reassembler) begin(f *api.Fragment) {
	p := r.partial[f.SenderIncarnation]
	if p != nil && p.id == f.Message {
		return // its first fragment came twice
	}
	if len(r.partial) >= maxSenders {
		r.dropOldest()
	}
	r.partial[f.SenderIncarnation] = &partialMessage{id: f.Message, totalBytes: f.Total, lastFragmentAt: time.Now()}
}

// dropOldest drops the message whose last fragment came the longest ago. Called with the lock.
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
