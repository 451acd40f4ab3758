package watch

import "slices"

// Topic is a part of the feed that can be followed by itself.
type Topic = string

// TopicState is the replicated state, the nodes, and where the control processes are.
const TopicState Topic = "state"

// servicePrefix begins the topics of services.
const servicePrefix = "service/"

// ServiceTopic is the backends of a service.
func ServiceTopic(service string) Topic { return servicePrefix + service }

// Topics is what a reader follows. None stands for all of the feed.
type Topics []Topic

// All tells whether all of the feed is followed.
func (t Topics) All() bool { return len(t) == 0 }

// IncludesState tells whether the replicated state is followed.
func (t Topics) IncludesState() bool { return t.All() || slices.Contains(t, TopicState) }

// IncludesService tells whether the backends of a service are followed.
func (t Topics) IncludesService(name string) bool {
	return t.All() || slices.Contains(t, ServiceTopic(name))
}

// SourceStatus is what a source's word is worth.
type SourceStatus struct {
	// Fresh: the source belongs to a chain in service.
	Fresh bool
	// Established: it has listened for so long that a backend that it doesn't list is gone.
	Established bool
}

// and is what both together are worth.
func (s SourceStatus) and(o SourceStatus) SourceStatus {
	return SourceStatus{Fresh: s.Fresh && o.Fresh, Established: s.Established && o.Established}
}

// standings are the standings of what a store is filled from, by topic.
type standings struct {
	whole *SourceStatus // everything comes from one source; nil: it comes by topics
	parts map[Topic]SourceStatus
}

// of is the standing of the topics that a reader follows. Of all topics together the word
// is as fresh as the replicated state, and established where each part is.
func (s *standings) of(topics Topics) SourceStatus {
	if s.whole != nil {
		return *s.whole
	}
	if topics.All() {
		all := SourceStatus{Fresh: true, Established: len(s.parts) > 0}
		for _, part := range s.parts {
			all = all.and(part)
		}
		all.Fresh = s.parts[TopicState].Fresh
		return all
	}
	all := SourceStatus{Fresh: true, Established: true}
	for _, topic := range topics {
		all = all.and(s.parts[topic])
	}
	return all
}

// set notes the standing of topics. It tells whether that is another one.
func (s *standings) set(topics Topics, standing SourceStatus) (changed bool) {
	if topics.All() {
		changed = s.whole == nil || *s.whole != standing
		s.whole = &standing
		return changed
	}
	for _, topic := range topics {
		if old, known := s.parts[topic]; !known || old != standing {
			s.parts[topic] = standing
			changed = true
		}
	}
	return changed
}

// keep forgets the topics that are no longer followed.
func (s *standings) keep(topics Topics) (changed bool) {
	for topic := range s.parts {
		if !slices.Contains(topics, topic) {
			delete(s.parts, topic)
			changed = true
		}
	}
	return changed
}
