package gateway

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
)

const (
	// reportSoon is how long the first of such requests waits for others.
	reportSoon = 5 * time.Millisecond
	// mostReported bounds the models and adapters of one report.
	mostReported = 4096
)

// demandKey is a model of a service, or an adapter of it.
type demandKey struct{ service, model, adapter string }

// demandBook counts what is asked of models, for those that place them.
type demandBook struct {
	mu      sync.Mutex
	counts  map[demandKey]*api.Demand
	aims    map[demandKey]time.Duration // the sum of those of all that were counted
	waiting map[demandKey]int
	wake    chan struct{}
}

func newDemandBook() *demandBook {
	return &demandBook{counts: map[demandKey]*api.Demand{}, aims: map[demandKey]time.Duration{}, waiting: map[demandKey]int{}, wake: make(chan struct{}, 1)}
}

// asked counts a request that is to be answered within an aim.
func (b *demandBook) asked(key demandKey, work, aim time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.counts[key]
	if d == nil {
		if len(b.counts) >= mostReported {
			return
		}
		d = &api.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
		b.counts[key] = d
	}
	d.Arrived++
	b.aims[key] += aim
	d.WorkMs += float64(work) / float64(time.Millisecond)
}

// waits counts a request that no backend can run now, until done is called.
func (b *demandBook) waits(key demandKey) (done func()) {
	b.mu.Lock()
	b.waiting[key]++
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.waiting[key]--; b.waiting[key] <= 0 {
			delete(b.waiting, key)
		}
	}
}

// take gives what has gathered since the last time.
func (b *demandBook) take() []*api.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, count := range b.waiting {
		d := b.counts[key]
		if d == nil {
			d = &api.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
			b.counts[key] = d
		}
		d.Waiting = uint32(count)
	}
	demands := make([]*api.Demand, 0, len(b.counts))
	for key, d := range b.counts {
		if d.Arrived > 0 {
			d.LatencyTargetMs = uint32((b.aims[key] / time.Duration(d.Arrived)).Milliseconds())
		}
		demands = append(demands, d)
	}
	b.counts, b.aims = map[demandKey]*api.Demand{}, map[demandKey]time.Duration{}
	return demands
}

// run calls report with what has gathered, time after time, until ctx ends.
func (b *demandBook) run(ctx context.Context, interval func() time.Duration, report func([]*api.Demand)) {
	for {
		timer := time.NewTimer(interval())
		select {
		case <-b.wake:
			timer.Stop()
			soon := time.NewTimer(reportSoon)
			select {
			case <-soon.C:
			case <-ctx.Done():
				soon.Stop()
				return
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		report(b.take())
	}
}
