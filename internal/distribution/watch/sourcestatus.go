package watch

import "slices"

// SourceStatus says how far what a source serves can be relied on. Subscribers that serve others pass it on.
type SourceStatus struct {
	// Fresh: the source is connected to a chain that has a majority. What is not fresh may be outdated, and is still
	// what requests are served by.
	Fresh bool
	// Established: the source has received heartbeats for so long that a backend that it doesn't list is gone. Before
	// that an absent backend means nothing, and subscribers keep it.
	Established bool
}

// and returns the status of two parts together.
func (s SourceStatus) and(other SourceStatus) SourceStatus {
	return SourceStatus{Fresh: s.Fresh && other.Fresh, Established: s.Established && other.Established}
}

// statusTable holds the status of the sources that a store is filled from.
type statusTable struct {
	all     *SourceStatus // of the one source of everything; nil: each topic has a source of its own
	byTopic map[Topic]SourceStatus
}

// of returns the status of some topics together. All of them are as fresh as the replicated state, and established
// where each topic is.
func (t *statusTable) of(topics Topics) SourceStatus {
	if t.all != nil {
		return *t.all
	}
	if topics.All() {
		return t.ofEverything()
	}
	combined := SourceStatus{Fresh: true, Established: true}
	for _, topic := range topics {
		combined = combined.and(t.byTopic[topic])
	}
	return combined
}

func (t *statusTable) ofEverything() SourceStatus {
	combined := SourceStatus{Fresh: true, Established: len(t.byTopic) > 0}
	for _, status := range t.byTopic {
		combined = combined.and(status)
	}
	combined.Fresh = t.byTopic[TopicState].Fresh
	return combined
}

// set records the status of some topics. It reports whether that has changed.
func (t *statusTable) set(topics Topics, status SourceStatus) bool {
	if topics.All() {
		changed := t.all == nil || *t.all != status
		t.all = &status
		return changed
	}
	changed := false
	for _, topic := range topics {
		old, known := t.byTopic[topic]
		if !known || old != status {
			t.byTopic[topic] = status
			changed = true
		}
	}
	return changed
}

// retain forgets all topics but some. It reports whether there were others.
func (t *statusTable) retain(topics Topics) bool {
	changed := false
	for topic := range t.byTopic {
		if !slices.Contains(topics, topic) {
			delete(t.byTopic, topic)
			changed = true
		}
	}
	return changed
}

// SetSourceStatus records the status of a store that is filled by its own process.
func (s *Store) SetSourceStatus(status SourceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setStatus(nil, status) {
		s.publish()
	}
}

// setStatus records the status of some topics, to be published. It reports whether that has changed.
func (s *Store) setStatus(topics Topics, status SourceStatus) bool {
	if !s.statuses.set(topics, status) {
		return false
	}
	s.statusRevision = s.nextRevision()
	return true
}

// RetainTopics forgets the status of all topics but those that are still subscribed to.
func (s *Store) RetainTopics(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statuses.retain(topics) {
		s.statusRevision = s.nextRevision()
		s.publish()
	}
}

// MarkStale records that no source of some topics answers: what is known of them may be outdated.
func (s *Store) MarkStale(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.statuses.of(topics)
	status.Fresh = false
	if s.setStatus(topics, status) {
		s.publish()
	}
}

// Fresh reports whether all sources of some topics said last that they are fresh.
func (s *Store) Fresh(topics Topics) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statuses.of(topics).Fresh
}
