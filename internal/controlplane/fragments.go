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
	// fragmentSize is the size of a part of a large message. On 10 Mbit/s it takes 26 ms, for which
	// the small messages to the same peer wait.
	fragmentSize = 32 << 10
	// fragmentPatience is how long a part is sent again that does not arrive.
	fragmentPatience = 3 * time.Second
	// fragmentPause is between two tries.
	fragmentPause = 50 * time.Millisecond
	// largestFragmented bounds a message that comes in parts.
	largestFragmented = 32 << 20
	// mostSenders bounds the processes from which parts are kept.
	mostSenders = 4
)

// outgoing is a message that goes in parts.
type outgoing struct {
	life, message uint64
	data          []byte
	sent          int       // bytes that have arrived
	failing       time.Time // since when a part has not arrived; zero: the last one has
}

// divide prepares a message; nil for none.
func (p *Peers) divide(message *api.ChainMessage) *outgoing {
	if message == nil {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil // a message of plain fields always marshals
	}
	return &outgoing{life: p.life, message: rand.Uint64(), data: data}
}

// next is the part to be sent.
func (o *outgoing) next() *api.Fragment {
	end := min(len(o.data), o.sent+fragmentSize)
	return &api.Fragment{SenderIncarnation: o.life, Message: o.message, Offset: uint64(o.sent), Total: uint64(len(o.data)), Data: o.data[o.sent:end]}
}

// done takes in how sending the part went. It tells whether the message is over: all of it has
// arrived, or it is given up and the chain sends it anew.
func (o *outgoing) done(err error) bool {
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
	return time.Since(o.failing) > fragmentPatience
}

// incoming puts messages together that come in parts: one at a time from each sender.
type incoming struct {
	mu      sync.Mutex
	partial map[uint64]*partial // by sender
}

// partial is the beginning of a message.
type partial struct {
	message uint64
	total   uint64
	data    []byte
	at      time.Time
}

func newIncoming() *incoming { return &incoming{partial: map[uint64]*partial{}} }

// take takes a part in, and gives the message where that was its last one.
func (i *incoming) take(f *api.Fragment) (*api.ChainMessage, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Total > largestFragmented || f.Offset+uint64(len(f.Data)) > f.Total || len(f.Data) == 0 {
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
func (i *incoming) begin(f *api.Fragment) {
	if p := i.partial[f.SenderIncarnation]; p != nil && p.message == f.Message {
		return // its first part came twice
	}
	if len(i.partial) >= mostSenders {
		i.forgetOldest()
	}
	i.partial[f.SenderIncarnation] = &partial{message: f.Message, total: f.Total, at: time.Now()}
}

// forgetOldest drops what was added to the longest ago. Called with the lock.
func (i *incoming) forgetOldest() {
	var oldest uint64
	for sender, p := range i.partial {
		if o := i.partial[oldest]; o == nil || p.at.Before(o.at) {
			oldest = sender
		}
	}
	delete(i.partial, oldest)
}
