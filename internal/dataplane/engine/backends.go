package engine

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Membership is the set of backends, or changes to one, as a Source reports it.
type Membership struct {
	Kind    balancer.MembershipKind // not ListFailed: sources retry by themselves
	Version uint32
	Entries []Entry
}

// Entry is a backend of a Membership.
type Entry struct {
	Name             string // the same at every proxy and across restarts
	Addr             string // may be empty if State is Gone
	State            balancer.State
	Zone, Kind, Cell int // indexes in the settings; -1 means none
	Weight           float64
	Started          time.Time // the last start; zero means long ago
}

// Backend is a member. Goroutines other than the engine's may only read its name, its address and Ready.
type Backend struct {
	balancer.Backend
	Name, Addr string
	ready      atomic.Bool
}

// NewBackend creates a backend that is in no membership, for the tests of carriers.
func NewBackend(name, addr string, ready bool) *Backend {
	b := &Backend{Name: name, Addr: addr}
	b.ready.Store(ready)
	return b
}

// Ready reports whether attempts may be written to the backend: it is a member, and ready. It stays false once the
// backend has left the membership. Any goroutine may call it.
func (b *Backend) Ready() bool { return b.ready.Load() }

// backends holds the members, and the mapping between their names and the balancer's identifiers.
type backends struct {
	byID  map[balancer.BackendID]*Backend
	ids   map[string]balancer.BackendID
	names map[balancer.BackendID]string // the inverse of ids
}

func newBackends() backends {
	return backends{map[balancer.BackendID]*Backend{}, map[string]balancer.BackendID{}, map[balancer.BackendID]string{}}
}

// id returns the balancer's identifier for a name. It is the same at every proxy unless the hashes of two names
// collide.
func (k *backends) id(name string) balancer.BackendID {
	id, known := k.ids[name]
	if known {
		return id
	}
	f := fnv.New32a()
	f.Write([]byte(name)) // Write of a hash never returns an error
	id = balancer.BackendID(f.Sum32())
	for _, taken := k.names[id]; taken; _, taken = k.names[id] {
		id++
	}
	k.ids[name], k.names[id] = id, name
	return id
}

// gone converts the entry of a backend that has left to the balancer's form.
func (k *backends) gone(id balancer.BackendID, entry *Entry) balancer.Backend {
	reported := balancer.Backend{ID: id, Zone: -1, Kind: -1, Cell: entry.Cell, Weight: entry.Weight}
	if b := k.byID[id]; b != nil {
		reported = b.Backend
	}
	reported.State = balancer.Gone
	return reported
}

// Backend returns the backend of a name, or nil. Only on the engine's goroutine.
func (e *Engine) Backend(name string) *Backend {
	if id, known := e.backends.ids[name]; known {
		return e.backends.byID[id]
	}
	return nil
}

// EachBackend calls each for every member, in no particular order. Only on the engine's goroutine.
func (e *Engine) EachBackend(each func(*Backend)) {
	for _, b := range e.backends.byID {
		each(b)
	}
}

// ApplyMembership updates the backends by a complete membership or by changes to it. Only on the engine's goroutine.
func (e *Engine) ApplyMembership(m Membership) {
	present := map[balancer.BackendID]bool{}
	var removed []balancer.BackendID
	reported := make([]balancer.Backend, len(m.Entries))
	for i := range m.Entries {
		entry := &m.Entries[i]
		id := e.backends.id(entry.Name)
		if entry.State == balancer.Gone {
			reported[i] = e.backends.gone(id, entry)
			removed = append(removed, id)
			continue
		}
		reported[i] = e.applyEntry(id, entry)
		present[id] = true
	}
	if m.Kind != balancer.MembershipDelta {
		for id := range e.backends.byID {
			if !present[id] {
				removed = append(removed, id)
			}
		}
	}
	e.removeBackends(removed)
	now := e.Now()
	e.balancer.OnMembership(now, balancer.Membership{Kind: m.Kind, Version: m.Version, Backends: reported})
	if e.observer != nil {
		e.observer.OnMembership(now, &m)
	}
	if m.Kind != balancer.MembershipCached && e.onFirstMembership != nil {
		e.onFirstMembership()
		e.onFirstMembership = nil
	}
}

// applyEntry adds or updates a backend that is not gone, and returns it in the balancer's form.
func (e *Engine) applyEntry(id balancer.BackendID, entry *Entry) balancer.Backend {
	reported := balancer.Backend{
		ID: id, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, State: entry.State, Weight: entry.Weight,
	}
	if !entry.Started.IsZero() {
		reported.Started = max(1, ClockStart+entry.Started.Sub(e.start))
	}
	// Connections belong to a name at an address, and are dropped when either changes. So a new name at the address of
	// a removed backend is a different backend.
	b := e.backends.byID[id]
	if b == nil || b.Addr != entry.Addr {
		e.removeFromCarriers(b)
		b = &Backend{Name: entry.Name, Addr: entry.Addr}
		e.backends.byID[id] = b
	}
	b.Backend = reported
	b.ready.Store(b.State == balancer.Ready)
	if b.State != balancer.Ready {
		e.releaseIdle(b)
	}
	return reported
}

// removeBackends removes backends and their names. New backends get new names all day, so that the maps would grow
// without bound otherwise.
func (e *Engine) removeBackends(ids []balancer.BackendID) {
	k := &e.backends
	for _, id := range ids {
		if b := k.byID[id]; b != nil {
			e.removeFromCarriers(b)
			delete(k.byID, id)
		}
		delete(k.ids, k.names[id]) // the same name gets the same identifier again
		delete(k.names, id)
	}
}

// removeFromCarriers ensures that nothing more is sent to a backend that has left or has a new address.
func (e *Engine) removeFromCarriers(b *Backend) {
	if b == nil {
		return
	}
	b.ready.Store(false)
	for _, c := range e.carriers {
		c.RemoveBackend(b)
	}
}

func (e *Engine) releaseIdle(b *Backend) {
	for _, c := range e.carriers {
		c.ReleaseIdle(b)
	}
}

// KnownNames returns how many names of backends are in memory. Only on the engine's goroutine.
func (e *Engine) KnownNames() int { return len(e.backends.ids) }
