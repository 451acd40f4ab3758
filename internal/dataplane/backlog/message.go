package backlog

import (
	"maps"
	"slices"

	"marlreel/internal/api"
)

// ToProto gives the message that carries the pending work of a service's backends, in the order of their keys.
func ToProto(service string, work Work) *api.Backlog {
	message := &api.Backlog{Service: service}
	for _, key := range slices.Sorted(maps.Keys(work)) {
		message.Backends = append(message.Backends, key)
		message.WorkMs = append(message.WorkMs, work[key])
	}
	return message
}

// FromProto gives the pending work that a message carries. Backends without a number are left out.
func FromProto(message *api.Backlog) Work {
	work := make(Work, len(message.Backends))
	for i, key := range message.Backends[:min(len(message.Backends), len(message.WorkMs))] {
		work[key] += message.WorkMs[i]
	}
	return work
}
