package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/distribution/catchup"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/timing"
	"marlreel/internal/process/transport"
)

const (
	// nodeRenewInterval is how often a node reports to control. Raising it delays the detection of failed nodes and of a
	// lagging state; lowering it costs each control process more calls from all nodes.
	nodeRenewInterval = 600 * time.Millisecond
	// nodeRenewTimeout limits one report. Raising it lets an unresponsive control process delay the node's reports.
	nodeRenewTimeout = 400 * time.Millisecond
	// nodeRenewBackoff is the pause after a report or a call for the state that failed.
	nodeRenewBackoff = 20 * time.Millisecond
	// fetchTimeout limits one call for the state, and maxFetchTime all calls for a state that comes in chunks.
	fetchTimeout = 500 * time.Millisecond
	maxFetchTime = 2 * time.Second
)

// membership keeps this node listed at control. The replies show whether the replicated state from the watch lags. If it
// does, membership fetches the state from control, so that changes take effect here in time even if the relay does not
// respond.
type membership struct {
	node     *api.Node
	controls func() []string
	store    *watch.Store
	client   *transport.Client
	log      logr.Logger

	catchingUp atomic.Bool // at most one catch-up runs at a time
	running    sync.WaitGroup
}

// run reports to control until ctx ends. Once active has ended, it reports the node as draining.
func (m *membership) run(ctx, active context.Context) {
	defer m.running.Wait()
	ticker := time.NewTicker(nodeRenewInterval)
	defer ticker.Stop()
	draining := active.Done()
	next := 0 // index of the control process to try, modulo their number
	for {
		controls := m.controls()
		if len(controls) > 0 && !m.renew(ctx, controls[next%len(controls)], active.Err() != nil) {
			next++
			timing.Sleep(ctx, nodeRenewBackoff)
			if next%len(controls) != 0 && ctx.Err() == nil {
				continue // try the next control process at once
			}
		}
		select {
		case <-ticker.C:
		case <-draining:
			draining = nil
		case <-ctx.Done():
			return
		}
	}
}

// renew sends a report to one control process, and returns whether that replied.
func (m *membership) renew(ctx context.Context, control string, draining bool) bool {
	node := &api.Node{Name: m.node.Name, Address: m.node.Address, Zone: m.node.Zone, Incarnation: m.node.Incarnation, Draining: draining}
	call, cancel := context.WithTimeout(ctx, nodeRenewTimeout)
	defer cancel()
	reply, err := api.NewControlProtobufClient("http://"+control, m.client).Renew(call, &api.RenewRequest{Node: node})
	if err != nil {
		return false
	}
	if m.lags(reply.Sequence) && m.catchingUp.CompareAndSwap(false, true) {
		m.running.Go(func() {
			defer m.catchingUp.Store(false)
			m.catchUp(ctx, control, reply.Sequence)
		})
	}
	return true
}

// catchUp waits for the watch to bring the state up to a sequence number, and fetches the state from control if that
// takes too long.
func (m *membership) catchUp(ctx context.Context, control string, sequence uint64) {
	began := time.Now()
	delay := catchup.Delay(m.node.Name, sequence, m.store.NodeCount())
	for ctx.Err() == nil {
		changed := m.store.Changed()
		if !m.lags(sequence) {
			return
		}
		remaining := catchup.Remaining(time.Since(began), delay, time.Since(m.store.LastChunk()))
		if remaining <= 0 {
			m.fetchState(ctx, control)
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// lags reports whether the local copy of the replicated state is older than a sequence number.
func (m *membership) lags(sequence uint64) bool {
	known, _ := m.store.Position()
	return known < sequence
}

// fetchState reads the replicated state directly from control. If the call for a chunk fails, it retries from that chunk.
// If it receives nothing, the next report detects that the state still lags, and may use another control process.
func (m *membership) fetchState(ctx context.Context, control string) {
	cursor := watch.NewCursor(watch.Topics{watch.TopicState})
	fetchCtx, cancel := context.WithTimeout(ctx, maxFetchTime)
	defer cancel()
	for fetchCtx.Err() == nil {
		err := m.fetchOnce(fetchCtx, control, cursor)
		if cursor.ReceivingSnapshot() {
			if err != nil {
				timing.Sleep(fetchCtx, nodeRenewBackoff)
			}
			continue
		}
		if err == nil {
			m.log.V(1).Info(logevent.WatchStateFetched, logevent.KeySource, control)
		}
		return
	}
}

// fetchOnce makes one call for the state, or for a chunk of it.
func (m *membership) fetchOnce(ctx context.Context, control string, cursor *watch.Cursor) error {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := api.NewControlProtobufClient("http://"+control, m.client).Watch(call, m.store.NewRequest(cursor))
	if err != nil {
		return err
	}
	m.store.ApplyReply(reply, cursor)
	return nil
}
