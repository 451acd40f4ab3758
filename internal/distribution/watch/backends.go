package watch

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// mostDeparted is how many backends that left are kept for readers that lag.
const mostDeparted = 2048

type backendRecord struct {
	backend  *api.Backend // its age and what is left of its cold start are as of heardAt
	heardAt  time.Time
	revision uint64
}

type departure struct {
	id       string
	service  string
	revision uint64
}

// dropRetired takes backends off the list that have announced their end.
func (s *Store) dropRetired() {
	for id := range s.backends {
		if s.machine.Retired(id) {
			s.depart(id)
		}
	}
}

func (s *Store) depart(id string) {
	service := s.backends[id].backend.Service
	delete(s.backends, id)
	s.serviceRevision[service] = s.revision + 1
	s.departed = append(s.departed, departure{id, service, s.revision + 1})
	if extra := len(s.departed) - mostDeparted; extra > 0 {
		s.forgottenUpTo = s.departed[extra-1].revision
		s.departed = slices.Clone(s.departed[extra:])
	}
}

// RecordBackend takes in what a backend says of itself. It tells whether that was news.
func (s *Store) RecordBackend(b *api.Backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.put(b) {
		return false
	}
	s.touch()
	return true
}

func (s *Store) put(b *api.Backend) bool {
	if s.machine.Retired(b.Id) {
		return false
	}
	heardAt := s.now().Add(-time.Duration(b.AgeMs) * time.Millisecond)
	old := s.backends[b.Id]
	if old != nil && b.CallSequence < old.backend.CallSequence {
		return false // a late call
	}
	if old != nil && sameBackend(old.backend, b) {
		old.backend.CallSequence = b.CallSequence
		if heardAt.After(old.heardAt) {
			old.heardAt, old.backend.WarmupLeftMs = heardAt, b.WarmupLeftMs
		}
		return false
	}
	s.record(b, heardAt)
	return true
}

// record keeps what a backend has newly said.
func (s *Store) record(b *api.Backend, heardAt time.Time) {
	s.backends[b.Id] = &backendRecord{b, heardAt, s.revision + 1}
	s.serviceRevision[b.Service] = s.revision + 1
}

// sameBackend tells whether nothing of note has changed.
func sameBackend(a, b *api.Backend) bool {
	const coldSlackMS = 400
	drift := int(a.WarmupLeftMs) - int(b.WarmupLeftMs)
	if (a.WarmupLeftMs > 0) != (b.WarmupLeftMs > 0) || drift < -coldSlackMS {
		return false
	}
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && slices.EqualFunc(a.Models, b.Models, func(x, y *api.LoadedModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// RefreshBackend notes that a backend lives and has nothing new to say. It tells whether the
// backend is known as it was then.
func (s *Store) RefreshBackend(id string, callSequence uint64, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.backends[id]
	if record == nil {
		return s.machine.Retired(id)
	}
	if heardAt := s.now().Add(-age); heardAt.After(record.heardAt) {
		record.heardAt = heardAt
	}
	record.backend.CallSequence = max(record.backend.CallSequence, callSequence)
	return true
}

// ExpireBackends drops the backends for which lost says so.
func (s *Store) ExpireBackends(lost func(b *api.Backend, silent time.Duration) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, dropped := s.now(), false
	for id, record := range s.backends {
		if lost(record.backend, now.Sub(record.heardAt)) {
			s.depart(id)
			dropped = true
		}
	}
	if dropped {
		s.touch()
	}
}

// Backends gives all backends, their ages and cold times as of now.
func (s *Store) Backends() []*api.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendsSince(0, nil)
}

func (s *Store) backendsSince(revision uint64, topics Topics) []*api.Backend {
	now := s.now()
	var list []*api.Backend
	for _, record := range s.backends {
		if record.revision > revision && topics.IncludesService(record.backend.Service) {
			list = append(list, aged(record, now))
		}
	}
	slices.SortFunc(list, func(a, b *api.Backend) int { return compareStrings(a.Id, b.Id) })
	return list
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// aged is a record as it is now.
func aged(record *backendRecord, now time.Time) *api.Backend {
	b := record.backend
	silent := max(0, now.Sub(record.heardAt))
	left := max(0, int64(b.WarmupLeftMs)-silent.Milliseconds())
	return &api.Backend{
		Id: b.Id, Service: b.Service, Address: b.Address, Zone: b.Zone, Software: b.Software, Slots: b.Slots,
		Draining: b.Draining, WarmupLeftMs: uint32(left), Models: b.Models, CallSequence: b.CallSequence,
		AgeMs: uint32(silent.Milliseconds()),
	}
}

// ServiceRevision is the revision at which a service's backends last changed.
func (s *Store) ServiceRevision(service string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceRevision[service]
}

// BackendsChangedSince gives the backends that have changed since a revision, and the revision now.
func (s *Store) BackendsChangedSince(revision uint64) ([]*api.Backend, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendsSince(revision, nil), s.revision
}

// NewObservation words what a backend holds.
func NewObservation(id string, holds map[string][]string) *api.Observation {
	o := &api.Observation{Id: id}
	for model, adapters := range holds {
		o.Models = append(o.Models, &api.LoadedModel{Name: model, Adapters: adapters})
	}
	slices.SortFunc(o.Models, func(a, b *api.LoadedModel) int { return compareStrings(a.Name, b.Name) })
	return o
}

// RecordObservation takes in what a backend holds, as whoever gives it orders has seen. It tells
// whether that was news.
func (s *Store) RecordObservation(o *api.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.backends[o.Id]
	if record == nil {
		return false
	}
	next := aged(record, s.now())
	next.AgeMs = 0
	next.WarmupLeftMs = record.backend.WarmupLeftMs
	next.Models = o.Models
	if sameBackend(record.backend, next) {
		return false
	}
	s.record(next, record.heardAt)
	s.touch()
	return true
}
