package state

import (
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

// maxEvacuations bounds the number of zones evacuated at the same time.
const maxEvacuations = 1024

// IsEvacuated reports whether a zone is evacuated, so that its backends must get no requests.
func (m *Machine) IsEvacuated(zone string) bool {
	return slices.ContainsFunc(m.state.Evacuations, func(e *api.Evacuation) bool { return e.Zone == zone })
}

// EvacuatedZones returns the zones whose backends must get no requests, in the order of their evacuations.
func (m *Machine) EvacuatedZones() []string {
	var zones []string
	for _, e := range m.state.Evacuations {
		zones = append(zones, e.Zone)
	}
	return zones
}

func (m *Machine) evacuate(e *api.SetEvacuation) (bool, *result.Error) {
	if e.Zone == "" {
		return false, result.Errorf(result.InvalidField, "a zone is needed")
	}
	if m.IsEvacuated(e.Zone) == e.Active {
		return false, nil
	}
	if !e.Active {
		m.state.Evacuations = slices.DeleteFunc(m.state.Evacuations, func(o *api.Evacuation) bool { return o.Zone == e.Zone })
		return true, nil
	}
	if len(m.state.Evacuations) >= maxEvacuations {
		return false, result.Errorf(result.TooLarge, "%d zones are evacuated", len(m.state.Evacuations))
	}
	m.state.Evacuations = append(m.state.Evacuations, &api.Evacuation{Zone: e.Zone})
	return true, nil
}
