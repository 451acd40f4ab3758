package controlplane

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// maxQueuedSmall bounds the small messages that are queued for one peer; beyond it the oldest are dropped.
	maxQueuedSmall = 256
	// maxQueuedLarge is the same for large messages, each of which may be a whole snapshot.
	maxQueuedLarge = 4
	// maxCallBytes bounds the messages of one call. Raising it needs a faster link to finish within deliverTimeout.
	maxCallBytes = 128 << 10
)

// sendQueue holds the messages that wait to be sent to one peer. The chain sends dropped messages again.
type sendQueue struct {
	wake chan struct{} // has a token after a message was added

	mu    sync.Mutex
	small []*api.ChainMessage
	large []*api.ChainMessage
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// wait returns when a message was added, or ctx ends.
func (q *sendQueue) wait(ctx context.Context) {
	select {
	case <-q.wake:
	case <-ctx.Done():
	}
}

// enqueue adds a message at the end of the queue for its size.
func (q *sendQueue) enqueue(message *api.ChainMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if proto.Size(message) > maxFragmentBytes {
		q.large = appendBounded(q.large, message, maxQueuedLarge)
		return
	}
	q.small = appendBounded(q.small, message, maxQueuedSmall)
}

// appendBounded appends a message, and drops the oldest if there are more than maxLength.
func appendBounded(messages []*api.ChainMessage, message *api.ChainMessage, maxLength int) []*api.ChainMessage {
	messages = append(messages, message)
	return messages[max(0, len(messages)-maxLength):]
}

// dequeueSmall removes and returns the oldest small messages, as many as fit in one call.
func (q *sendQueue) dequeueSmall() []*api.ChainMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, count := 0, 0
	for _, message := range q.small {
		size += proto.Size(message)
		if count > 0 && size > maxCallBytes {
			break
		}
		count++
	}
	messages := q.small[:count:count]
	q.small = q.small[count:]
	return messages
}

// dequeueLarge removes and returns the oldest large message, or nil if there is none.
func (q *sendQueue) dequeueLarge() *api.ChainMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.large) == 0 {
		return nil
	}
	message := q.large[0]
	q.large = q.large[1:]
	return message
}
