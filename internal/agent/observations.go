package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/distribution/hintedhandoff"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/timing"
	"marlreel/internal/process/transport"
)

const (
	// observeTimeout bounds a call to control. Raising it lets a control process that hangs delay observations, lowering
	// it fails calls while control is slow.
	observeTimeout = 500 * time.Millisecond
	// observeBackoff is the pause after no control process answered.
	observeBackoff = 100 * time.Millisecond
	// maxPendingObservations bounds the backends of which observations wait; beyond it the oldest are dropped.
	maxPendingObservations = 4096
	// observationTTL is how long observations wait: by then a backend's own heartbeats have said the same. Raising it
	// sends outdated ones after a partition, lowering it loses some that are news.
	observationTTL = 5 * time.Second
)

// observationSender tells control what the reconcilers have observed of backends. What can't be delivered waits, and is
// delivered later: hinted handoff.
type observationSender struct {
	store    *watch.Store
	controls func() []string
	client   *transport.Client
	began    time.Time
	wake     chan struct{} // holds one element while there is something new

	mu    sync.Mutex
	hints *hintedhandoff.Table[*api.Observation] // by backend
}

func newObservationSender(store *watch.Store, controls func() []string, client *transport.Client) *observationSender {
	return &observationSender{
		store: store, controls: controls, client: client, began: time.Now(), wake: make(chan struct{}, 1),
		hints: hintedhandoff.New[*api.Observation](maxPendingObservations, observationTTL),
	}
}

// add records what a backend has loaded, adapters by model: in the store that this agent's own proxy watches at once, at
// control soon.
func (s *observationSender) add(id string, loaded map[string][]string) {
	observation := watch.NewObservation(id, loaded)
	s.store.RecordObservation(observation)
	s.mu.Lock()
	s.hints.Store(time.Since(s.began), id, observation)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run delivers until ctx ends.
func (s *observationSender) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !s.deliver(ctx) {
			timing.Sleep(ctx, observeBackoff)
		}
	}
}

// deliver sends everything that waits to one control process, the first that answers. It reports whether what it took
// up is delivered; what came meanwhile has woken run again.
func (s *observationSender) deliver(ctx context.Context) bool {
	pending := s.pending()
	if len(pending) == 0 {
		return true
	}
	message := &api.Observations{}
	for _, hint := range pending {
		message.Observations = append(message.Observations, hint.Message)
	}
	for _, control := range s.controls() {
		if s.send(ctx, control, message) == nil {
			s.remove(pending)
			return true
		}
	}
	return false
}

func (s *observationSender) send(ctx context.Context, control string, message *api.Observations) error {
	call, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	_, err := api.NewControlProtobufClient("http://"+control, s.client).Observe(call, message)
	return err
}

func (s *observationSender) pending() []hintedhandoff.Hint[*api.Observation] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints.Pending(time.Since(s.began))
}

func (s *observationSender) remove(delivered []hintedhandoff.Hint[*api.Observation]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hints.Remove(delivered)
}
