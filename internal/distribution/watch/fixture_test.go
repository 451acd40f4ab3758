package watch

import (
	"context"
	"time"

	"marlreel/internal/api"
)

// testSubscriber polls a source into its own store, one call at a time.
type testSubscriber struct {
	source *Store
	store  *Store
	cursor *Cursor
}

func newTestSubscriber(source *Store, topics ...Topic) *testSubscriber {
	return &testSubscriber{source, New("subscriber", time.Now), NewCursor(topics)}
}

// pollTimeout is the maximum wait of each poll.
const pollTimeout = time.Second

// poll makes one call and returns its duration and the number of backends in the reply.
func (f *testSubscriber) poll() (took time.Duration, backends int) {
	began := time.Now()
	reply := f.source.HandleWatch(context.Background(), f.store.NewRequest(f.cursor), pollTimeout)
	f.store.ApplyReply(reply, f.cursor)
	return time.Since(began), len(reply.Backends)
}

func backend(id, service string) *api.Backend {
	return &api.Backend{Id: id, Service: service, Zone: "east", Slots: 4}
}
