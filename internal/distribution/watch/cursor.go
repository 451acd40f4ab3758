package watch

import "marlreel/internal/api"

// Cursor is the position up to which a subscriber has received the data of a source. Not safe for concurrent use.
type Cursor struct {
	topics      Topics
	source      string // of the last reply; empty: no reply yet
	revision    uint64
	unconfirmed map[string]bool  // ids of known backends that this source has not listed
	partial     *partialSnapshot // the snapshot that is being received in chunks; nil: none
}

// NewCursor returns the cursor of a subscriber to some topics that has had no reply yet.
func NewCursor(topics Topics) *Cursor { return &Cursor{topics: topics} }

// ReceivingSnapshot reports whether a snapshot has been received in part and chunks of it are still to be requested.
func (c *Cursor) ReceivingSnapshot() bool { return c.partial != nil }

// nextChunk returns which chunk of the partial snapshot to request next; nil: none.
func (c *Cursor) nextChunk() *api.StatePart {
	if c.partial == nil || c.partial.source != c.source {
		return nil
	}
	return &api.StatePart{Sequence: c.partial.sequence, Hash: c.partial.hash, Offset: uint64(len(c.partial.data))}
}

// NewRequest returns the request for the updates of a source that this store lacks. The caller sets Subscriber and
// WaitMs.
func (s *Store) NewRequest(cursor *Cursor) *api.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &api.WatchRequest{
		Source: cursor.source, Revision: cursor.revision, Sequence: s.sequence, Hash: s.hash, Topics: cursor.topics,
		StatePart: cursor.nextChunk(),
	}
}

// ApplyReply applies a source's reply and advances the cursor. It reports whether the store has changed.
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

// applyState applies and publishes the snapshot, the chunk of a snapshot, or the entries of a reply.
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
		cursor.partial = nil // the state has arrived in another way, and the source sends no more chunks of it
	}
}

// knownBackends returns the ids of the known backends that are selected by the topics.
func (s *Store) knownBackends(topics Topics) map[string]bool {
	ids := map[string]bool{}
	for id, record := range s.backends {
		if topics.IncludesService(record.backend.Service) {
			ids[id] = true
		}
	}
	return ids
}

// applyBackends applies changed and departed backends. The caller publishes. Once the source is established, backends
// that it has never listed are removed.
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

// removeKnownBackend removes a backend and reports whether it was known. The caller publishes.
func (s *Store) removeKnownBackend(id string) bool {
	if s.backends[id] == nil {
		return false
	}
	s.removeBackend(id)
	return true
}

// applyNodes applies a list of nodes. The caller publishes. If the source is established, nodes that are not on the list
// are removed.
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

// applyControlNodes applies the addresses of the control processes. The caller publishes.
func (s *Store) applyControlNodes(reply *api.WatchReply) bool {
	if len(reply.Controls) == 0 || sameControlNodes(s.controlNodes, reply.Controls) {
		return false
	}
	s.controlNodes = reply.Controls
	s.stateRevision = s.nextRevision()
	return true
}

// applyStatus applies the status of the source. The caller publishes. A store that is not fresh does not become fresh
// while it receives a snapshot in chunks. One that is fresh stays so: it lags by no more than the time the chunks take.
func (s *Store) applyStatus(reply *api.WatchReply, cursor *Cursor) bool {
	fresh := reply.Fresh && (!cursor.ReceivingSnapshot() || s.statuses.of(cursor.topics).Fresh)
	return s.setStatus(cursor.topics, SourceStatus{Fresh: fresh, Established: reply.Established})
}
