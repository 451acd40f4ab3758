package agent

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

const (
	// renewNodeEvery is how often a node reports to control.
	renewNodeEvery = 600 * time.Millisecond
	// renewNodeTimeout bounds one report.
	renewNodeTimeout = 400 * time.Millisecond
	// lagPatience is how long the usual way may take longer than a report to bring the
	// replicated state.
	lagPatience = 150 * time.Millisecond
	// fetchTimeout bounds one call that fetches it from control, and fetchPatience all of them, where it comes in parts.
	fetchTimeout  = 500 * time.Millisecond
	fetchPatience = 2 * time.Second
)

// membership keeps this node listed at the core, and sees by the answers whether the state
// that its source gives it lags. Then it fetches the state from control: so a change is in
// force here in time also where the home hangs.
type membership struct {
	node     *api.Node
	controls func() []string
	feed     *watch.Store
	client   *transport.Client
	log      logr.Logger
}

// run reports until ctx ends. From when leaving ends on, the node says that it leaves.
func (m *membership) run(ctx, leaving context.Context) {
	ticker := time.NewTicker(renewNodeEvery)
	defer ticker.Stop()
	leaves := leaving.Done()
	for at := 0; ; {
		controls := m.controls()
		if len(controls) > 0 && !m.report(ctx, controls[at%len(controls)], leaving.Err() != nil) {
			at++
			rest(ctx, leastRenewPause)
			if at%len(controls) != 0 && ctx.Err() == nil {
				continue // another one may answer
			}
		}
		select {
		case <-ticker.C:
		case <-leaves:
			leaves = nil
		case <-ctx.Done():
			return
		}
	}
}

// leastRenewPause is between two tries that failed.
const leastRenewPause = 20 * time.Millisecond

// report calls one control process.
func (m *membership) report(ctx context.Context, control string, leaving bool) bool {
	node := &api.Node{Name: m.node.Name, Address: m.node.Address, Zone: m.node.Zone, Incarnation: m.node.Incarnation, Draining: leaving}
	call, cancel := context.WithTimeout(ctx, renewNodeTimeout)
	defer cancel()
	reply, err := api.NewControlProtobufClient("http://"+control, m.client).Renew(call, &api.RenewRequest{Node: node})
	if err != nil {
		return false
	}
	if m.lags(reply.Sequence) {
		rest(ctx, lagPatience)
		if m.lags(reply.Sequence) {
			m.fetch(ctx, control)
		}
	}
	return true
}

// lags tells whether less of the replicated state is known here.
func (m *membership) lags(sequence uint64) bool {
	known, _ := m.feed.Position()
	return known < sequence
}

// fetch reads the replicated state from control itself.
func (m *membership) fetch(ctx context.Context, control string) {
	cursor := watch.NewCursor(watch.Topics{watch.TopicState})
	patience, cancel := context.WithTimeout(ctx, fetchPatience)
	defer cancel()
	for again := true; again; again = cursor.ReceivingSnapshot() {
		if !m.fetchOnce(patience, control, cursor) {
			return // the next report finds that it still lags
		}
	}
	m.log.V(1).Info("fetched the state that the source did not bring", "event", "feed", "source", control)
}

// fetchOnce makes one call for the state, or for a part of it.
func (m *membership) fetchOnce(ctx context.Context, control string, cursor *watch.Cursor) bool {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := api.NewControlProtobufClient("http://"+control, m.client).Watch(call, m.feed.NewRequest(cursor))
	if err != nil {
		return false
	}
	m.feed.ApplyReply(answer, cursor)
	return true
}
