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
	// nodeRenewInterval is how often a node reports to control. Raising it lets lost nodes, and a state that lags, go
	// unnoticed for longer; lowering it costs each control process calls from all nodes.
	nodeRenewInterval = 600 * time.Millisecond
	// nodeRenewTimeout bounds one report. Raising it lets a control process that hangs hold the node up.
	nodeRenewTimeout = 400 * time.Millisecond
	// nodeRenewBackoff is between two reports that failed.
	nodeRenewBackoff = 20 * time.Millisecond
	// fetchTimeout bounds one call for the state, and maxFetchTime all of them, where it comes in chunks.
	fetchTimeout = 500 * time.Millisecond
	maxFetchTime = 2 * time.Second
)

// membership keeps this node listed at control, and sees by the answers whether the replicated state lags that the watch
// brings. Then it fetches the state from control: so a change is in force here in time also where the relay hangs.
type membership struct {
	node     *api.Node
	controls func() []string
	store    *watch.Store
	client   *transport.Client
	log      logr.Logger

	catchingUp atomic.Bool // one fetch is on its way at a time
	running    sync.WaitGroup
}

// run reports until ctx ends. From when active ends on, the node reports that it drains.
func (m *membership) run(ctx, active context.Context) {
	defer m.running.Wait()
	ticker := time.NewTicker(nodeRenewInterval)
	defer ticker.Stop()
	draining := active.Done()
	next := 0 // of the control processes, modulo their number
	for {
		controls := m.controls()
		if len(controls) > 0 && !m.renew(ctx, controls[next%len(controls)], active.Err() != nil) {
			next++
			timing.Sleep(ctx, nodeRenewBackoff)
			if next%len(controls) != 0 && ctx.Err() == nil {
				continue // another one may answer
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

// renew reports to one control process. It reports whether that has answered.
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

// catchUp leaves it to the watch to bring the state up to a sequence number, and fetches it from control where that
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

// lags reports whether the replicated state is known here to an earlier sequence number.
func (m *membership) lags(sequence uint64) bool {
	known, _ := m.store.Position()
	return known < sequence
}

// fetchState reads the replicated state from control itself. Where a chunk of it is lost it goes on behind the ones that
// it has. Where nothing has come, the next report finds that the state still lags, and may ask another process.
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
