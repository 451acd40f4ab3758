package state

import (
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

// maxRetired is how many retired backends are remembered. A backend gets a new id at each start, so old ids are not
// used again.
const maxRetired = 8192

// IsRetired reports whether a backend has announced that it is shutting down.
func (m *Machine) IsRetired(id string) bool { return m.retired[id] }

func (m *Machine) retire(r *api.RetireBackend) (bool, *result.Error) {
	if r.Id == "" {
		return false, result.Errorf(result.InvalidField, "a backend's id is needed")
	}
	if m.retired[r.Id] {
		return false, nil
	}
	m.retired[r.Id] = true
	m.state.Retired = append(m.state.Retired, &api.Retired{Id: r.Id})
	if extra := len(m.state.Retired) - maxRetired; extra > 0 {
		for _, old := range m.state.Retired[:extra] {
			delete(m.retired, old.Id)
		}
		m.state.Retired = slices.Clone(m.state.Retired[extra:])
	}
	return true, nil
}
