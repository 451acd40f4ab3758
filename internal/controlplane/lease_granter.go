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

// grantInterval is how often the head checks whether leases need a new holder. Raising it leaves the work of failed
// holders undone for longer; each check costs a pass over the services.
const grantInterval = 150 * time.Millisecond

// leaseGranter grants leases while this process is the head of the chain: it informs the lease manager of view changes,
// and submits the grants that are due, each only in the view in which it was decided.
type leaseGranter struct {
	manager *lease.Manager
	feed    *watch.Store
	headOf  func() (view uint64, isHead bool)
	submit  func(grant *api.Operation, view uint64) // commits a grant, in that view only
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

// submitDueGrants submits the grants that are due now, if this process is the head. They are valid only in the current
// view: in a later one, another head may have answered renewals that this process doesn't know of.
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

// leaseRecords returns the leases that the configuration calls for: one for each service whose models are placed and, if
// any tenant has a quota, one for each shard of tenants.
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

// placementLease returns the key of the lease to place a service's models, or "" if it has none to place.
func placementLease(service *configuration.Service) string {
	if service.Engine == nil {
		return ""
	}
	return lease.PlacementKey(service.Name)
}
