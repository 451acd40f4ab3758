package backlog

import (
	"maps"
	"slices"

	"marlreel/internal/api"
)

// Message words the work of a service's backends.
func Message(service string, work Work) *api.Backlog {
	message := &api.Backlog{Service: service}
	for _, key := range slices.Sorted(maps.Keys(work)) {
		message.Backends = append(message.Backends, key)
		message.WorkMs = append(message.WorkMs, work[key])
	}
	return message
}

// Read takes a message apart. What has no figure is left out.
func Read(message *api.Backlog) Work {
	work := make(Work, len(message.Backends))
	for i, key := range message.Backends[:min(len(message.Backends), len(message.WorkMs))] {
		work[key] += message.WorkMs[i]
	}
	return work
}
