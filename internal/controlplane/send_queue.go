package controlplane

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// maxQueuedSmall bounds the small messages that wait for one peer; beyond it the oldest are dropped.
	maxQueuedSmall = 256
	// maxQueuedLarge is the same for large ones, each of which may be a whole snapshot.
	maxQueuedLarge = 4
	// maxCallBytes bounds the messages of one call. Raising it needs a faster link within deliverTimeout.
	maxCallBytes = 128 << 10
)

// sendQueue is the messages that wait for one peer. What is dropped is sent again by the chain.
type sendQueue struct {
	wake chan struct{} // has a token where a message was added

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

// enqueue adds a message behind those that wait.
func (q *sendQueue) enqueue(message *api.ChainMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if proto.Size(message) > maxFragmentBytes {
		q.large = appendBounded(q.large, message, maxQueuedLarge)
		return
	}
	q.small = appendBounded(q.small, message, maxQueuedSmall)
}

// appendBounded appends a message, and drops the oldest where there are more than maxLength.
func appendBounded(messages []*api.ChainMessage, message *api.ChainMessage, maxLength int) []*api.ChainMessage {
	messages = append(messages, message)
	return messages[max(0, len(messages)-maxLength):]
}

// dequeueSmall removes the small messages that go in one call, and returns them.
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

// dequeueLarge removes a large message and returns it; nil: there is none.
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
