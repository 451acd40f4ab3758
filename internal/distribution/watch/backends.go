package watch

import (
	"slices"
	"strings"
	"time"

	"marlreel/internal/api"
)

const (
	// maxDepartures is the number of departed backends that are kept for lagging subscribers. A subscriber that lags
	// further gets the complete list of backends. Raising it costs some 50 bytes per departure; lowering it makes replies
	// larger after a mass exit.
	maxDepartures = 2048
	// warmupTolerance is how much earlier than expected a warm-up may end before that counts as a change. Raising it
	// hides shortened warm-ups from the proxies, lowering it makes the jitter of heartbeats a change each.
	warmupTolerance = 400 * time.Millisecond
)

// backendRecord is the last report of a backend. The remaining warm-up in it is as of lastSeen.
type backendRecord struct {
	backend  *api.Backend
	lastSeen time.Time
	revision uint64 // of the last change
}

// departure is a backend that was removed at a revision.
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
		return false // a later report has already arrived
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

// setBackend stores a new or changed backend. The caller publishes.
func (s *Store) setBackend(b *api.Backend, lastSeen time.Time) {
	s.backends[b.Id] = &backendRecord{b, lastSeen, s.nextRevision()}
	s.serviceRevision[b.Service] = s.nextRevision()
}

// sameBackend reports whether report b of a backend adds nothing to the earlier report a.
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

// RefreshBackend records that a backend was in contact age ago and that its report has not changed. It returns false if
// the backend is unknown, so that the caller requests a full report.
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

// NewObservation returns an observation of the models that a backend has loaded, given as adapters by model.
func NewObservation(id string, loaded map[string][]string) *api.Observation {
	o := &api.Observation{Id: id}
	for model, adapters := range loaded {
		o.Models = append(o.Models, &api.LoadedModel{Name: model, Adapters: adapters})
	}
	slices.SortFunc(o.Models, func(a, b *api.LoadedModel) int { return strings.Compare(a.Name, b.Name) })
	return o
}

// RecordObservation records the models that a backend has loaded, as observed by the placement reconciler that controls
// it. Unlike a heartbeat it does not update when the backend was last seen. It reports whether anything has changed, and
// ignores backends that are not known.
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

// ExpireBackends removes the backends for which expired returns true. It is called with the time since the last contact.
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

// removeRetired removes the backends that are retired according to the replicated state.
func (s *Store) removeRetired() {
	for id := range s.backends {
		if s.machine.IsRetired(id) {
			s.removeBackend(id)
		}
	}
}

// removeBackend removes a known backend and records its departure. The caller publishes.
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

// Backends returns copies of all backends ordered by id, with their current ages and remaining warm-ups.
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

// departedSince returns the ids of the backends that were removed since a revision and have not returned.
func (s *Store) departedSince(revision uint64, topics Topics) []string {
	var ids []string
	for _, d := range s.departures {
		if d.revision > revision && topics.IncludesService(d.service) && s.backends[d.id] == nil {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// backendAt returns a copy of a record's backend with its age and remaining warm-up at the time now.
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
