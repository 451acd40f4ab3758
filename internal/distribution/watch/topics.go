package watch

import "slices"

// Topic names a part of the watched data that can be subscribed to separately. It is sent as text.
type Topic = string

// TopicState selects the replicated state, the nodes, and the addresses of the control processes.
const TopicState Topic = "state"

// serviceTopicPrefix is the prefix of the topics of services.
const serviceTopicPrefix = "service/"

// ServiceTopic selects the backends of a service.
func ServiceTopic(service string) Topic { return serviceTopicPrefix + service }

// Topics are the topics of a subscriber. An empty list selects everything.
type Topics []Topic

// All reports whether everything is selected.
func (t Topics) All() bool { return len(t) == 0 }

// IncludesState reports whether the replicated state is selected.
func (t Topics) IncludesState() bool { return t.All() || slices.Contains(t, TopicState) }

// IncludesService reports whether the backends of a service are selected.
func (t Topics) IncludesService(name string) bool {
	return t.All() || slices.Contains(t, ServiceTopic(name))
}
