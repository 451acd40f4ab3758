package placement

import (
	"slices"
	"time"
)

// backendState is the planner's state of one backend.
type backendState struct {
	id          string
	zone        string
	usable      bool
	reported    bool // revision and loaded models are known from a report to this planner
	revision    uint64
	loaded      map[string]map[string]bool // adapters by model
	loadedSince map[string]time.Duration   // when each loaded model was first seen there
	everLoaded  map[string]bool            // models loaded there at any time: a new load comes from the backend's own disk

	pending   *Order        // the order in progress; nil: none
	pendingAt time.Duration // when pending was issued or, once accepted, when it was accepted
	accepted  bool          // the backend has accepted pending

	reservedModel string // the model that memory is being freed for; "": none
	reservedAt    time.Duration
	backoffUntil  time.Duration // set after an order that failed or was rejected
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

// loadedNames returns what the backend has loaded: sorted adapters by model.
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

// acceptsOrders reports whether the backend can be given an order now.
func (b *backendState) acceptsOrders(now time.Duration) bool {
	return b.usable && b.reported && b.pending == nil && now >= b.backoffUntil
}

// awaitsAnswer reports whether the response to the pending order is outstanding.
func (b *backendState) awaitsAnswer(now time.Duration) bool {
	return b.pending != nil && !b.accepted && now-b.pendingAt <= unansweredTimeout
}

// recordBusy records that the backend is carrying out the last of the revision orders it has accepted. If that is not the
// pending one, its loaded models after the order are not known. It then gets no order until its next report: an order
// would pair the new revision with an outdated list of loaded models.
func (b *backendState) recordBusy(revision uint64) {
	b.revision = revision
	if b.pending == nil || b.pending.Revision+1 != revision {
		b.reported = false
	}
}

// idle reports whether the backend has neither an order nor a reservation.
func (b *backendState) idle() bool { return b.pending == nil && b.reservedModel == "" }

// isUnloading reports whether the backend is unloading a model.
func (b *backendState) isUnloading(model string) bool {
	return b.pending != nil && b.pending.Operation == Unload && b.pending.Adapter == "" && b.pending.Model == model
}

// incomingModel returns the model that the backend is loading or freeing memory for; "" if none.
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
