package watch

import (
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

// Store holds the newest known version of all watched data. Its methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	now      func() time.Time
	source   string // identifies this store, and the incarnation of its process, to subscribers
	revision uint64
	changed  chan struct{} // closed at the next revision
	isRelay  bool          // the store is filled from other stores: see BatchAsRelay

	machine  *state.Machine // the replicated state after the entry at sequence
	sequence uint64
	hash     uint64
	log      entryLog
	encoded  *encodedSnapshot // the snapshot last served in chunks; nil: none was

	lastChunk time.Time // when the last valid chunk of a snapshot was received

	backends            map[string]*backendRecord // by id
	departures          []departure               // the most recent ones, oldest first
	departuresTrimmedTo uint64                    // subscribers at an earlier revision need the complete list
	nodes               map[string]*nodeRecord    // by name
	controlNodes        []*api.ControlNode
	statuses            statusTable

	// The revisions at which the parts selected by topics last changed. stateRevision covers the replicated state and the
	// control processes.
	stateRevision   uint64
	nodesRevision   uint64
	serviceRevision map[string]uint64
	statusRevision  uint64
}

// New returns an empty store. source must be different for each incarnation of a process that others subscribe to: a
// subscriber that finds a new source starts over, as the revisions of two stores can't be compared.
func New(source string, now func() time.Time) *Store {
	return &Store{
		source: source, changed: make(chan struct{}), machine: state.New(), now: now,
		backends: map[string]*backendRecord{}, nodes: map[string]*nodeRecord{}, serviceRevision: map[string]uint64{},
		statuses: statusTable{byTopic: map[Topic]SourceStatus{}},
	}
}

// nextRevision returns the revision in which a change that is not yet published will become visible.
func (s *Store) nextRevision() uint64 { return s.revision + 1 }

// publish starts the next revision and wakes the goroutines that wait for it.
func (s *Store) publish() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// publishState is publish after a change of the replicated state or the control processes.
func (s *Store) publishState() {
	s.stateRevision = s.nextRevision()
	s.publish()
}

// Changed returns a channel that is closed at the next revision.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Revision returns the number of the newest revision. Each change that may concern subscribers starts a new one.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// lastChange returns the revision at which the data selected by the topics last changed.
func (s *Store) lastChange(topics Topics) uint64 {
	if topics.All() {
		return s.revision
	}
	last := s.statusRevision
	if topics.IncludesState() {
		last = max(last, s.stateRevision, s.nodesRevision)
	}
	for service, revision := range s.serviceRevision {
		if topics.IncludesService(service) {
			last = max(last, revision)
		}
	}
	return last
}
