package membership

import (
	"maps"
	"slices"
	"time"
)

// Status is the state of the list in force and of its sources. Operators read its JSON form.
type Status struct {
	Source   string         `json:"source"` // whose list is in force; "" for a cached list
	Revision int64          `json:"revision"`
	Age      time.Duration  `json:"age_ns"` // since the list was last known to be up to date; -1 if unknown
	Entries  int            `json:"entries"`
	Retained []string       `json:"held,omitempty"` // names kept after a mass removal
	Damped   []string       `json:"damped,omitempty"`
	Sources  []SourceStatus `json:"sources"`
}

// SourceStatus is the state of one source.
type SourceStatus struct {
	Name        string            `json:"name"`
	Revision    int64             `json:"revision"`
	Synced      bool              `json:"synced"` // its list is complete at Revision
	Unreachable bool              `json:"lost"`
	LossReason  string            `json:"why,omitempty"` // why the source was last lost
	Malformed   map[string]string `json:"bad,omitempty"` // why each malformed entry was rejected, by name
}

// Status returns the state at the time now.
func (m *Model) Status(now time.Duration) Status {
	status := Status{Age: -1, Entries: len(m.list), Retained: slices.Sorted(maps.Keys(m.retained)), Damped: slices.Sorted(maps.Keys(m.damped))}
	if m.active >= 0 {
		active := m.sources[m.active]
		status.Source, status.Revision = active.name, active.revision
		if active.upToDateAt > 0 {
			status.Age = now - active.upToDateAt
		}
	}
	for _, s := range m.sources {
		status.Sources = append(status.Sources, SourceStatus{
			Name: s.name, Revision: s.revision, Synced: s.synced, Unreachable: s.unreachable,
			LossReason: s.lossReason, Malformed: maps.Clone(s.malformed),
		})
	}
	return status
}

// SourceList returns the list that a source reported, and whether it has sent a snapshot.
func (m *Model) SourceList(index int) (map[string]Entry, bool) {
	s := m.sources[index]
	list := make(map[string]Entry, len(s.items))
	for name, item := range s.items {
		list[name] = item.Entry
	}
	return list, s.hasSnapshot
}
