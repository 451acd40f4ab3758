package watch

import "slices"

// SourceStatus says how reliable the data of a source is. Subscribers that serve others pass it on.
type SourceStatus struct {
	// Fresh means that the source is connected to a chain that has a majority. Data that is not fresh may be outdated,
	// but requests are still served by it.
	Fresh bool
	// Established means that the source has received heartbeats for long enough that a backend that it doesn't list is
	// gone. Before that, subscribers keep backends that the source doesn't list.
	Established bool
}

// and returns the combined status of two parts.
func (s SourceStatus) and(other SourceStatus) SourceStatus {
	return SourceStatus{Fresh: s.Fresh && other.Fresh, Established: s.Established && other.Established}
}

// statusTable holds the status of the sources from which a store is filled.
type statusTable struct {
	all     *SourceStatus // if a single source serves all topics; nil: each topic has its own source
	byTopic map[Topic]SourceStatus
}

// of returns the combined status of the topics. The empty list, which selects everything, is fresh if the replicated
// state is, and established if every topic is.
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

// set records the status of the topics. It reports whether it has changed.
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

// retain removes the status of all other topics. It reports whether there were any.
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

// SetSourceStatus sets the status of a store that is filled by its own process, not by a subscriber.
func (s *Store) SetSourceStatus(status SourceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setStatus(nil, status) {
		s.publish()
	}
}

// setStatus records the status of the topics and reports whether it has changed. The caller publishes.
func (s *Store) setStatus(topics Topics, status SourceStatus) bool {
	if !s.statuses.set(topics, status) {
		return false
	}
	s.statusRevision = s.nextRevision()
	return true
}

// RetainTopics removes the status of all topics that are no longer subscribed to. topics are those that are.
func (s *Store) RetainTopics(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statuses.retain(topics) {
		s.statusRevision = s.nextRevision()
		s.publish()
	}
}

// MarkStale records that no source of the topics answers, so that their data may be outdated.
func (s *Store) MarkStale(topics Topics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.statuses.of(topics)
	status.Fresh = false
	if s.setStatus(topics, status) {
		s.publish()
	}
}

// Fresh reports whether all sources of the topics were fresh according to their last status.
func (s *Store) Fresh(topics Topics) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statuses.of(topics).Fresh
}
