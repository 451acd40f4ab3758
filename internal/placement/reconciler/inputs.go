package reconciler

import (
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/placement"
	"marlreel/internal/process/bootstrap"
)

// refreshInputs passes the configuration and the backends to the planner, if they may have changed. It reports whether
// the service is configured.
func (r *reconciler) refreshInputs() bool {
	revision := r.cfg.Store.Revision()
	if revision != r.revision || !r.configured {
		r.configured = r.readInputs()
		r.revision = revision
	}
	return r.configured
}

// readInputs passes the configuration and the backends to the planner. It reports whether the service is configured.
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

// readState returns the service's configuration (nil if there is none) and the evacuated zones.
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

// plannerService converts a service's configuration to the form that the planner takes.
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
