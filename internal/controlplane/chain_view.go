package controlplane

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/distribution/watch"
)

// chainStatusInterval is how often the chain's status is published to the feed and to chainView. Raising it delays by
// as much the notice to subscribers that this process's state is no longer fresh.
const chainStatusInterval = 100 * time.Millisecond

// chainView caches the view of the chain, for goroutines that must not wait for the replica's goroutine.
type chainView struct {
	seeds func() []string // addresses from the settings, used while no view is known

	mu      sync.Mutex
	members []string
	head    string // "" while this process is not connected
	view    uint64
}

// onChainStatus updates the cached view.
func (v *chainView) onChainStatus(status ChainStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members, v.view, v.head = status.Members, status.View, ""
	if status.Connected {
		v.head = status.Head
	}
}

// headOf returns the view's number, and whether the process at an address is the head. It is false while this process
// is not connected to the chain.
func (v *chainView) headOf(address string) (uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view, v.head == address
}

// addresses returns the addresses of the members, or of the seeds if no members are known.
func (v *chainView) addresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.members) > 0 {
		return v.members
	}
	return v.seeds()
}

// freshnessTracker determines how far subscribers can rely on this process's state.
type freshnessTracker struct {
	establishedAfter time.Duration // a process connected for this long has received a report of every live backend
	connectedSince   time.Time     // zero while not connected
}

// onChainStatus returns the source status that follows from the chain's status at time now.
func (f *freshnessTracker) onChainStatus(status ChainStatus, now time.Time) watch.SourceStatus {
	switch {
	case !status.Connected:
		f.connectedSince = time.Time{}
	case f.connectedSince.IsZero():
		f.connectedSince = now
	}
	established := status.Connected && now.Sub(f.connectedSince) > f.establishedAfter
	return watch.SourceStatus{Fresh: status.Connected, Established: established}
}

// publishChainStatus regularly updates the view and the feed from the chain's status, until ctx ends.
func publishChainStatus(ctx context.Context, runner *ReplicaRunner, membership *Membership, feed *watch.Store, view *chainView) {
	ticker := time.NewTicker(chainStatusInterval)
	defer ticker.Stop()
	freshness := freshnessTracker{establishedAfter: membership.BackendTimeout()}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		runner.ChainStatus(func(status ChainStatus) {
			view.onChainStatus(status)
			feed.SetControlNodes(membership.ControlNodes(status.Members))
			feed.SetSourceStatus(freshness.onChainStatus(status, time.Now()))
		})
	}
}
