package controlplane

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// Small messages pass large ones, and both are bounded.
func TestSmallMessagesPassLargeOnes(t *testing.T) {
	is := is.New(t)
	box := newSendQueue()
	for number := range uint64(2 * maxQueuedSmall) {
		box.enqueue(&api.ChainMessage{ViewNumber: number})
		box.enqueue(largeMessage(maxFragmentBytes, byte(number)))
	}
	is.Equal(len(box.small), maxQueuedSmall)
	is.Equal(len(box.large), maxQueuedLarge)
	is.Equal(box.dequeueSmall()[0].ViewNumber, uint64(maxQueuedSmall)) // the oldest have gone
	is.True(box.dequeueLarge() != nil)
	for range 40 {
		box.enqueue(largeMessage(maxFragmentBytes/2, 1))
	}
	size := 0
	for _, message := range box.dequeueSmall() {
		size += proto.Size(message)
	}
	is.True(size > 0 && size <= maxCallBytes)
}
