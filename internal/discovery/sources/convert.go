package sources

import (
	"maps"
	"slices"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/membership"
)

// emitList gives the engine a full list.
func (s *Source) emitList(list map[string]membership.Entry, cached bool) {
	s.listVersion++
	l := engine.Membership{Kind: balancer.MembershipFull, Version: s.listVersion, Entries: make([]engine.Entry, 0, len(list))}
	if cached {
		l.Kind = balancer.MembershipCached
	}
	for _, name := range slices.Sorted(maps.Keys(list)) {
		l.Entries = append(l.Entries, s.toEngine(name, list[name]))
	}
	s.host.ApplyMembership(l)
}

// emitDelta gives the engine a change to the list.
func (s *Source) emitDelta(delta membership.Delta) {
	s.listVersion++
	l := engine.Membership{Kind: balancer.MembershipDelta, Version: s.listVersion}
	for _, name := range delta.Removed { // first, as a changed entry may have taken over the address
		l.Entries = append(l.Entries, engine.Entry{Name: name, Zone: -1, Kind: -1, State: balancer.Gone})
	}
	for _, name := range slices.Sorted(maps.Keys(delta.Changed)) {
		l.Entries = append(l.Entries, s.toEngine(name, delta.Changed[name]))
	}
	s.host.ApplyMembership(l)
}

// toEngine converts an entry to the engine's form. Unknown zones and kinds become -1.
func (s *Source) toEngine(name string, e membership.Entry) engine.Entry {
	names := s.names.Load()
	entry := engine.Entry{Name: name, Addr: e.Addr, Zone: -1, Kind: -1, Cell: e.Cell, State: balancer.Ready, Weight: e.Weight}
	if zone, known := names.Zones[e.Zone]; known {
		entry.Zone = zone
	}
	if kind, known := names.Kinds[e.Kind]; known {
		entry.Kind = kind
	}
	if e.Draining {
		entry.State = balancer.Draining
	}
	if e.Started != 0 {
		entry.Started = time.UnixMilli(e.Started)
	}
	return entry
}

// fromEngine converts an entry of the platform's list to the model's form.
func (s *Source) fromEngine(e engine.Entry) membership.Entry {
	entry := membership.Entry{
		Addr: e.Addr, Zone: s.zones[e.Zone], Kind: s.kinds[e.Kind], Cell: e.Cell,
		Draining: e.State == balancer.Draining, Weight: e.Weight,
	}
	if !e.Started.IsZero() {
		entry.Started = e.Started.UnixMilli()
	}
	return entry
}

// fromBackend converts a backend of the engine to the model's form.
func (s *Source) fromBackend(b *engine.Backend) membership.Entry {
	entry := membership.Entry{
		Addr: b.Addr, Zone: s.zones[b.Zone], Kind: s.kinds[b.Kind], Cell: b.Cell,
		Draining: b.State == balancer.Draining, Weight: b.Weight,
	}
	if b.Started > 0 {
		entry.Started = s.host.WallTime(b.Started).UnixMilli()
	}
	return entry
}
