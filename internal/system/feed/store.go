// Package feed holds what processes that carry traffic are told: the replicated
// state, the backends, and the nodes, each with the revision at which it last
// changed. A Store is filled by whoever knows (a control process), or from the feed
// of another one (an agent, a proxy), and serves what a reader lacks.
package feed

import (
	"slices"
	"sync"
	"time"

	"marlreel/internal/system/api"
	"marlreel/internal/system/state"
)

const (
	// mostEntries is how many of the last entries are kept for readers that lag.
	mostEntries = 256
	// mostDeparted is how many backends that left are kept for them.
	mostDeparted = 2048
)

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

type nodeRecord struct {
	node    *api.Node
	heardAt time.Time
}

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
	return &Store{source: source, changed: make(chan struct{}), machine: state.New(), now: now,
		backends: map[string]*backendRecord{}, nodes: map[string]*nodeRecord{}, serviceRevision: map[string]uint64{},
		standings: standings{parts: map[Topic]Standing{}}}
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

// View calls read with the state, which must not be kept nor changed.
func (s *Store) View(read func(m *state.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.machine)
}

// SetStanding says what all that this store knows is worth.
func (s *Store) SetStanding(standing Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setStanding(nil, standing) {
		s.touch()
	}
}

func (s *Store) setStanding(topics Topics, standing Standing) (changed bool) {
	if !s.standings.set(topics, standing) {
		return false
	}
	s.standingRevision = s.revision + 1
	return true
}

// Keep says which topics are still followed.
func (s *Store) Keep(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standings.keep(topics) {
		s.standingRevision = s.revision + 1
		s.touch()
	}
}

// newest is the revision of the last change of what a reader follows.
func (s *Store) newest(topics Topics) uint64 {
	if topics.Whole() {
		return s.revision
	}
	last := s.standingRevision
	if topics.State() {
		last = max(last, s.stateRevision)
	}
	for service, revision := range s.serviceRevision {
		if topics.Service(service) {
			last = max(last, revision)
		}
	}
	return last
}

// Append takes committed entries in.
func (s *Store) Append(entries []*api.Entry) {
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
		s.entries = append(s.entries, entry)
		grown = true
	}
	if extra := len(s.entries) - mostEntries; extra > 0 {
		s.entries = slices.Clone(s.entries[extra:])
	}
	if grown {
		s.dropRetired()
		s.touchState()
	}
}

// Reset sets the replicated state, unless what is known is newer.
func (s *Store) Reset(sequence, hash uint64, from *api.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset(sequence, hash, from)
}

