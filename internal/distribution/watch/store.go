// Package watch holds what processes that carry traffic are told: the replicated
// state, the backends, and the nodes, each with the revision at which it last
// changed. A Store is filled by whoever knows (a control process), or from the feed
// of another one (an agent, a proxy), and serves what a reader lacks.
package watch

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

const (
	// mostEntries is how many of the last entries are kept for readers that lag.
	mostEntries = 256
	// mostEntryBytes bounds these entries; the last one is kept whatever its size.
	mostEntryBytes = 1 << 20
)

// Store is the newest that is known. All methods may be called by any goroutine.
type Store struct {
	mu            sync.Mutex
	source        string
	revision      uint64
	changed       chan struct{} // closed at the next change
	machine       *state.Machine
	sequence      uint64
	hash          uint64
	entries       []*api.Entry // the last ones, up to sequence
	entrySizes    []int        // their bytes in a message, and the sum of them
	entryBytes    int
	encoded       *encodedState // as it was served in parts last; nil: it was not
	backends      map[string]*backendRecord
	departed      []departure
	forgottenUpTo uint64 // readers that know less need all
	nodes         map[string]*nodeRecord
	nodesRevision uint64
	standings     standings
	controls      []*api.ControlNode
	now           func() time.Time

	// The revisions at which the parts that are followed by themselves last changed.
	stateRevision    uint64
	serviceRevision  map[string]uint64
	standingRevision uint64
}

// New makes an empty store. source names this life of the process.
func New(source string, now func() time.Time) *Store {
	return &Store{
		source: source, changed: make(chan struct{}), machine: state.New(), now: now,
		backends: map[string]*backendRecord{}, nodes: map[string]*nodeRecord{}, serviceRevision: map[string]uint64{},
		standings: standings{parts: map[Topic]SourceStatus{}},
	}
}

// touch begins a new revision.
func (s *Store) touch() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// touchState begins a new revision, in which the replicated state, the nodes or the control
// processes have changed.
func (s *Store) touchState() {
	s.stateRevision = s.revision + 1
	s.touch()
}

// Changed is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Position is how far the replicated state is known.
func (s *Store) Position() (sequence, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence, s.hash
}

// ReadState calls read with the state, which must not be kept nor changed.
func (s *Store) ReadState(read func(m *state.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.machine)
}

// SetSourceStatus says what all that this store knows is worth.
func (s *Store) SetSourceStatus(standing SourceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setStanding(nil, standing) {
		s.touch()
	}
}

func (s *Store) setStanding(topics Topics, standing SourceStatus) (changed bool) {
	if !s.standings.set(topics, standing) {
		return false
	}
	s.standingRevision = s.revision + 1
	return true
}

// RetainTopics says which topics are still followed.
func (s *Store) RetainTopics(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standings.keep(topics) {
		s.standingRevision = s.revision + 1
		s.touch()
	}
}

// newest is the revision of the last change of what a reader follows.
func (s *Store) newest(topics Topics) uint64 {
	if topics.All() {
		return s.revision
	}
	last := s.standingRevision
	if topics.IncludesState() {
		last = max(last, s.stateRevision)
	}
	for service, revision := range s.serviceRevision {
		if topics.IncludesService(service) {
			last = max(last, revision)
		}
	}
	return last
}

// AppendEntries takes committed entries in.
func (s *Store) AppendEntries(entries []*api.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(entries)
}

func (s *Store) append(entries []*api.Entry) {
	grown := false
	for _, entry := range entries {
		if entry.Sequence != s.sequence+1 {
			continue
		}
		s.machine.Apply(entry)
		s.sequence, s.hash = entry.Sequence, entry.Hash
		size := proto.Size(entry)
		s.entries, s.entrySizes, s.entryBytes = append(s.entries, entry), append(s.entrySizes, size), s.entryBytes+size
		grown = true
	}
	s.dropOldEntries()
	if grown {
		s.dropRetired()
		s.touchState()
	}
}

// dropOldEntries keeps what is kept for readers that lag within its bounds.
func (s *Store) dropOldEntries() {
	extra := 0
	for extra < len(s.entries)-1 && (len(s.entries)-extra > mostEntries || s.entryBytes > mostEntryBytes) {
		s.entryBytes -= s.entrySizes[extra]
		extra++
	}
	if extra > 0 {
		s.entries, s.entrySizes = slices.Clone(s.entries[extra:]), slices.Clone(s.entrySizes[extra:])
	}
}

// InstallSnapshot sets the replicated state, unless what is known is newer.
func (s *Store) InstallSnapshot(sequence, hash uint64, from *api.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset(sequence, hash, from)
}

func (s *Store) reset(sequence, hash uint64, from *api.State) {
	if sequence < s.sequence || sequence == s.sequence && hash == s.hash {
		return
	}
	s.machine.Restore(from)
	s.sequence, s.hash = sequence, hash
	s.entries, s.entrySizes, s.entryBytes = nil, nil, 0
	s.dropRetired()
	s.touchState()
}

// MarkStale notes that no source of some topics answers: what is known of them may be old.
func (s *Store) MarkStale(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := s.standings.of(topics)
	standing.Fresh = false
	if s.setStanding(topics, standing) {
		s.touch()
	}
}
