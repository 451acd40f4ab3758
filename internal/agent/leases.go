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
	// leaseRenewInterval is how often a holder renews its leases. Raising it leaves fewer attempts before a lease expires;
	// lowering it costs control more renewals, each confirmed by a majority.
	leaseRenewInterval = 400 * time.Millisecond
	// leaseRenewTimeout limits one attempt. Raising it leaves fewer attempts if a control process does not respond;
	// lowering it makes renewals fail while control is slow.
	leaseRenewTimeout = 600 * time.Millisecond
)

// leases are the leases that control has granted to this agent. The validity of a lease is counted from before the call
// that renewed it, so that it expires here before control grants it to another node.
type leases struct {
	holder   string // this agent's id as a lease holder, which contains its incarnation
	controls func() []string
	store    *watch.Store
	client   *transport.Client

	mu   sync.Mutex
	held map[string]reconciler.Lease // by key, including expired leases
}

var _ reconciler.Leases = (*leases)(nil)

// run renews the leases while the replicated state names this agent as a holder, until ctx ends.
func (l *leases) run(ctx context.Context) {
	ticker := time.NewTicker(leaseRenewInterval)
	defer ticker.Stop()
	next := 0 // index of the control process to try, modulo their number
	for ctx.Err() == nil {
		if !l.NamedAsHolder() {
			l.AwaitNamedAsHolder(ctx)
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

// NamedAsHolder implements reconciler.Leases.
func (l *leases) NamedAsHolder() bool {
	named := false
	l.store.ReadState(func(m *state.Machine) {
		for _, o := range m.Leases() {
			named = named || o.Holder == l.holder
		}
	})
	return named
}

// AwaitNamedAsHolder implements reconciler.Leases.
func (l *leases) AwaitNamedAsHolder(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.store.Changed()
		if l.NamedAsHolder() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// renew makes one attempt at a control process. It reports whether that replied with a grant, possibly an empty one.
func (l *leases) renew(ctx context.Context, control string) bool {
	requestedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, leaseRenewTimeout)
	defer cancel()
	reply, err := api.NewControlProtobufClient("http://"+control, l.client).Lease(call, &api.LeaseRequest{Holder: l.holder})
	if err != nil || result.Code(reply.Code) != result.Committed {
		return false
	}
	l.record(reply.Renewed, time.Now(), requestedAt.Add(time.Duration(reply.ValidMs)*time.Millisecond))
	return true
}

// record replaces the leases by those that control has renewed until expiry.
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
func (l *leases) Lease(key string) (held reconciler.Lease, valid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, known := l.held[key]
	return held, known && time.Now().Before(held.Expiry)
}

// count returns the number of valid leases.
func (l *leases) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := 0
	for _, held := range l.held {
		if time.Now().Before(held.Expiry) {
			valid++
		}
	}
	return valid
}

// Drop implements reconciler.Leases.
func (l *leases) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = nil
}

// release gives up all leases and notifies control, so that it can grant them to other nodes at once. If no control
// process replies, they expire.
func (l *leases) release(ctx context.Context) {
	l.Drop()
	if !l.NamedAsHolder() {
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
