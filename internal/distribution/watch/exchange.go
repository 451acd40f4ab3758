package watch

import (
	"context"
	"time"

	"marlreel/internal/api"
)

// NewRequest is what a reader with this store asks another one for.
func (s *Store) NewRequest(known *Cursor) *api.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &api.WatchRequest{
		Source: known.source, Revision: known.revision, Sequence: s.sequence, Hash: s.hash, Topics: known.topics,
		StatePart: known.wantedPart(),
	}
}

// Cursor is how far a reader has followed one source.
type Cursor struct {
	topics      Topics
	source      string
	revision    uint64
	unconfirmed map[string]bool // backends that the source has not listed
	partial     *partialState   // a state that comes in parts; nil: none does
}

// NewCursor is that of a reader of some topics which knows nothing.
func NewCursor(topics Topics) *Cursor { return &Cursor{topics: topics} }

// newsGap is the least time between two answers with news of backends alone: what comes in
// between is told together. News of the replicated state does not wait.
const newsGap = 100 * time.Millisecond

// HandleWatch serves a reader what it lacks, once there is something, or nothing new after wait.
func (s *Store) HandleWatch(ctx context.Context, request *api.WatchRequest, wait time.Duration) *api.WatchReply {
	asked := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		waited := time.Since(asked)
		feed, changed, gathers := s.serve(request, waited >= newsGap, waited >= wait || ctx.Err() != nil)
		if feed != nil {
			return feed
		}
		if gathers {
			timer.Reset(min(newsGap, wait) - waited)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// serve makes the feed of a reader where it is due. Otherwise it gives what tells of the
// next change, and whether there is news that waits for more.
func (s *Store) serve(request *api.WatchRequest, gathered, late bool) (feed *api.WatchReply, changed <-chan struct{}, gathers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.newsFor(request)
	if late || news == urgentNews || news == plainNews && gathered {
		return s.since(request), nil, false
	}
	return nil, s.changed, news == plainNews
}

// newsKind says whether a reader lacks something, and whether that can wait for more.
type newsKind int

const (
	noNews newsKind = iota
	plainNews
	urgentNews
)

// newsFor is what there is for a reader.
func (s *Store) newsFor(request *api.WatchRequest) newsKind {
	topics := Topics(request.Topics)
	switch {
	case request.Source != s.source || request.Revision < s.standingRevision:
		return urgentNews
	case topics.IncludesState() && (request.Revision < s.stateRevision || request.Sequence < s.sequence):
		return urgentNews
	case request.Revision < s.newest(topics):
		return plainNews
	}
	return noNews
}

// since makes the feed of a reader.
func (s *Store) since(request *api.WatchRequest) *api.WatchReply {
	topics := Topics(request.Topics)
	standing := s.standings.of(topics)
	feed := &api.WatchReply{Source: s.source, Revision: s.revision, Fresh: standing.Fresh, Established: standing.Established}
	if topics.IncludesState() {
		feed.Sequence, feed.Hash, feed.Controls = s.sequence, s.hash, s.controls
		s.addState(feed, request)
	}
	revision := request.Revision
	if request.Source != s.source || revision < s.forgottenUpTo {
		feed.Complete, revision = true, 0
	}
	feed.Backends = s.backendsSince(revision, topics)
	if !feed.Complete {
		for _, d := range s.departed {
			if d.revision > revision && topics.IncludesService(d.service) && s.backends[d.id] == nil {
				feed.Departed = append(feed.Departed, d.id)
			}
		}
	}
	if topics.IncludesState() && (s.nodesRevision > revision || feed.Complete) {
		feed.Nodes, feed.NodesChanged = s.listNodes(), true
	}
	return feed
}

// addState adds the entries that a reader lacks, or all of the state where they are not
// enough. A reader that knows more gets nothing.
func (s *Store) addState(feed *api.WatchReply, request *api.WatchRequest) {
	if request.Sequence >= s.sequence {
		return
	}
	if have := s.sequence - uint64(len(s.entries)); request.Sequence >= have && request.Sequence > 0 {
		missing := s.fitting(s.entries[request.Sequence-have:])
		if len(missing) > 0 && missing[0].PreviousHash == request.Hash {
			feed.Entries = missing
			return
		}
	}
	s.serveState(feed, request)
}

// ApplyReply takes in what another store has served. It tells whether anything is new.
func (s *Store) ApplyReply(feed *api.WatchReply, cursor *Cursor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	if feed.State != nil {
		s.reset(feed.Sequence, feed.Hash, feed.State)
	} else if feed.StatePart != nil {
		s.takePart(feed.Source, feed.StatePart, cursor)
	} else if len(feed.Entries) > 0 && feed.Entries[0].PreviousHash == s.hash {
		s.append(feed.Entries)
	}
	if cursor.source != feed.Source || feed.Complete {
		cursor.unconfirmed = map[string]bool{}
		for id, record := range s.backends {
			if cursor.topics.IncludesService(record.backend.Service) {
				cursor.unconfirmed[id] = true
			}
		}
	}
	cursor.source, cursor.revision = feed.Source, feed.Revision
	changed := s.takeBackends(feed, cursor)
	if feed.NodesChanged && s.takeNodes(feed) {
		s.stateRevision = s.revision + 1
		changed = true
	}
	if len(feed.Controls) > 0 && !sameControls(s.controls, feed.Controls) {
		s.controls = feed.Controls
		s.stateRevision = s.revision + 1
		changed = true
	}
	// What takes a large state in does not become fresh before that is whole. It may have been fresh before: then it is
	// behind by no more than the time that the parts take.
	fresh := feed.Fresh && (!cursor.ReceivingSnapshot() || s.standings.of(cursor.topics).Fresh)
	if s.setStanding(cursor.topics, SourceStatus{Fresh: fresh, Established: feed.Established}) {
		changed = true
	}
	if changed {
		s.touch()
	}
	return s.revision != before
}

func (s *Store) takeBackends(feed *api.WatchReply, cursor *Cursor) (changed bool) {
	for _, b := range feed.Backends {
		delete(cursor.unconfirmed, b.Id)
		changed = s.put(b) || changed
	}
	for _, id := range feed.Departed {
		delete(cursor.unconfirmed, id)
		if s.backends[id] != nil {
			s.depart(id)
			changed = true
		}
	}
	if !feed.Established {
		return changed
	}
	for id := range cursor.unconfirmed {
		if s.backends[id] != nil {
			s.depart(id)
			changed = true
		}
	}
	clear(cursor.unconfirmed)
	return changed
}

// takeNodes makes the nodes those of the feed.
func (s *Store) takeNodes(feed *api.WatchReply) bool {
	listed, changed := map[string]bool{}, false
	for _, n := range feed.Nodes {
		listed[n.Name] = true
		changed = s.putNode(n) || changed
	}
	for name := range s.nodes {
		if !listed[name] && feed.Established {
			delete(s.nodes, name)
			changed = true
		}
	}
	if changed {
		s.nodesRevision = s.revision + 1
	}
	return changed
}

// Fresh tells whether what is known of some topics comes from a chain in service, as their
// sources said last.
func (s *Store) Fresh(topics Topics) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standings.of(topics).Fresh
}

// Revision changes with everything that readers may want to know.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
