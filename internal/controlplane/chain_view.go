package controlplane

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/distribution/watch"
)

// chainStatusInterval is how often the chain's status is handed to the feed and to whoever goes by chainView. Raising
// it has subscribers told as much later that this process is not fresh.
const chainStatusInterval = 100 * time.Millisecond

// chainView is the view of the chain as this process last knew it, for goroutines that don't wait for the replica's.
type chainView struct {
	seeds func() []string // addresses from the settings, where no view is known

	mu      sync.Mutex
	members []string
	head    string // "": this process is not connected
	view    uint64
}

// onChainStatus handles the chain's status.
func (v *chainView) onChainStatus(status ChainStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members, v.view, v.head = status.Members, status.View, ""
	if status.Connected {
		v.head = status.Head
	}
}

// headOf returns the view's number, and whether a process is the head of a chain to which this one is connected.
func (v *chainView) headOf(address string) (uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view, v.head == address
}

// addresses returns the addresses of the members, or of the seeds where there are none.
func (v *chainView) addresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.members) > 0 {
		return v.members
	}
	return v.seeds()
}

// freshnessTracker tells how far this process's state can be relied on by those that watch it.
type freshnessTracker struct {
	establishedAfter time.Duration // connected for that long, the process has heard of all that live
	connectedSince   time.Time     // zero: it is not connected
}

// onChainStatus handles the chain's status at a time.
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

// publishChainStatus hands the chain's status to the view, and what follows from it to the feed, until ctx ends.
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
