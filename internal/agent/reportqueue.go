package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/process/timing"
)

const (
	// forwardInterval is the least time between two calls to the same agent: reports that come in between go together.
	// Raising it delays loads for new demand, lowering it costs the holder calls.
	forwardInterval = 100 * time.Millisecond
	// maxPendingReports bounds the reports that wait for one agent; beyond it the oldest are dropped.
	maxPendingReports = 1024
)

// reportQueue forwards reports of demand, the first to an agent at once, and later ones in batches. It owns a goroutine
// for each agent for which reports wait.
type reportQueue struct {
	forward func(ctx context.Context, address string, reports []*api.DemandReport)
	ctx     context.Context // of the calls; ends at stop
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	pending map[string][]*api.DemandReport // by address; each key, also of an empty batch, has a sender
}

func newReportQueue(forward func(ctx context.Context, address string, reports []*api.DemandReport)) *reportQueue {
	ctx, cancel := context.WithCancel(context.Background())
	return &reportQueue{forward: forward, ctx: ctx, cancel: cancel, pending: map[string][]*api.DemandReport{}}
}

// stop ends the calls in flight and returns once all senders have ended. Reports that are added later are dropped.
func (q *reportQueue) stop() {
	q.cancel()
	q.mu.Lock()
	q.stopped = true
	q.mu.Unlock()
	q.senders.Wait()
}

// add has a report forwarded: at once, or with others when the interval is over.
func (q *reportQueue) add(address string, report *api.DemandReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return
	}
	batch, hasSender := q.pending[address]
	if len(batch) >= maxPendingReports {
		batch = batch[1:]
	}
	q.pending[address] = append(batch, report)
	if !hasSender {
		q.senders.Go(func() { q.send(address) })
	}
}

// next returns what waits for an agent. If nothing does, its sender has to end.
func (q *reportQueue) next(address string) []*api.DemandReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.pending[address]
	if len(batch) == 0 {
		delete(q.pending, address)
		return nil
	}
	q.pending[address] = nil
	return batch
}

// send forwards what waits for an agent, until nothing does or the queue is stopped.
func (q *reportQueue) send(address string) {
	for q.ctx.Err() == nil {
		batch := q.next(address)
		if batch == nil {
			return
		}
		q.forward(q.ctx, address, batch)
		timing.Sleep(q.ctx, forwardInterval)
	}
}
