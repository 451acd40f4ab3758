package controlplane

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/lease"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
)

const (
	// grantInterval is how often the head looks whether roles need another holder.
	grantInterval = 150 * time.Millisecond
	// clockMargin is how much longer than the lease the head waits.
	clockMargin = 250 * time.Millisecond
	// grantsPerLease is the part of the deployment's lease time that a grant runs for.
	grantsPerLease = 2
)

// leaseManager gives roles to nodes and takes them from those that are lost. It acts only
// where this process is the head. A role changes hands only when the lease of the one
// before has run out: its grants were confirmed by a majority at the time, so a head that
// is new waits out whatever the one before it may have granted.
type leaseManager struct {
	valid  time.Duration // of a grant, from before it was asked for
	wait   time.Duration // since the last renewal, before a role may change hands
	apart  time.Duration // how far apart the orders of two holders have to be
	feed   *watch.Store
	order  func(operation *api.Operation, view uint64) // has a grant done here, in that view and no other
	headOf func() (view uint64, isHead bool)
	now    func() time.Time // on the steady clock
	log    logr.Logger
	mu     sync.Mutex
	view   uint64                 // of which this process was found to be the head; 0: it is not
	roles  map[string]*leaseState // by key
}

// leaseState is what the head knows of a role that it has looked after.
type leaseState struct {
	holder   string
	seen     time.Time // when this head found the holder; another one may have granted it until then
	granted  time.Time // by this head; zero: it was held before
	renewed  time.Time // the last renewal that was answered; zero: none
	released bool
	passed   map[string]bool // holders that did not take it up, since one did
	// ordered is the grant to this holder until it is seen in the replicated state. It may come
	// through at any moment, so until then nobody else is given the role, nor the holder before.
	ordered *api.Operation
}

func newLeaseManager(bounds bootstrap.Bounds, out *watch.Store, headOf func() (uint64, bool), order func(*api.Operation, uint64),
	log logr.Logger,
) *leaseManager {
	lease := bootstrap.Milliseconds(bounds.LeaseDurationMS)
	if lease <= 0 {
		lease = defaultLease
	}
	o := &leaseManager{valid: lease / grantsPerLease, feed: out, headOf: headOf, order: order, now: time.Now, log: log, roles: map[string]*leaseState{}}
	o.wait = o.valid + clockMargin
	if !bounds.Fencing {
		// Backends don't tell an old holder from a new one: their orders must be far apart.
		o.apart = lease
	}
	return o
}

// defaultLease holds where the deployment names none.
const defaultLease = 3 * time.Second

// renew lets a holder keep its roles, or give them up, and says which they are.
func (o *leaseManager) renew(holder string, release bool, machine *state.Machine) []*api.Ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	var held []*api.Ownership
	for _, owned := range machine.Leases() {
		if owned.Holder != holder || o.passes(owned.Key, owned) {
			continue
		}
		role := o.role(owned)
		role.renewed, role.released = o.now(), release
		role.passed = nil
		if !release {
			held = append(held, owned)
		}
	}
	return held
}

// role is what is known of a role under its present holder.
func (o *leaseManager) role(owned *api.Ownership) *leaseState {
	role := o.roles[owned.Key]
	if role == nil || role.holder != owned.Holder {
		role = &leaseState{holder: owned.Holder, seen: o.now()}
		o.roles[owned.Key] = role
	}
	if role.ordered != nil { // it has come through
		role.ordered, role.granted = nil, o.now()
	}
	return role
}

// passes tells whether a grant is under way that takes a role from its holder, or from nobody.
// Called with the lock.
func (o *leaseManager) passes(key string, owned *api.Ownership) bool {
	role := o.roles[key]
	return role != nil && role.ordered != nil && role.holder != owned.GetHolder() &&
		role.ordered.GetGrant().GetReplacesFencingToken() == owned.GetFencingToken()
}

// run looks after the roles until ctx ends.
func (o *leaseManager) run(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		o.look()
	}
}

// look orders the grants that are due at this moment, where this process is the head. They hold in the view
// that it is the head of: in a later one another head may have answered renewals that this one knows nothing of.
func (o *leaseManager) look() {
	view, isHead := o.headOf()
	o.lead(view, isHead)
	if !isHead {
		return
	}
	for _, operation := range o.due() {
		o.order(operation, view)
	}
}

