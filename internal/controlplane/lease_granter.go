package controlplane

import (
	"context"
	"slices"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/quota/shard"
)

// grantInterval is how often the head looks whether leases need another holder. Raising it leaves the duties of lost
// holders undone for longer; lowering it costs a look through the services each time.
const grantInterval = 150 * time.Millisecond

// leaseGranter has leases granted while this process is the head of the chain: it tells the lease manager of views,
// and submits the grants that are due in the view in which they were decided.
type leaseGranter struct {
	manager *lease.Manager
	feed    *watch.Store
	headOf  func() (view uint64, isHead bool)
	submit  func(grant *api.Operation, view uint64) // has a grant committed, in that view and no other
}

func newLeaseGranter(bounds bootstrap.Bounds, feed *watch.Store, headOf func() (uint64, bool), submit func(*api.Operation, uint64),
	now func() time.Time,
) *leaseGranter {
	config := lease.NewConfig(bootstrap.Milliseconds(bounds.LeaseDurationMS), bounds.Fencing)
	return &leaseGranter{manager: lease.NewManager(config, now), feed: feed, headOf: headOf, submit: submit}
}

// run submits grants when they are due, until ctx ends.
func (g *leaseGranter) run(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.submitDueGrants()
		case <-ctx.Done():
			return
		}
	}
}

// submitDueGrants submits the grants that are due at this moment, where this process is the head. They hold in the
// view that it is the head of: in a later one another head may have answered renewals that this one knows nothing of.
func (g *leaseGranter) submitDueGrants() {
	view, isHead := g.headOf()
	g.manager.OnView(view, isHead)
	if !isHead {
		return
	}
	nodes := g.feed.Nodes()
	if len(nodes) == 0 {
		return
	}
	for _, grant := range g.manager.DueGrants(g.leaseRecords(), nodes) {
		g.submit(grant, view)
	}
}

// leaseRecords returns the leases that the configuration calls for: one for each service whose models are placed, and one
// for each shard of tenants where a tenant has a quota.
func (g *leaseGranter) leaseRecords() []lease.Record {
	var records []lease.Record
	g.feed.ReadState(func(machine *state.Machine) {
		if machine.Document() == nil {
			return
		}
		for i := range machine.Document().Services {
			if key := placementLease(&machine.Document().Services[i]); key != "" {
				records = append(records, lease.Record{Key: key, Ownership: machine.Lease(key)})
			}
		}
		if !limitsSubscribers(machine.Document()) {
			return
		}
		for number := range shard.Count {
			key := shard.LeaseKey(number)
			records = append(records, lease.Record{Key: key, Ownership: machine.Lease(key)})
		}
	})
	return records
}

// limitsSubscribers reports whether a configuration has a tenant with a quota.
func limitsSubscribers(document *configuration.Document) bool {
	return slices.ContainsFunc(document.Subscribers, func(s configuration.Subscriber) bool { return s.Limited() })
}

// placementLease is the key of the lease to place a service's models; "" where it has none to place.
func placementLease(service *configuration.Service) string {
	if service.Engine == nil {
		return ""
	}
	return lease.PlacementKey(service.Name)
}
