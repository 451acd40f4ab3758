package placement

import (
	"slices"
	"time"
)

// backendState is what the planner keeps of one backend.
type backendState struct {
	id          string
	zone        string
	usable      bool
	reported    bool // asked since this planner began, so that its revision is known
	revision    uint64
	loaded      map[string]map[string]bool // adapters by model
	loadedSince map[string]time.Duration   // when each model was seen there first
	everLoaded  map[string]bool            // models that were loaded before: they come from its own disk

	pending   *Order        // the order that it carries out; nil: none
	pendingAt time.Duration // when that was issued, or accepted where it was
	accepted  bool          // the backend has accepted it

	reservedModel string // the model that memory is being freed for; "": none
	reservedAt    time.Duration
	backoffUntil  time.Duration // after an order that failed or was rejected
}

func newBackendState(id string) *backendState {
	return &backendState{id: id, everLoaded: map[string]bool{}, loadedSince: map[string]time.Duration{}}
}

// setLoaded sets what the backend has loaded: adapters by model.
func (b *backendState) setLoaded(now time.Duration, loaded map[string][]string) {
	b.loaded = map[string]map[string]bool{}
	for model, adapters := range loaded {
		set := map[string]bool{}
		for _, name := range adapters {
			set[name] = true
		}
		b.loaded[model] = set
		b.everLoaded[model] = true
		if _, known := b.loadedSince[model]; !known {
			b.loadedSince[model] = now
		}
	}
	for model := range b.loadedSince {
		if b.loaded[model] == nil {
			delete(b.loadedSince, model)
		}
	}
}

// loadedNames gives what the backend has loaded, adapters by model, sorted.
func (b *backendState) loadedNames() map[string][]string {
	loaded := map[string][]string{}
	for model, adapters := range b.loaded {
		names := []string{}
		for name := range adapters {
			names = append(names, name)
		}
		slices.Sort(names)
		loaded[model] = names
	}
	return loaded
}

func (b *backendState) adapterCount() int {
	count := 0
	for _, adapters := range b.loaded {
		count += len(adapters)
	}
	return count
}

// acceptsOrders tells whether the backend can get an order now.
func (b *backendState) acceptsOrders(now time.Duration) bool {
	return b.usable && b.reported && b.pending == nil && now >= b.backoffUntil
}

// awaitsAnswer tells whether the answer to an order is outstanding.
func (b *backendState) awaitsAnswer(now time.Duration) bool {
	return b.pending != nil && !b.accepted && now-b.pendingAt <= unansweredTimeout
}

// recordBusy records that the backend carries out the last of so many orders. If that is not the pending one, what it will
// have loaded is not known, and it gets no order before it has reported: the new revision would go with old contents.
func (b *backendState) recordBusy(revision uint64) {
	b.revision = revision
	if b.pending == nil || b.pending.Revision+1 != revision {
		b.reported = false
	}
}

// idle tells whether the backend has neither an order nor a reservation.
func (b *backendState) idle() bool { return b.pending == nil && b.reservedModel == "" }

// isUnloading tells whether the backend is unloading a model.
func (b *backendState) isUnloading(model string) bool {
	return b.pending != nil && b.pending.Operation == Unload && b.pending.Adapter == "" && b.pending.Model == model
}

// incomingModel is the model that the backend is loading, or frees memory for; "" is none.
func (b *backendState) incomingModel() string {
	model := b.reservedModel
	if b.pending != nil && b.pending.Operation == Load && b.pending.Adapter == "" {
		model = b.pending.Model
	}
	if _, loaded := b.loaded[model]; loaded {
		return ""
	}
	return model
}
