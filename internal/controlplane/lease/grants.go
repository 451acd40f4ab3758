package lease

import (
	"slices"
	"strings"
	"time"

	"marlreel/internal/api"
)

// Record is a lease that needs a holder.
type Record struct {
	Key       string
	Ownership *api.Ownership // according to the replicated state; nil if it was never granted
}

// DueGrants returns the grants to commit now: new ones for vacant leases, and those returned before that are not in the
// replicated state yet. They may be committed only in the view last passed to OnView, because in a later view another
// head may have answered renewals. nodes must not be empty.
func (m *Manager) DueGrants(records []Record, nodes []*api.Node) []*api.Operation {
	m.mu.Lock()
	defer m.mu.Unlock()
	var grants []*api.Operation
	for _, record := range records {
		switch {
		case m.transferPending(record.Key, record.Ownership):
			grants = append(grants, m.leases[record.Key].pending)
		case m.vacant(record.Ownership, nodes):
			grants = append(grants, m.grant(record, nodes))
		}
	}
	return grants
}

// grant creates the grant of a vacant lease to one of the candidates. The caller holds the lock.
func (m *Manager) grant(record Record, nodes []*api.Node) *api.Operation {
	from, unresponsive := candidates(nodes, m.unresponsiveHolders(record.Ownership), m.config.MaxCandidateAge)
	node := SelectNode(record.Key, from)
	holder := HolderID(node.Name, node.Incarnation)
	replaces := record.Ownership.GetFencingToken()
	operation := &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{
		Key: record.Key, Holder: holder, Address: node.Address,
		ReplacesFencingToken: &replaces,
	}}}
	m.leases[record.Key] = &state{holder: holder, granted: m.now(), unresponsive: unresponsive, pending: operation}
	return operation
}

// unresponsiveHolders returns the holders that a vacant lease should not be granted to: the last one, and those that
// did not accept it before. The caller holds the lock.
func (m *Manager) unresponsiveHolders(ownership *api.Ownership) map[string]bool {
	if ownership == nil {
		return nil
	}
	unresponsive := m.onOwnership(ownership).unresponsive
	if unresponsive == nil {
		unresponsive = map[string]bool{}
	}
	unresponsive[ownership.Holder] = true
	return unresponsive
}

// vacant reports whether a lease may be granted to another holder: it has expired, was released, was not accepted in
// time, or was never granted. The caller holds the lock.
func (m *Manager) vacant(ownership *api.Ownership, nodes []*api.Node) bool {
	if ownership == nil {
		return true
	}
	lease := m.onOwnership(ownership)
	last := m.lastRenewal(lease)
	switch {
	case !lease.granted.IsZero() && lease.renewed.IsZero():
		return m.now().Sub(lease.granted) > m.config.AcceptTimeout
	case lease.released, restarted(ownership, nodes):
		return m.now().Sub(last) > m.config.HandoverGap
	}
	return m.now().Sub(last) > m.config.TransferWait+m.config.HandoverGap
}

// lastRenewal returns the latest time at which a renewal of a lease may have been answered.
func (m *Manager) lastRenewal(lease *state) time.Time {
	last := lease.renewed
	if lease.granted.IsZero() && last.Before(lease.firstSeen) {
		last = lease.firstSeen // whoever was head before may have answered until then
	}
	return last
}

// restarted reports whether a holder's node has come back as another incarnation.
func restarted(ownership *api.Ownership, nodes []*api.Node) bool {
	name, _, _ := strings.Cut(ownership.Holder, "/")
	return slices.ContainsFunc(nodes, func(n *api.Node) bool {
		return n.Name == name && HolderID(n.Name, n.Incarnation) != ownership.Holder
	})
}
