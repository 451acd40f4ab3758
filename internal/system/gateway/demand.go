package gateway

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/system/api"
)

const (
	// reportEvery is how often demand is reported.
	reportEvery = 600 * time.Millisecond
	// reportWaiting is the same while requests wait for a model that no backend holds.
	reportWaiting = 400 * time.Millisecond
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
	waiting map[demandKey]int
	wake    chan struct{}
}

func newDemandBook() *demandBook {
	return &demandBook{counts: map[demandKey]*api.Demand{}, waiting: map[demandKey]int{}, wake: make(chan struct{}, 1)}
}

// asked counts a request.
func (b *demandBook) asked(key demandKey, work time.Duration) {
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
	for _, d := range b.counts {
		demands = append(demands, d)
	}
	b.counts = map[demandKey]*api.Demand{}
	return demands
}

func (b *demandBook) anyWaits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) > 0
}

// run reports until ctx ends.
func (b *demandBook) run(ctx context.Context, report func([]*api.Demand)) {
	for {
		span := reportEvery
		if b.anyWaits() {
			span = reportWaiting
		}
		timer := time.NewTimer(span)
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
		if demands := b.take(); len(demands) > 0 {
			report(demands)
		}
	}
}
