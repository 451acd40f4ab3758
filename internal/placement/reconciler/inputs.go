package reconciler

import (
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/placement"
	"marlreel/internal/process/bootstrap"
)

// refreshInputs hands the planner the configuration and the backends, if they may have changed. It reports whether the
// service is configured.
func (r *reconciler) refreshInputs() bool {
	revision := r.cfg.Store.Revision()
	if revision != r.revision || !r.configured {
		r.configured = r.readInputs()
		r.revision = revision
	}
	return r.configured
}

func (r *reconciler) readInputs() bool {
	service, evacuated := r.readState()
	if service == nil || service.Engine == nil {
		return false
	}
	r.planner.Configure(plannerService(service))
	var backends []placement.Backend
	clear(r.backends)
	for _, b := range r.cfg.Store.Backends() {
		if b.Service != r.service {
			continue
		}
		r.backends[b.Id] = b
		usable := !b.Draining && !evacuated[b.Zone]
		input := placement.Backend{ID: b.Id, Zone: b.Zone, Usable: usable, Loaded: map[string][]string{}}
		for _, m := range b.Models {
			input.Loaded[m.Name] = m.Adapters
		}
		backends = append(backends, input)
	}
	r.planner.SetBackends(r.now(), backends)
	return true
}

// readState returns the service's configuration, nil where it has none, and the zones that are evacuated.
func (r *reconciler) readState() (*configuration.Service, map[string]bool) {
	var service *configuration.Service
	evacuated := map[string]bool{}
	r.cfg.Store.ReadState(func(m *state.Machine) {
		if document := m.Document(); document != nil {
			service = document.Service(r.service)
		}
		for _, zone := range m.EvacuatedZones() {
			evacuated[zone] = true
		}
	})
	return service, evacuated
}

// plannerService is a service's configuration as the planner takes it.
func plannerService(cfg *configuration.Service) placement.Service {
	service := placement.Service{
		Models: map[string]placement.Model{}, CapacityMB: cfg.Engine.WeightsMB,
		MaxAdapters: cfg.Engine.AdapterCapacity, MaxLoadsPerSecond: cfg.Engine.LoadPerS,
	}
	for _, m := range cfg.Engine.Models {
		service.Models[m.Name] = placement.Model{
			Name: m.Name, SizeMB: m.WeightsMB, LoadTime: bootstrap.Seconds(m.LoadTimeS),
			AdapterSizeMB: m.AdapterSizeMB,
		}
	}
	return service
}
