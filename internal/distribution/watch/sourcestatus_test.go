package watch

import (
	"testing"

	"github.com/matryer/is"
)

// The combined status of all topics is fresh if the replicated state is, and established if every topic is.
func TestSourceStatusByTopics(t *testing.T) {
	is := is.New(t)
	table := statusTable{byTopic: map[Topic]SourceStatus{}}
	is.Equal(table.of(nil), SourceStatus{})
	table.set(Topics{TopicState}, SourceStatus{Fresh: true, Established: true})
	is.Equal(table.of(nil), SourceStatus{Fresh: true, Established: true})
	table.set(Topics{ServiceTopic("llm")}, SourceStatus{})
	is.Equal(table.of(nil), SourceStatus{Fresh: true})
	is.Equal(table.of(Topics{ServiceTopic("llm")}), SourceStatus{})
	is.Equal(table.of(Topics{ServiceTopic("unknown")}), SourceStatus{})
	table.retain(Topics{TopicState})
	is.Equal(table.of(nil), SourceStatus{Fresh: true, Established: true})
}