func (s *Store) reset(sequence, hash uint64, from *api.State) {
	if sequence < s.sequence || sequence == s.sequence && hash == s.hash {
		return
	}
	s.machine.Restore(from)
	s.sequence, s.hash, s.entries = sequence, hash, nil
	s.dropRetired()
	s.touchState()
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

// Put takes in what a backend says of itself. It tells whether that was news.
func (s *Store) Put(b *api.Backend) bool {
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
			old.heardAt, old.backend.ColdLeftMs = heardAt, b.ColdLeftMs
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
	drift := int(a.ColdLeftMs) - int(b.ColdLeftMs)
	if (a.ColdLeftMs > 0) != (b.ColdLeftMs > 0) || drift < -coldSlackMS {
		return false
	}
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && slices.EqualFunc(a.Models, b.Models, func(x, y *api.ModelHeld) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// Seen notes that a backend lives and has nothing new to say. It tells whether the
// backend is known as it was then.
func (s *Store) Seen(id string, callSequence uint64, age time.Duration) bool {
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

// Expire drops the backends for which lost says so.
func (s *Store) Expire(lost func(b *api.Backend, silent time.Duration) bool) {
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
		if record.revision > revision && topics.Service(record.backend.Service) {
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
	left := max(0, int64(b.ColdLeftMs)-silent.Milliseconds())
	return &api.Backend{Id: b.Id, Service: b.Service, Address: b.Address, Zone: b.Zone, Software: b.Software, Slots: b.Slots,
		Draining: b.Draining, ColdLeftMs: uint32(left), Models: b.Models, CallSequence: b.CallSequence,
		AgeMs: uint32(silent.Milliseconds())}
}

// PutNode notes that a node lives.
func (s *Store) PutNode(n *api.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.putNode(n) {
		s.nodesRevision = s.revision + 1
		s.touchState()
	}
}

func (s *Store) putNode(n *api.Node) (news bool) {
	heardAt := s.now().Add(-time.Duration(n.AgeMs) * time.Millisecond)
	old := s.nodes[n.Name]
	if old != nil && old.node.Incarnation == n.Incarnation && old.node.Address == n.Address && (old.node.Leaving || !n.Leaving) {
		if heardAt.After(old.heardAt) {
			old.heardAt = heardAt
		}
		return false
	}
	if old != nil && old.heardAt.After(heardAt) {
		return false // word of an earlier life
	}
	s.nodes[n.Name] = &nodeRecord{n, heardAt}
	return true
}

// ExpireNodes drops the nodes that have been silent for so long.
func (s *Store) ExpireNodes(silent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, dropped := s.now(), false
	for name, record := range s.nodes {
		if now.Sub(record.heardAt) > silent {
			delete(s.nodes, name)
			dropped = true
		}
	}
	if dropped {
		s.nodesRevision = s.revision + 1
		s.touchState()
	}
}

// Nodes gives all nodes, in the order of their names.
func (s *Store) Nodes() []*api.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listNodes()
}

func (s *Store) listNodes() []*api.Node {
	now := s.now()
	list := make([]*api.Node, 0, len(s.nodes))
	for _, record := range s.nodes {
		n := record.node
		list = append(list, &api.Node{Name: n.Name, Address: n.Address, Zone: n.Zone, Incarnation: n.Incarnation, Leaving: n.Leaving,
			AgeMs: uint32(max(0, now.Sub(record.heardAt)).Milliseconds())})
	}
	slices.SortFunc(list, func(a, b *api.Node) int { return compareStrings(a.Name, b.Name) })
	return list
}

// NodesChangedSince tells whether a node has come, gone or said something new since a revision.
func (s *Store) NodesChangedSince(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodesRevision > revision
}

// ServiceRevision is the revision at which a service's backends last changed.
func (s *Store) ServiceRevision(service string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceRevision[service]
}

// ChangedSince gives the backends that have changed since a revision, and the revision now.
func (s *Store) ChangedSince(revision uint64) ([]*api.Backend, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendsSince(revision, nil), s.revision
}

// SetControls says where the control processes are.
func (s *Store) SetControls(controls []*api.ControlNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(controls) > 0 && !sameControls(s.controls, controls) {
		s.controls = slices.Clone(controls)
		s.touchState()
	}
}

func sameControls(a, b []*api.ControlNode) bool {
	return slices.EqualFunc(a, b, func(x, y *api.ControlNode) bool {
		return x.Address == y.Address && x.Zone == y.Zone && x.PublicAddress == y.PublicAddress
	})
}

// Controls are the control processes, as last known. They must not be changed.
func (s *Store) Controls() []*api.ControlNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls
}

// Unheard notes that no source of some topics answers: what is known of them may be old.
func (s *Store) Unheard(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := s.standings.of(topics)
	standing.Fresh = false
	if s.setStanding(topics, standing) {
		s.touch()
	}
}

// Observation words what a backend holds.
func Observation(id string, holds map[string][]string) *api.Observation {
	o := &api.Observation{Id: id}
	for model, adapters := range holds {
		o.Models = append(o.Models, &api.ModelHeld{Name: model, Adapters: adapters})
	}
	slices.SortFunc(o.Models, func(a, b *api.ModelHeld) int { return compareStrings(a.Name, b.Name) })
	return o
}

// Observe takes in what a backend holds, as whoever gives it orders has seen. It tells
// whether that was news.
func (s *Store) Observe(o *api.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.backends[o.Id]
	if record == nil {
		return false
	}
	next := aged(record, s.now())
	next.AgeMs = 0
	next.ColdLeftMs = record.backend.ColdLeftMs
	next.Models = o.Models
	if sameBackend(record.backend, next) {
		return false
	}
	s.record(next, record.heardAt)
	s.touch()
	return true
}
