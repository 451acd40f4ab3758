package watch

import "marlreel/internal/api"

// Cursor is how far a subscriber has followed one source. It belongs to one goroutine.
type Cursor struct {
	topics      Topics
	source      string // of the last reply; empty: there was none
	revision    uint64
	unconfirmed map[string]bool  // ids of known backends that this source has not listed
	partial     *partialSnapshot // nil: no snapshot is being received in chunks
}

// NewCursor returns the cursor of a subscriber to some topics that has had no reply yet.
func NewCursor(topics Topics) *Cursor { return &Cursor{topics: topics} }

// ReceivingSnapshot reports whether some chunks of a snapshot have been received and others are still to be asked for.
func (c *Cursor) ReceivingSnapshot() bool { return c.partial != nil }

// nextChunk returns what to ask for of a snapshot that comes in chunks; nil: nothing.
func (c *Cursor) nextChunk() *api.StatePart {
	if c.partial == nil || c.partial.source != c.source {
		return nil
	}
	return &api.StatePart{Sequence: c.partial.sequence, Hash: c.partial.hash, Offset: uint64(len(c.partial.data))}
}

// NewRequest returns the request for what this store lacks of a source. The caller adds who asks and the wait.
func (s *Store) NewRequest(cursor *Cursor) *api.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &api.WatchRequest{
		Source: cursor.source, Revision: cursor.revision, Sequence: s.sequence, Hash: s.hash, Topics: cursor.topics,
		StatePart: cursor.nextChunk(),
	}
}

// ApplyReply applies what a source replied, and advances the cursor. It reports whether that changed anything.
func (s *Store) ApplyReply(reply *api.WatchReply, cursor *Cursor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	s.applyState(reply, cursor)
	if cursor.source != reply.Source || reply.Complete {
		cursor.unconfirmed = s.knownBackends(cursor.topics)
	}
	cursor.source, cursor.revision = reply.Source, reply.Revision
	changed := s.applyBackends(reply, cursor)
	changed = s.applyNodes(reply) || changed
	changed = s.applyControlNodes(reply) || changed
	changed = s.applyStatus(reply, cursor) || changed
	if changed {
		s.publish()
	}
	return s.revision != before
}

// applyState applies the snapshot, a chunk of one, or entries that a reply brings, and publishes them.
func (s *Store) applyState(reply *api.WatchReply, cursor *Cursor) {
	switch {
	case reply.State != nil:
		s.installSnapshot(reply.Sequence, reply.Hash, reply.State)
	case reply.StatePart != nil:
		s.applyChunk(reply.Source, reply.StatePart, cursor)
	case len(reply.Entries) > 0 && reply.Entries[0].PreviousHash == s.hash:
		s.appendEntries(reply.Entries)
	}
	if cursor.partial != nil && cursor.partial.sequence <= s.sequence {
		cursor.partial = nil // the state has come by another way, and the source sends no more chunks of it
	}
}

// knownBackends returns the ids of the backends that some topics select.
func (s *Store) knownBackends(topics Topics) map[string]bool {
	ids := map[string]bool{}
	for id, record := range s.backends {
		if topics.IncludesService(record.backend.Service) {
			ids[id] = true
		}
	}
	return ids
}

// applyBackends applies changed and departed backends, to be published. Backends that the source has never listed go
// once it is established.
func (s *Store) applyBackends(reply *api.WatchReply, cursor *Cursor) bool {
	changed := false
	for _, b := range reply.Backends {
		delete(cursor.unconfirmed, b.Id)
		changed = s.recordBackend(b) || changed
	}
	for _, id := range reply.Departed {
		delete(cursor.unconfirmed, id)
		changed = s.removeKnownBackend(id) || changed
	}
	if !reply.Established {
		return changed
	}
	for id := range cursor.unconfirmed {
		changed = s.removeKnownBackend(id) || changed
	}
	clear(cursor.unconfirmed)
	return changed
}

// removeKnownBackend removes a backend if it is known, to be published. It reports whether it was.
func (s *Store) removeKnownBackend(id string) bool {
	if s.backends[id] == nil {
		return false
	}
	s.removeBackend(id)
	return true
}

// applyNodes applies a list of nodes, to be published. Nodes that are not on it go if the source is established.
func (s *Store) applyNodes(reply *api.WatchReply) bool {
	if !reply.NodesChanged {
		return false
	}
	listed, changed := map[string]bool{}, false
	for _, n := range reply.Nodes {
		listed[n.Name] = true
		changed = s.recordNode(n) || changed
	}
	for name := range s.nodes {
		if !listed[name] && reply.Established {
			delete(s.nodes, name)
			changed = true
		}
	}
	if changed {
		s.nodesRevision = s.nextRevision()
	}
	return changed
}

// applyControlNodes applies the addresses of the control processes, to be published.
func (s *Store) applyControlNodes(reply *api.WatchReply) bool {
	if len(reply.Controls) == 0 || sameControlNodes(s.controlNodes, reply.Controls) {
		return false
	}
	s.controlNodes = reply.Controls
	s.stateRevision = s.nextRevision()
	return true
}

// applyStatus applies the status of the source, to be published. A store that was not fresh does not become so while a
// snapshot comes in chunks. One that was fresh stays so: it is behind by no more than the time that the chunks take.
func (s *Store) applyStatus(reply *api.WatchReply, cursor *Cursor) bool {
	fresh := reply.Fresh && (!cursor.ReceivingSnapshot() || s.statuses.of(cursor.topics).Fresh)
	return s.setStatus(cursor.topics, SourceStatus{Fresh: fresh, Established: reply.Established})
}
