package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/placement/reconciler"
	"marlreel/internal/process/transport"
)

const (
	// leaseRenewInterval is how often the holder of leases renews them. Raising it leaves fewer attempts before a lease
	// expires, lowering it costs control a confirmation by a majority each.
	leaseRenewInterval = 400 * time.Millisecond
	// leaseRenewTimeout bounds one attempt. Raising it leaves fewer attempts where a control process hangs, lowering it
	// fails renewals while control is slow.
	leaseRenewTimeout = 600 * time.Millisecond
)

// leases are the leases that control has granted to this agent. A lease runs from before the call that renewed it, so it
// expires here before control grants it to another node.
type leases struct {
	holder   string // this agent, with its incarnation
	controls func() []string
	store    *watch.Store
	client   *transport.Client

	mu   sync.Mutex
	held map[string]reconciler.Lease // by key; some may have expired
}

var _ reconciler.Leases = (*leases)(nil)

// run renews while the replicated state names this agent as a holder, until ctx ends.
func (l *leases) run(ctx context.Context) {
	ticker := time.NewTicker(leaseRenewInterval)
	defer ticker.Stop()
	next := 0 // of the control processes, modulo their number
	for ctx.Err() == nil {
		if !l.Named() {
			l.AwaitNamed(ctx)
			continue
		}
		controls := l.controls()
		if len(controls) == 0 || !l.renew(ctx, controls[next%len(controls)]) {
			next++
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Named implements reconciler.Leases.
func (l *leases) Named() bool {
	named := false
	l.store.ReadState(func(m *state.Machine) {
		for _, o := range m.Leases() {
			named = named || o.Holder == l.holder
		}
	})
	return named
}

// AwaitNamed implements reconciler.Leases.
func (l *leases) AwaitNamed(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.store.Changed()
		if l.Named() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// renew asks a control process once. It reports whether that has answered by a grant, be it of nothing.
func (l *leases) renew(ctx context.Context, control string) bool {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, leaseRenewTimeout)
	defer cancel()
	reply, err := api.NewControlProtobufClient("http://"+control, l.client).Lease(call, &api.LeaseRequest{Holder: l.holder})
	if err != nil || result.Code(reply.Code) != result.Committed {
		return false
	}
	l.record(reply.Renewed, time.Now(), asked.Add(time.Duration(reply.ValidMs)*time.Millisecond))
	return true
}

// record takes in the leases that control has renewed until expiry.
func (l *leases) record(renewed []*api.Ownership, now, expiry time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(map[string]reconciler.Lease, len(renewed))
	for _, o := range renewed {
		since := now
		if before, known := l.held[o.Key]; known && before.FencingToken == o.FencingToken {
			since = before.Since
		}
		held[o.Key] = reconciler.Lease{FencingToken: o.FencingToken, Expiry: expiry, Since: since}
	}
	l.held = held
}

// Lease implements reconciler.Leases.
func (l *leases) Lease(key string) (held reconciler.Lease, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, known := l.held[key]
	return held, known && time.Now().Before(held.Expiry)
}

// count returns how many leases run at this moment.
func (l *leases) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := 0
	for _, held := range l.held {
		if time.Now().Before(held.Expiry) {
			running++
		}
	}
	return running
}

// Drop implements reconciler.Leases.
func (l *leases) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = nil
}

// release gives all leases up and tells control, so that they can be granted to other nodes at once. If no control
// process answers they expire.
func (l *leases) release(ctx context.Context) {
	l.Drop()
	if !l.Named() {
		return
	}
	for _, control := range l.controls() {
		if l.releaseAt(ctx, control) == nil {
			return
		}
	}
}

func (l *leases) releaseAt(ctx context.Context, control string) error {
	call, cancel := context.WithTimeout(ctx, leaseRenewTimeout)
	defer cancel()
	_, err := api.NewControlProtobufClient("http://"+control, l.client).Lease(call, &api.LeaseRequest{Holder: l.holder, Release: true})
	return err
}