// lead forgets what is known of the roles where another process may have been the head since.
func (o *leaseManager) lead(view uint64, isHead bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !isHead:
		o.view = 0
	case o.view == 0 || view > o.view+1:
		clear(o.roles)
		o.view = view
	default:
		o.view = view
	}
}

// due are the grants to be made.
func (o *leaseManager) due() []*api.Operation {
	nodes := o.feed.Nodes()
	if len(nodes) == 0 {
		return nil
	}
	var keys []string
	owned := map[string]*api.Ownership{}
	o.feed.ReadState(func(m *state.Machine) {
		if m.Document() == nil {
			return
		}
		for i := range m.Document().Services {
			if s := &m.Document().Services[i]; s.Engine != nil {
				key := lease.PlacementKey(s.Name)
				keys = append(keys, key)
				owned[key] = m.Lease(key)
			}
		}
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	var grants []*api.Operation
	for _, key := range keys {
		switch {
		case o.passes(key, owned[key]):
			grants = append(grants, o.roles[key].ordered)
		case o.vacant(owned[key], nodes):
			grants = append(grants, o.grant(key, owned[key], nodes))
		}
	}
	return grants
}

// grant gives a role to a node that has not just passed it by.
func (o *leaseManager) grant(key string, owned *api.Ownership, nodes []*api.Node) *api.Operation {
	var passed map[string]bool
	if owned != nil {
		passed = o.role(owned).passed
		if passed == nil {
			passed = map[string]bool{}
		}
		passed[owned.Holder] = true
	}
	from, passed := candidates(nodes, passed)
	node := lease.SelectNode(key, from)
	holder := lease.HolderID(node.Name, node.Incarnation)
	replaces := owned.GetFencingToken()
	operation := &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{
		Key: key, Holder: holder, Address: node.Address,
		ReplacesFencingToken: &replaces,
	}}}
	o.roles[key] = &leaseState{holder: holder, granted: o.now(), passed: passed, ordered: operation}
	return operation
}

// maxCandidateAge is how old a node's last report may be: it reports more often, and a role is vacant some time
// after the fault that took its holder, and other nodes with it.
const maxCandidateAge = 700 * time.Millisecond

// candidates are the nodes to choose a holder from: those that stay, have not passed the role by and have reported
// lately. Where there are none, the last of these is waived first. still is nil where passed was waived.
func candidates(nodes []*api.Node, passed map[string]bool) (from []*api.Node, still map[string]bool) {
	staying := slices.DeleteFunc(slices.Clone(nodes), func(n *api.Node) bool { return n.Draining })
	willing := slices.DeleteFunc(slices.Clone(staying), func(n *api.Node) bool { return passed[lease.HolderID(n.Name, n.Incarnation)] })
	heard := slices.DeleteFunc(slices.Clone(willing), func(n *api.Node) bool {
		return time.Duration(n.AgeMs)*time.Millisecond > maxCandidateAge
	})
	switch {
	case len(heard) > 0:
		return heard, passed
	case len(willing) > 0:
		return willing, passed
	case len(staying) > 0:
		return staying, nil
	}
	return nodes, nil
}

// maxAcceptDelay is how long a new holder may take to renew for the first time: it hears of its role by way of its home,
// and renews at once, or with the next renewal of those that it has.
const maxAcceptDelay = 700 * time.Millisecond

// vacant tells whether a role may be given to another holder: its lease has run out or was
// given up, or none was ever given under its token. Called with the lock.
func (o *leaseManager) vacant(owned *api.Ownership, nodes []*api.Node) bool {
	if owned == nil {
		return true
	}
	role := o.role(owned)
	last := role.renewed
	if role.granted.IsZero() && last.Before(role.seen) {
		last = role.seen // whoever was head before may have answered until then
	}
	switch {
	case !role.granted.IsZero() && role.renewed.IsZero():
		return o.now().Sub(role.granted) > maxAcceptDelay
	case role.released, restarted(owned, nodes):
		return o.now().Sub(last) > o.apart
	}
	return o.now().Sub(last) > o.wait+o.apart
}

// restarted tells whether a holder's node has come back as another life.
func restarted(owned *api.Ownership, nodes []*api.Node) bool {
	name, _, _ := strings.Cut(owned.Holder, "/")
	return slices.ContainsFunc(nodes, func(n *api.Node) bool {
		return n.Name == name && lease.HolderID(n.Name, n.Incarnation) != owned.Holder
	})
}
