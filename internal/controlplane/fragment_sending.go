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
	// maxFragmentBytes is the size of a fragment of a large message. On 10 Mbit/s it takes 26 ms, for which the small
	// messages to the same peer wait; lowering it costs more calls for a snapshot.
	maxFragmentBytes = 32 << 10
	// fragmentTimeout is how long a fragment that does not arrive is sent again. Raising it holds up the large messages
	// behind it.
	fragmentTimeout = 3 * time.Second
	// fragmentRetryInterval is between two attempts.
	fragmentRetryInterval = 50 * time.Millisecond
)

// fragmentedMessage is a message that is sent in fragments.
type fragmentedMessage struct {
	incarnation  uint64 // of the sender
	id           uint64
	data         []byte
	sent         int       // bytes that have arrived
	failingSince time.Time // zero: the last fragment has arrived
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
	return &fragmentedMessage{incarnation: p.incarnation, id: rand.Uint64(), data: data}
}

// next returns the fragment to be sent.
func (m *fragmentedMessage) next() *api.Fragment {
	end := min(len(m.data), m.sent+maxFragmentBytes)
	return &api.Fragment{
		SenderIncarnation: m.incarnation, Message: m.id, Offset: uint64(m.sent), Total: uint64(len(m.data)),
		Data: m.data[m.sent:end],
	}
}

// isFailing reports whether the last fragment has not arrived.
func (m *fragmentedMessage) isFailing() bool { return !m.failingSince.IsZero() }

// onSent handles how sending the fragment went. It returns true where the message is over: all of it has arrived, or it
// is given up and the chain sends it anew.
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

// isRejection reports whether the receiver has rejected a fragment, which it does again however often it is sent.
func isRejection(err error) bool {
	var reply twirp.Error
	if !errors.As(err, &reply) {
		return false
	}
	return reply.Code() == twirp.FailedPrecondition || reply.Code() == twirp.InvalidArgument
}
