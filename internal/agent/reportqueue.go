package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/process/timing"
)

const (
	// forwardInterval is the least time between two calls to the same agent: reports that come in between are batched.
	// Raising it delays loads for new demand; lowering it costs the holder more calls.
	forwardInterval = 100 * time.Millisecond
	// maxPendingReports limits the queued reports for one agent. Beyond it, the oldest are dropped.
	maxPendingReports = 1024
)

// reportQueue forwards demand reports. The first report for an agent is sent at once, later ones in batches. The queue
// runs one goroutine for each agent that has queued reports.
type reportQueue struct {
	forward func(ctx context.Context, address string, reports []*api.DemandReport)
	ctx     context.Context // of the calls; canceled by stop
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	pending map[string][]*api.DemandReport // by address; each key has a sender, even if its batch is empty
}

func newReportQueue(forward func(ctx context.Context, address string, reports []*api.DemandReport)) *reportQueue {
	ctx, cancel := context.WithCancel(context.Background())
	return &reportQueue{forward: forward, ctx: ctx, cancel: cancel, pending: map[string][]*api.DemandReport{}}
}

// stop cancels the calls in flight and waits for all senders to end. Reports that are added later are dropped.
func (q *reportQueue) stop() {
	q.cancel()
	q.mu.Lock()
	q.stopped = true
	q.mu.Unlock()
	q.senders.Wait()
}

// add queues a report, which is sent at once or, within forwardInterval of the last call, in the next batch.
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

// next takes the queued reports for an agent. It returns nil if there are none; the sender must then end.
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

// send forwards the reports for an agent until none are queued or the queue is stopped.
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
