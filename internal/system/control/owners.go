package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/system/api"
	"marlreel/internal/system/boot"
	"marlreel/internal/system/feed"
	"marlreel/internal/system/ownership"
	"marlreel/internal/system/state"
)

const (
	// grantEvery is how often the head looks whether roles need another holder.
	grantEvery = 150 * time.Millisecond
	// leaseMargin is how much longer than the lease the head waits.
	leaseMargin = 250 * time.Millisecond
	// leaseShare is the part of the deployment's lease time that a grant runs for.
	leaseShare = 2
)

// owners gives roles to nodes and takes them from those that are lost. It acts only
// where this process is the head. A role changes hands only when the lease of the one
// before has run out: its grants were confirmed by a majority at the time, so a head that
// is new waits out whatever the one before it may have granted.
type owners struct {
	valid   time.Duration // of a grant, from before it was asked for
	wait    time.Duration // since the last grant, before a role may change hands
	feed    *feed.Store
	order   func(operation *api.Operation) bool
	isHead  func() bool
	log     logr.Logger
	mu      sync.Mutex
	since   time.Time            // this process is the head; zero: it is not
	renewed map[string]time.Time // by role
}

func newOwners(bounds boot.Bounds, out *feed.Store, isHead func() bool, order func(*api.Operation) bool, log logr.Logger) *owners {
	lease := boot.Milliseconds(bounds.LeaseMS)
	if lease <= 0 {
		lease = usualLease
	}
	o := &owners{valid: lease / leaseShare, feed: out, isHead: isHead, order: order, log: log, renewed: map[string]time.Time{}}
	o.wait = o.valid + leaseMargin
	if !bounds.Fencing {
		// Backends don't tell an old holder from a new one: their orders must be far apart.
		o.wait += lease
	}
	return o
}

// usualLease holds where the deployment names none.
const usualLease = 3 * time.Second

// renew lets a holder keep its roles, and gives them.
func (o *owners) renew(holder string, machine *state.Machine) []*api.Ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	var held []*api.Ownership
	for _, owned := range machine.Ownerships() {
		if owned.Holder == holder {
			o.renewed[owned.Key] = time.Now()
			held = append(held, owned)
		}
	}
	return held
}

// run looks after the roles until ctx ends.
func (o *owners) run(ctx context.Context) {
	ticker := time.NewTicker(grantEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !o.isHead() {
			o.mu.Lock()
			o.since = time.Time{}
			o.mu.Unlock()
			continue
		}
		o.mu.Lock()
		if o.since.IsZero() {
			o.since = time.Now()
			clear(o.renewed)
		}
		o.mu.Unlock()
		for _, operation := range o.due() {
			o.order(operation)
		}
	}
}

// due are the grants to be made.
func (o *owners) due() []*api.Operation {
	nodes := o.feed.Nodes()
	if len(nodes) == 0 {
		return nil
	}
	var keys []string
	owned := map[string]*api.Ownership{}
	o.feed.View(func(m *state.Machine) {
		if m.Document() == nil {
			return
		}
		for i := range m.Document().Services {
			if s := &m.Document().Services[i]; s.Engine != nil {
				key := ownership.PlacementKey(s.Name)
				keys = append(keys, key)
				owned[key] = m.Owner(key)
			}
		}
	})
	var grants []*api.Operation
	for _, key := range keys {
		if !o.vacant(key, owned[key], nodes) {
			continue
		}
		node := ownership.Choose(key, nodes)
		grants = append(grants, &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: key,
			Holder: ownership.Holder(node.Name, node.Incarnation), Address: node.Address}}})
	}
	return grants
}

// vacant tells whether a role may be given to another holder.
func (o *owners) vacant(key string, owned *api.Ownership, nodes []*api.Node) bool {
	if owned == nil {
		return true
	}
	name, _, _ := strings.Cut(owned.Holder, "/")
	for _, node := range nodes {
		if node.Name == name && ownership.Holder(node.Name, node.Incarnation) != owned.Holder {
			return true // that life of the process is over
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.renewed[key]
	if last.Before(o.since) {
		last = o.since
	}
	return time.Since(last) > o.wait
}
