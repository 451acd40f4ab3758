package watch

import (
	"slices"
	"strings"
	"time"

	"marlreel/internal/api"
)

const (
	// maxDepartures is how many backends that left are remembered for subscribers that lag. One that lags further gets
	// the complete list of backends: raising this costs some 50 bytes each, lowering it larger replies after a mass exit.
	maxDepartures = 2048
	// warmupTolerance is how much earlier than expected a warm-up may end before that counts as a change. Raising it
	// hides shortened warm-ups from the proxies, lowering it makes the jitter of heartbeats a change each.
	warmupTolerance = 400 * time.Millisecond
)

// backendRecord is what a backend said last. Its age and the rest of its warm-up are as of lastSeen.
type backendRecord struct {
	backend  *api.Backend
	lastSeen time.Time
	revision uint64 // of the last change
}

// departure is a backend that left, at a revision.
type departure struct {
	id       string
	service  string
	revision uint64
}

// RecordBackend records a backend's report on itself. It reports whether that changed anything.
func (s *Store) RecordBackend(b *api.Backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recordBackend(b) {
		return false
	}
	s.publish()
	return true
}

func (s *Store) recordBackend(b *api.Backend) bool {
	if s.machine.IsRetired(b.Id) {
		return false
	}
	lastSeen := s.now().Add(-time.Duration(b.AgeMs) * time.Millisecond)
	old := s.backends[b.Id]
	if old == nil {
		s.setBackend(b, lastSeen)
		return true
	}
	if b.CallSequence < old.backend.CallSequence {
		return false // it was overtaken by a later report
	}
	if !sameBackend(old.backend, b) {
		s.setBackend(b, lastSeen)
		return true
	}
	old.backend.CallSequence = b.CallSequence
	if lastSeen.After(old.lastSeen) {
		old.lastSeen, old.backend.WarmupLeftMs = lastSeen, b.WarmupLeftMs
	}
	return false
}

// setBackend keeps a changed backend, to be published.
func (s *Store) setBackend(b *api.Backend, lastSeen time.Time) {
	s.backends[b.Id] = &backendRecord{b, lastSeen, s.nextRevision()}
	s.serviceRevision[b.Service] = s.nextRevision()
}

// sameBackend reports whether a later report b of a backend says nothing new after a.
func sameBackend(a, b *api.Backend) bool {
	drift := int(a.WarmupLeftMs) - int(b.WarmupLeftMs)
	warmsUp := a.WarmupLeftMs > 0
	if warmsUp != (b.WarmupLeftMs > 0) || drift < -int(warmupTolerance.Milliseconds()) {
		return false
	}
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b *api.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// RefreshBackend records that a backend was in contact at an age before now, and has nothing new to say. It reports
// false where the backend is not known, so that the caller asks for its whole report.
func (s *Store) RefreshBackend(id string, callSequence uint64, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.backends[id]
	if record == nil {
		return s.machine.IsRetired(id)
	}
	lastSeen := s.now().Add(-age)
	if lastSeen.After(record.lastSeen) {
		record.lastSeen = lastSeen
	}
	record.backend.CallSequence = max(record.backend.CallSequence, callSequence)
	return true
}

// NewObservation returns an observation of what a backend has loaded: adapters by model.
func NewObservation(id string, loaded map[string][]string) *api.Observation {
	o := &api.Observation{Id: id}
	for model, adapters := range loaded {
		o.Models = append(o.Models, &api.LoadedModel{Name: model, Adapters: adapters})
	}
	slices.SortFunc(o.Models, func(a, b *api.LoadedModel) int { return strings.Compare(a.Name, b.Name) })
	return o
}

// RecordObservation records what a backend has loaded, as observed by the placement reconciler that gives it orders. It
// is no contact with the backend as heartbeats are. It reports whether that changed anything; of a backend that is not
// known nothing is recorded.
func (s *Store) RecordObservation(o *api.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.backends[o.Id]
	if record == nil {
		return false
	}
	next := backendAt(record, s.now())
	next.AgeMs = 0
	next.WarmupLeftMs = record.backend.WarmupLeftMs
	next.Models = o.Models
	if sameBackend(record.backend, next) {
		return false
	}
	s.setBackend(next, record.lastSeen)
	s.publish()
	return true
}

// ExpireBackends removes the backends for which expired says so, by the time since their last contact.
func (s *Store) ExpireBackends(expired func(b *api.Backend, sinceLastSeen time.Duration) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, removed := s.now(), false
	for id, record := range s.backends {
		if expired(record.backend, now.Sub(record.lastSeen)) {
			s.removeBackend(id)
			removed = true
		}
	}
	if removed {
		s.publish()
	}
}

// removeRetired removes the backends that have announced their end, by the replicated state.
func (s *Store) removeRetired() {
	for id := range s.backends {
		if s.machine.IsRetired(id) {
			s.removeBackend(id)
		}
	}
}

// removeBackend removes a known backend, to be published, and remembers its departure.
func (s *Store) removeBackend(id string) {
	service := s.backends[id].backend.Service
	delete(s.backends, id)
	s.serviceRevision[service] = s.nextRevision()
	s.departures = append(s.departures, departure{id, service, s.nextRevision()})
	extra := len(s.departures) - maxDepartures
	if extra > 0 {
		s.departuresTrimmedTo = s.departures[extra-1].revision
		s.departures = slices.Clone(s.departures[extra:])
	}
}

// Backends returns copies of all backends in the order of their ids, with their ages and warm-ups as of now.
func (s *Store) Backends() []*api.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendsSince(0, nil)
}

// BackendsChangedSince returns the backends that have changed since a revision, and the newest revision.
func (s *Store) BackendsChangedSince(revision uint64) ([]*api.Backend, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendsSince(revision, nil), s.revision
}

// ServiceRevision returns the revision at which a service's backends last changed.
func (s *Store) ServiceRevision(service string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceRevision[service]
}

func (s *Store) backendsSince(revision uint64, topics Topics) []*api.Backend {
	now := s.now()
	var backends []*api.Backend
	for _, record := range s.backends {
		if record.revision > revision && topics.IncludesService(record.backend.Service) {
			backends = append(backends, backendAt(record, now))
		}
	}
	slices.SortFunc(backends, func(a, b *api.Backend) int { return strings.Compare(a.Id, b.Id) })
	return backends
}

// departedSince returns the ids of the backends that have left since a revision and are not back.
func (s *Store) departedSince(revision uint64, topics Topics) []string {
	var ids []string
	for _, d := range s.departures {
		if d.revision > revision && topics.IncludesService(d.service) && s.backends[d.id] == nil {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// backendAt copies a record's backend, with its age and the rest of its warm-up at a time.
func backendAt(record *backendRecord, now time.Time) *api.Backend {
	b := record.backend
	age := max(0, now.Sub(record.lastSeen))
	warmupLeftMs := max(0, int64(b.WarmupLeftMs)-age.Milliseconds())
	return &api.Backend{
		Id: b.Id, Service: b.Service, Address: b.Address, Zone: b.Zone, Software: b.Software, Slots: b.Slots,
		Draining: b.Draining, WarmupLeftMs: uint32(warmupLeftMs), Models: b.Models, CallSequence: b.CallSequence,
		AgeMs: uint32(age.Milliseconds()),
	}
}
