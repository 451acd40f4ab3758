// Package prefixcache tracks which models and adapters the model backends have loaded, and how many requests each
// decodes at once, so that requests go where they can run.
//
// The package is pure: no goroutine, no clock, no I/O. Its Table belongs to one routing advisor
// (internal/dataplane/routing), which replaces it with each change of the membership; it never chooses a backend.
package prefixcache

import (
	"marlreel/internal/balancer"
)

// LoadedModel is a model that a backend has loaded, with its adapters.
type LoadedModel struct {
	Model    string
	Adapters []string
}

// Backend is what is known of one backend.
type Backend struct {
	ID     balancer.BackendID
	Slots  int
	Loaded []LoadedModel
}

// modelKey identifies a loaded model, or an adapter of it.
type modelKey struct{ model, adapter string }

// Table holds what is known of all backends. Not safe for concurrent use.
type Table struct {
	modelBackends bool // the backends serve models
	slots         map[balancer.BackendID]int
	replicas      map[modelKey]map[balancer.BackendID]bool

	// Cached replicas for the needs of the last call: a selection asks about the same request for each backend.
	cachedNeeds    *balancer.Needs
	cachedReplicas map[balancer.BackendID]bool
}

// New returns an empty table; modelBackends says that the backends serve models.
func New(modelBackends bool) *Table { return &Table{modelBackends: modelBackends} }

// Replace sets the contents of the table to the given backends.
func (t *Table) Replace(backends []Backend) {
	t.cachedNeeds, t.cachedReplicas = nil, nil
	t.slots = make(map[balancer.BackendID]int, len(backends))
	t.replicas = map[modelKey]map[balancer.BackendID]bool{}
	for _, b := range backends {
		t.slots[b.ID] = b.Slots
		for _, loaded := range b.Loaded {
			t.add(modelKey{loaded.Model, ""}, b.ID)
			for _, name := range loaded.Adapters {
				t.add(modelKey{loaded.Model, name}, b.ID)
			}
		}
	}
}

func (t *Table) add(key modelKey, id balancer.BackendID) {
	replicas := t.replicas[key]
	if replicas == nil {
		replicas = map[balancer.BackendID]bool{}
		t.replicas[key] = replicas
	}
	replicas[id] = true
}

// CanServe reports whether a backend may serve a request with the given needs: it is not the one to avoid, and has
// loaded the model, and the adapter if one is needed.
func (t *Table) CanServe(needs *balancer.Needs, id balancer.BackendID) bool {
	if needs == nil {
		return true
	}
	if needs.Avoid == id && id != 0 {
		return false
	}
	if !t.modelBackends || needs.Model == "" {
		return true
	}
	if t.cachedNeeds != needs {
		t.cachedNeeds, t.cachedReplicas = needs, t.replicas[modelKey{needs.Model, needs.Adapter}]
	}
	return t.cachedReplicas[id]
}

// Slots returns how many requests a backend executes at once; 0: unknown.
func (t *Table) Slots(id balancer.BackendID) int { return t.slots[id] }
