// Package residency knows what model backends hold: models, adapters, and the parts of
// prompts that they have read lately. By it requests go where they can run, and where
// the least of their prompt is still to be read.
//
// It is pure: no goroutine, no clock, no input or output.
package residency

import (
	"marlreel"
)

// Held is a model that a backend holds, with its adapters.
type Held struct {
	Model    string
	Adapters []string
}

// Backend is what is known of one backend.
type Backend struct {
	ID    marlreel.BackendID
	Slots int
	Held  []Held
}

type backend struct {
	slots int
	held  map[string]map[string]bool // adapters by model
}

// Table is what is known of all backends. Not safe for concurrent use.
type Table struct {
	engines  bool // the backends are model backends
	backends map[marlreel.BackendID]*backend
}

// New makes an empty table; engines says that the backends hold models.
func New(engines bool) *Table {
	return &Table{engines: engines, backends: map[marlreel.BackendID]*backend{}}
}

// Set makes the table that of a list of backends.
func (t *Table) Set(list []Backend) {
	known := map[marlreel.BackendID]bool{}
	for _, b := range list {
		known[b.ID] = true
		held := make(map[string]map[string]bool, len(b.Held))
		for _, h := range b.Held {
			adapters := make(map[string]bool, len(h.Adapters))
			for _, name := range h.Adapters {
				adapters[name] = true
			}
			held[h.Model] = adapters
		}
		old := t.backends[b.ID]
		if old == nil {
			old = &backend{}
			t.backends[b.ID] = old
		}
		old.slots, old.held = b.Slots, held
	}
	for id := range t.backends {
		if !known[id] {
			delete(t.backends, id)
		}
	}
}

// Holds tells whether a backend holds the model, and the adapter if one is needed.
func (t *Table) Holds(needs *marlreel.Needs, id marlreel.BackendID) bool {
	if needs == nil {
		return true
	}
	if needs.Avoid == id && id != 0 {
		return false
	}
	if !t.engines || needs.Model == "" {
		return true
	}
	b := t.backends[id]
	if b == nil {
		return false
	}
	adapters, holds := b.held[needs.Model]
	return holds && (needs.Adapter == "" || adapters[needs.Adapter])
}

// Anywhere tells whether any backend holds what is needed.
func (t *Table) Anywhere(needs *marlreel.Needs) bool {
	for id := range t.backends {
		if t.Holds(needs, id) {
			return true
		}
	}
	return false
}

// Slots is how many requests a backend works on at once; 0 is not known.
func (t *Table) Slots(id marlreel.BackendID) int {
	if b := t.backends[id]; b != nil {
		return b.slots
	}
	return 0
}
