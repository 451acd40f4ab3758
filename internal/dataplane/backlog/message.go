package backlog

import (
	"maps"
	"slices"

	"marlreel/internal/api"
)

// ToProto returns the message for the pending work of a service's backends, ordered by key.
func ToProto(service string, work Work) *api.Backlog {
	message := &api.Backlog{Service: service}
	for _, key := range slices.Sorted(maps.Keys(work)) {
		message.Backends = append(message.Backends, key)
		message.WorkMs = append(message.WorkMs, work[key])
	}
	return message
}

// FromProto returns the pending work in a message. Backends without a value are left out.
func FromProto(message *api.Backlog) Work {
	work := make(Work, len(message.Backends))
	for i, key := range message.Backends[:min(len(message.Backends), len(message.WorkMs))] {
		work[key] += message.WorkMs[i]
	}
	return work
}
