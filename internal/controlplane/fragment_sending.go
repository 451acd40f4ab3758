package controlplane

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// maxFragmentBytes is the size of a fragment of a large message. Sending one over a 10 Mbit/s link takes 26 ms, and
	// delays small messages to the same peer by that; lowering it costs more calls for a snapshot.
	maxFragmentBytes = 32 << 10
	// fragmentTimeout is how long a fragment is retried before its message is given up. Raising it delays the large
	// messages queued behind it.
	fragmentTimeout = 3 * time.Second
	// fragmentRetryInterval is the pause between two attempts.
	fragmentRetryInterval = 50 * time.Millisecond
)

// fragmentedMessage is a message that is sent in fragments.
type fragmentedMessage struct {
	incarnation  uint64 // of the sender
	id           uint64
	data         []byte
	sent         int       // bytes that the receiver has acknowledged
	failingSince time.Time // zero if the last attempt succeeded
}

// split prepares a message to be sent in fragments. It returns nil for a nil message.
func (p *PeerSender) split(message *api.ChainMessage) *fragmentedMessage {
	if message == nil {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil // a message of plain fields always marshals
	}
	return &fragmentedMessage{incarnation: p.incarnation, id: rand.Uint64(), data: data}
}

// next returns the next fragment to send.
func (m *fragmentedMessage) next() *api.Fragment {
	end := min(len(m.data), m.sent+maxFragmentBytes)
	return &api.Fragment{
		SenderIncarnation: m.incarnation, Message: m.id, Offset: uint64(m.sent), Total: uint64(len(m.data)),
		Data: m.data[m.sent:end],
	}
}

// isFailing reports whether the last attempt to send a fragment failed.
func (m *fragmentedMessage) isFailing() bool { return !m.failingSince.IsZero() }

// onSent handles the result of sending a fragment. It returns true if the message is done: all of it was acknowledged,
// or it is given up, and the chain will send it again.
func (m *fragmentedMessage) onSent(err error) bool {
	if err == nil {
		m.sent += len(m.next().Data)
		m.failingSince = time.Time{}
		return m.sent == len(m.data)
	}
	if isRejection(err) {
		return true // the receiver was restarted
	}
	if !m.isFailing() {
		m.failingSince = time.Now()
	}
	return time.Since(m.failingSince) > fragmentTimeout
}

// isRejection reports whether the receiver has rejected a fragment, so that sending it again is pointless.
func isRejection(err error) bool {
	var reply twirp.Error
	if !errors.As(err, &reply) {
		return false
	}
	return reply.Code() == twirp.FailedPrecondition || reply.Code() == twirp.InvalidArgument
}
