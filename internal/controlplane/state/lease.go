package state

import (
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

// Lease is who holds the lease of a key, as "placement/llm", and under which fencing token; nil: nobody has held it.
// When a lease expires is decided by its granter, not by the state.
func (m *Machine) Lease(key string) *api.Ownership {
	at := m.leaseIndex(key)
	if at < 0 {
		return nil
	}
	return m.state.Ownerships[at]
}

// Leases are all that were granted, in the order of their first grants. They must not be changed.
func (m *Machine) Leases() []*api.Ownership { return m.state.Ownerships }

func (m *Machine) leaseIndex(key string) int {
	return slices.IndexFunc(m.state.Ownerships, func(o *api.Ownership) bool { return o.Key == key })
}

// grant gives a lease to a holder under a fencing token that is higher than any before (Gray and Cheriton 1989 for
// leases; Kleppmann 2016 for fencing tokens).
func (m *Machine) grant(g *api.GrantOwnership) (bool, *result.Error) {
	if g.Key == "" || g.Holder == "" {
		return false, result.Errorf(result.InvalidField, "a key and a holder are needed")
	}
	current := m.Lease(g.Key)
	// A grant that was decided on an earlier holder comes late, or a second time.
	if g.ReplacesFencingToken != nil && current.GetFencingToken() != g.GetReplacesFencingToken() {
		if current.GetHolder() == g.Holder {
			return false, nil
		}
		return false, result.Errorf(result.VersionConflict, "the role %s was under token %d, and is under %d",
			g.Key, g.GetReplacesFencingToken(), current.GetFencingToken())
	}
	m.state.LastFencingToken++
	granted := &api.Ownership{Key: g.Key, Holder: g.Holder, Address: g.Address, FencingToken: m.state.LastFencingToken}
	at := m.leaseIndex(g.Key)
	if at < 0 {
		m.state.Ownerships = append(m.state.Ownerships, granted)
		return true, nil
	}
	m.state.Ownerships = slices.Clone(m.state.Ownerships)
	m.state.Ownerships[at] = granted
	return true, nil
}
