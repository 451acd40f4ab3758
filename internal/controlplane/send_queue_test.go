package controlplane

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// Small messages don't wait behind large ones, and both queues are bounded.
func TestSmallMessagesPassLargeOnes(t *testing.T) {
	is := is.New(t)
	queue := newSendQueue()
	for number := range uint64(2 * maxQueuedSmall) {
		queue.enqueue(&api.ChainMessage{ViewNumber: number})
		queue.enqueue(largeMessage(maxFragmentBytes, byte(number)))
	}
	is.Equal(len(queue.small), maxQueuedSmall)
	is.Equal(len(queue.large), maxQueuedLarge)
	is.Equal(queue.dequeueSmall()[0].ViewNumber, uint64(maxQueuedSmall)) // the oldest were dropped
	is.True(queue.dequeueLarge() != nil)
	for range 40 {
		queue.enqueue(largeMessage(maxFragmentBytes/2, 1))
	}
	size := 0
	for _, message := range queue.dequeueSmall() {
		size += proto.Size(message)
	}
	is.True(size > 0 && size <= maxCallBytes)
}
