package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Model is a model that may be loaded.
type Model struct {
	Name          string
	SizeMB        float64
	LoadTime      time.Duration // from the store
	AdapterSizeMB float64       // of each of its adapters
}

// Service is the configuration of a service's model backends.
type Service struct {
	Models            map[string]Model // by name
	CapacityMB        float64          // memory of a backend for models and adapters; 0: nothing is planned
	MaxAdapters       int              // adapters that one backend can have loaded
	MaxLoadsPerSecond float64          // from the store, of all backends together
}

// Backend is the state of a backend according to its heartbeats.
type Backend struct {
	ID     string
	Zone   string
	Usable bool                // it may be given orders
	Loaded map[string][]string // adapters by model
}

// Operation is the action that an order requests.
type Operation int

// The operations.
const (
	Load Operation = iota
	Unload
)

// Order is an order to a backend.
type Order struct {
	Backend   string
	Operation Operation
	Key
	Revision uint64 // the backend carries out the order only if it has accepted this many before
}

// Planner plans the placement for the backends of one service. It is not safe for concurrent use. Times are durations
// since a reference time that the caller chooses, the same in all calls.
type Planner struct {
	service        Service
	weights        weights
	knownModels    map[string]Model // configured, or configured before and still loaded somewhere
	backends       map[string]*backendState
	sorted         []*backendState // all backends by id; rebuilt if its length differs from that of backends
	demands        map[Key]*demandRecord
	sortedKeys     []Key                      // of all demands; nil: must be rebuilt
	filters        map[string]*rateFilter     // by model
	profiles       map[string]*requestProfile // by model
	startedAt      time.Duration
	slopeDeviation float64 // of request rates, in requests a second a second
	storeLoads     tokenBucket

	// State of the plan in progress.
	snapshot  *snapshot
	evictions map[*backendState]*evictionOptions
}

// New returns a planner without knowledge of earlier demand, backends or orders.
func New(now time.Duration) *Planner {
	return &Planner{
		weights: defaultWeights(), knownModels: map[string]Model{}, backends: map[string]*backendState{},
		demands: map[Key]*demandRecord{}, filters: map[string]*rateFilter{}, profiles: map[string]*requestProfile{},
		slopeDeviation: minRate, startedAt: now, storeLoads: tokenBucket{updatedAt: now},
		evictions: map[*backendState]*evictionOptions{},
	}
}

// Configure sets the configuration. The sizes of models that were removed from it are kept while a backend has them
// loaded.
func (p *Planner) Configure(s Service) {
	p.service = s
	known := map[string]Model{}
	maps.Copy(known, s.Models)
	for _, b := range p.backends {
		for name := range b.loaded {
			if _, configured := known[name]; configured {
				continue
			}
			if m, before := p.knownModels[name]; before {
				known[name] = m
			}
		}
	}
	p.knownModels = known
}

// loadedSizeMB returns the memory that a loaded model takes with a number of adapters, according to the last
// configuration that contained it. A model that no configuration contained is assumed to take the whole memory.
func (p *Planner) loadedSizeMB(model string, adapters int) float64 {
	m, known := p.knownModels[model]
	if !known {
		return p.service.CapacityMB
	}
	return m.SizeMB + float64(adapters)*m.AdapterSizeMB
}

// SetBackends sets the list of backends, with their state from heartbeats. Backends that are not listed are dropped.
func (p *Planner) SetBackends(now time.Duration, backends []Backend) {
	listed := map[string]bool{}
	for _, l := range backends {
		listed[l.ID] = true
		b := p.backends[l.ID]
		if b == nil {
			b = newBackendState(l.ID)
			p.backends[l.ID], p.sorted = b, nil
		}
		b.usable, b.zone = l.Usable, l.Zone
		if !b.reported {
			b.setLoaded(now, l.Loaded)
		}
	}
	for id := range p.backends {
		if !listed[id] {
			delete(p.backends, id)
			p.sorted = nil
		}
	}
}

// UnknownBackends returns the sorted ids of the usable backends that must report before they are given orders.
func (p *Planner) UnknownBackends() []string {
	var ids []string
	for id, b := range p.backends {
		if b.usable && !b.reported {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sortedBackends returns all backends, sorted by id. The caller must not change the slice.
func (p *Planner) sortedBackends() []*backendState {
	if len(p.sorted) != len(p.backends) {
		p.sorted = p.sorted[:0]
		for _, b := range p.backends {
			p.sorted = append(p.sorted, b)
		}
		slices.SortFunc(p.sorted, func(x, y *backendState) int { return cmp.Compare(x.id, y.id) })
	}
	return p.sorted
}

// usedMB returns the memory in use at a backend.
func (p *Planner) usedMB(b *backendState) float64 {
	used := 0.0
	for name, adapters := range b.loaded {
		used += p.loadedSizeMB(name, len(adapters))
	}
	return used
}
