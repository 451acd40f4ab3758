package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/distribution/hintedhandoff"
	"marlreel/internal/distribution/watch"
)

const (
	// observeTimeout bounds telling control what was seen.
	observeTimeout = 500 * time.Millisecond
	// observeAgain is the pause after a round in which no control process answered.
	observeAgain = 100 * time.Millisecond
	// mostObservations bounds the backends of which control is still to be told.
	mostObservations = 4096
	// observationLife is how long that is kept: a backend's own heartbeats say the same by then.
	observationLife = 5 * time.Second
)

// observations tells control what backends hold, as the holder of their service's role has
// seen it. What can't be delivered is kept and handed over later.
type observations struct {
	agent *Agent
	began time.Time
	wake  chan struct{}

	mu     sync.Mutex
	hinted *hintedhandoff.Table[*api.Observation]
}

func newObservations(a *Agent) *observations {
	return &observations{
		agent: a, began: time.Now(), wake: make(chan struct{}, 1),
		hinted: hintedhandoff.New[*api.Observation](mostObservations, observationLife),
	}
}

// add tells this agent's own proxy at once, and control soon.
func (o *observations) add(id string, holds map[string][]string) {
	seen := watch.NewObservation(id, holds)
	o.agent.feed.RecordObservation(seen)
	o.mu.Lock()
	o.hinted.Store(time.Since(o.began), id, seen)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run delivers until ctx ends.
func (o *observations) run(ctx context.Context) {
	for {
		select {
		case <-o.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !o.deliver(ctx) {
			rest(ctx, observeAgain)
		}
	}
}

// deliver tells one control process all that waits: the first that answers. It tells whether
// nothing waits any more.
func (o *observations) deliver(ctx context.Context) bool {
	o.mu.Lock()
	due := o.hinted.Pending(time.Since(o.began))
	o.mu.Unlock()
	if len(due) == 0 {
		return true
	}
	message := &api.Observations{}
	for _, hint := range due {
		message.Observations = append(message.Observations, hint.Message)
	}
	for _, control := range o.agent.controls() {
		call, cancel := context.WithTimeout(ctx, observeTimeout)
		_, err := api.NewControlProtobufClient("http://"+control, o.agent.client).Observe(call, message)
		cancel()
		if err == nil {
			o.mu.Lock()
			o.hinted.Remove(due)
			o.mu.Unlock()
			return true // control passes it on; what came meanwhile has woken this loop again
		}
	}
	return false
}
