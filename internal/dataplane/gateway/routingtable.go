package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/process/logevent"
)

// routingTable holds what requests are routed by. It is immutable: an update replaces it.
type routingTable struct {
	document *configuration.Document // nil: none has been received yet
	since    time.Time               // when its version came into force here
	services map[string]*service     // by name
	loaded   map[modelKey]bool       // models and adapters that some available backend has loaded
}

// modelKey identifies a model of a service, or an adapter of that model.
type modelKey struct{ service, model, adapter string }

// loadedModels returns the models and adapters that available backends have loaded.
func loadedModels(backends []*api.Backend, evacuated map[string]bool) map[modelKey]bool {
	loaded := map[modelKey]bool{}
	for _, b := range backends {
		if b.Draining || evacuated[b.Zone] {
			continue
		}
		for _, m := range b.Models {
			loaded[modelKey{b.Service, m.Name, ""}] = true
			for _, adapter := range m.Adapters {
				loaded[modelKey{b.Service, m.Name, adapter}] = true
			}
		}
	}
	return loaded
}

// ApplyState makes a new routing table from the newest state. It does nothing without a configuration, or after the
// gateway was closed. Services that it starts run until they are stopped, even if ctx ends before.
func (g *Gateway) ApplyState(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	document, evacuated := g.readState()
	if document == nil {
		return
	}
	old := g.table.Load()
	next := &routingTable{document: document, since: g.inForceSince(old, document), services: g.updateServices(ctx, old, document)}
	backends := g.updateBackends(next, evacuated)
	g.table.Store(next)
	g.logApplied(old, next)
	for name, s := range old.services {
		if next.services[name] != s {
			g.replaced.Go(s.stop)
		}
	}
	if g.state.Fresh(nil) && !g.ready.Load() {
		g.ready.Store(true)
		g.log.Info(logevent.ProxyReady, logevent.KeyVersion, document.Version, logevent.KeyBackends, backends)
	}
}

// inForceSince returns when a configuration's version came into force: with the old table if it has the same version,
// or now.
func (g *Gateway) inForceSince(old *routingTable, document *configuration.Document) time.Time {
	if old.document != nil && old.document.Version == document.Version {
		return old.since
	}
	return time.Now()
}

// logApplied logs that a new configuration has come into force. The first one is logged with readiness.
func (g *Gateway) logApplied(old, next *routingTable) {
	if old.document == nil || old.document.Version == next.document.Version {
		return
	}
	revision, _ := g.state.Position()
	g.log.Info(logevent.ConfigurationApplied, logevent.KeyVersion, next.document.Version, logevent.KeyPreviousVersion, old.document.Version,
		logevent.KeyRevision, revision, logevent.KeyAge, next.since.Sub(old.since), logevent.KeyFresh, g.state.Fresh(nil))
}

// readState returns the current configuration, nil if there is none, and the evacuated zones.
func (g *Gateway) readState() (*configuration.Document, map[string]bool) {
	var document *configuration.Document
	evacuated := map[string]bool{}
	g.state.ReadState(func(m *state.Machine) {
		document = m.Document()
		for _, zone := range m.EvacuatedZones() {
			evacuated[zone] = true
		}
	})
	return document, evacuated
}

// updateServices returns the services of a configuration: running ones with that configuration, and newly started ones.
func (g *Gateway) updateServices(ctx context.Context, old *routingTable, document *configuration.Document) map[string]*service {
	services := map[string]*service{}
	proxies := g.state.NodeCount()
	for i := range document.Services {
		cfg := &document.Services[i]
		if s := g.updateService(ctx, old.services[cfg.Name], cfg, classesOf(document, cfg.Name), proxies); s != nil {
			services[cfg.Name] = s
		}
	}
	return services
}

// updateService configures a running service, or starts one; nil if there is none.
func (g *Gateway) updateService(ctx context.Context, running *service, cfg *configuration.Service, classes []balancer.Class, proxies int) *service {
	if len(classes) == 0 {
		return running // its pending requests go on
	}
	if running != nil && running.servesModels == (cfg.Engine != nil) {
		running.configure(cfg, classes, proxies, g.log)
		return running
	}
	started, err := g.newService(ctx, cfg, classes, proxies)
	if err != nil {
		g.log.Error(err, logevent.ServiceStartFailed, logevent.KeyService, cfg.Name)
		return nil
	}
	return started
}

// updateBackends sets the backends of the services whose membership has changed, and returns the number of all backends.
func (g *Gateway) updateBackends(next *routingTable, evacuated map[string]bool) int {
	// The revisions are read before the backends: a change in between is then applied again by the next update.
	versions := map[*service]membershipVersion{}
	for name, s := range next.services {
		versions[s] = membershipVersion{set: true, revision: g.state.ServiceRevision(name), evacuated: strings.Join(slices.Sorted(maps.Keys(evacuated)), " ")}
	}
	backends := g.state.Backends()
	next.loaded = loadedModels(backends, evacuated)
	for _, s := range next.services {
		if s.membership == versions[s] {
			continue
		}
		s.membership = versions[s]
		s.setBackends(backends, g.identity, evacuated)
	}
	return len(backends)
}
