package state

import (
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

// Lease returns the holder and the fencing token of a lease by its key, for example "placement/llm", or nil if it was
// never granted. The granter, not the state, decides when a lease expires.
func (m *Machine) Lease(key string) *api.Ownership {
	at := m.leaseIndex(key)
	if at < 0 {
		return nil
	}
	return m.state.Ownerships[at]
}

// Leases returns all leases ever granted, in the order of their first grants. The caller must not change them.
func (m *Machine) Leases() []*api.Ownership { return m.state.Ownerships }

func (m *Machine) leaseIndex(key string) int {
	return slices.IndexFunc(m.state.Ownerships, func(o *api.Ownership) bool { return o.Key == key })
}

// grant grants a lease to a holder, with a fencing token that is higher than any before (Gray and Cheriton 1989 for
// leases; Kleppmann 2016 for fencing tokens).
func (m *Machine) grant(g *api.GrantOwnership) (bool, *result.Error) {
	if g.Key == "" || g.Holder == "" {
		return false, result.Errorf(result.InvalidField, "a key and a holder are needed")
	}
	current := m.Lease(g.Key)
	// The grant is late or a duplicate: it was decided when another grant was current.
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
