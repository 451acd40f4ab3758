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
	// observeTimeout limits a call to control. Raising it lets an unresponsive control process delay observations;
	// lowering it makes calls fail while control is slow.
	observeTimeout = 500 * time.Millisecond
	// observeBackoff is the pause after all control processes failed to reply.
	observeBackoff = 100 * time.Millisecond
	// maxPendingObservations limits the backends with a pending observation. Beyond it, the oldest are dropped.
	maxPendingObservations = 4096
	// observationTTL is how long observations stay pending: by then, a backend's own heartbeats contain the same
	// information. Raising it sends outdated observations after a partition; lowering it loses some that are still new.
	observationTTL = 5 * time.Second
)

// observationSender sends the reconcilers' observations of backends to control. Observations that can't be delivered stay
// pending and are delivered later (hinted handoff).
type observationSender struct {
	store    *watch.Store
	controls func() []string
	client   *transport.Client
	began    time.Time
	wake     chan struct{} // has an element while there are new observations

	mu    sync.Mutex
	hints *hintedhandoff.Table[*api.Observation] // by backend
}

func newObservationSender(store *watch.Store, controls func() []string, client *transport.Client) *observationSender {
	return &observationSender{
		store: store, controls: controls, client: client, began: time.Now(), wake: make(chan struct{}, 1),
		hints: hintedhandoff.New[*api.Observation](maxPendingObservations, observationTTL),
	}
}

// add records what a backend has loaded, adapters by model: immediately in the store that this agent's own proxy watches,
// and soon after at control.
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

// run delivers observations until ctx ends.
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

// deliver sends all pending observations to the first control process that replies. It reports whether they were
// delivered; an observation that is added meanwhile wakes run again.
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
