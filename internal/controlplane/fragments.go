package controlplane

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// maxFragmentBytes is the size of a part of a large message. On 10 Mbit/s it takes 26 ms, for which
	// the small messages to the same peer wait.
	maxFragmentBytes = 32 << 10
	// fragmentTimeout is how long a part is sent again that does not arrive.
	fragmentTimeout = 3 * time.Second
	// fragmentRetryInterval is between two tries.
	fragmentRetryInterval = 50 * time.Millisecond
	// maxFragmentedBytes bounds a message that comes in parts.
	maxFragmentedBytes = 32 << 20
	// maxSenders bounds the processes from which parts are kept.
	maxSenders = 4
)

// fragmentedMessage is a message that goes in parts.
type fragmentedMessage struct {
	life, message uint64
	data          []byte
	sent          int       // bytes that have arrived
	failing       time.Time // since when a part has not arrived; zero: the last one has
}

// split prepares a message; nil for none.
func (p *PeerSender) split(message *api.ChainMessage) *fragmentedMessage {
	if message == nil {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil // a message of plain fields always marshals
	}
	return &fragmentedMessage{life: p.incarnation, message: rand.Uint64(), data: data}
}

// next is the part to be sent.
func (o *fragmentedMessage) next() *api.Fragment {
	end := min(len(o.data), o.sent+maxFragmentBytes)
	return &api.Fragment{SenderIncarnation: o.life, Message: o.message, Offset: uint64(o.sent), Total: uint64(len(o.data)), Data: o.data[o.sent:end]}
}

// onSent takes in how sending the part went. It tells whether the message is over: all of it has
// arrived, or it is given up and the chain sends it anew.
func (o *fragmentedMessage) onSent(err error) bool {
	var refused twirp.Error
	switch {
	case err == nil:
		o.sent += len(o.next().Data)
		o.failing = time.Time{}
		return o.sent == len(o.data)
	case errors.As(err, &refused) && (refused.Code() == twirp.FailedPrecondition || refused.Code() == twirp.InvalidArgument):
		return true // the receiver was restarted
	case o.failing.IsZero():
		o.failing = time.Now()
	}
	return time.Since(o.failing) > fragmentTimeout
}

// reassembler puts messages together that come in parts: one at a time from each sender.
type reassembler struct {
	mu      sync.Mutex
	partial map[uint64]*partialMessage // by sender
}

// partialMessage is the beginning of a message.
type partialMessage struct {
	message uint64
	total   uint64
	data    []byte
	at      time.Time
}

func newReassembler() *reassembler { return &reassembler{partial: map[uint64]*partialMessage{}} }

// OnFragment takes a part in, and gives the message where that was its last one.
func (i *reassembler) OnFragment(f *api.Fragment) (*api.ChainMessage, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Total > maxFragmentedBytes || f.Offset+uint64(len(f.Data)) > f.Total || len(f.Data) == 0 {
		return nil, twirp.InvalidArgumentError("fragment", "is not a part of a message that is taken")
	}
	if f.Offset == 0 {
		i.begin(f)
	}
	p := i.partial[f.SenderIncarnation]
	if p == nil || p.message != f.Message || p.total != f.Total || f.Offset > uint64(len(p.data)) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the beginning of that message is not here")
	}
	if f.Offset < uint64(len(p.data)) {
		return nil, nil // it came before, and the answer was lost
	}
	p.data, p.at = append(p.data, f.Data...), time.Now()
	if uint64(len(p.data)) < p.total {
		return nil, nil
	}
	message := new(api.ChainMessage)
	if err := proto.Unmarshal(p.data, message); err != nil {
		delete(i.partial, f.SenderIncarnation)
		return nil, twirp.InvalidArgumentError("fragment", "its message can't be read")
	}
	delete(i.partial, f.SenderIncarnation)
	return message, nil
}

// begin makes room for a message, in place of the one before by the same sender. Called with the lock.
func (i *reassembler) begin(f *api.Fragment) {
	if p := i.partial[f.SenderIncarnation]; p != nil && p.message == f.Message {
		return // its first part came twice
	}
	if len(i.partial) >= maxSenders {
		i.forgetOldest()
	}
	i.partial[f.SenderIncarnation] = &partialMessage{message: f.Message, total: f.Total, at: time.Now()}
}

// forgetOldest drops what was added to the longest ago. Called with the lock.
func (i *reassembler) forgetOldest() {
	var oldest uint64
	for sender, p := range i.partial {
		if o := i.partial[oldest]; o == nil || p.at.Before(o.at) {
			oldest = sender
		}
	}
	delete(i.partial, oldest)
}
