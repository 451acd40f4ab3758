package engine

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Membership is the set of backends, or changes to one, as a Source reports it.
type Membership struct {
	Kind    balancer.MembershipKind // not ListFailed: sources go on by themselves
	Version uint32
	Entries []Entry
}

// Entry is a backend of a Membership.
type Entry struct {
	Name             string // the same at every proxy, and over a restart
	Addr             string // may be empty where State is Gone
	State            balancer.State
	Zone, Kind, Cell int // positions in the settings; -1 is none of them
	Weight           float64
	Started          time.Time // its last start; zero is long ago
}

// Backend is a member. Only its address, its name and Ready may be read by other goroutines than the engine's.
type Backend struct {
	balancer.Backend
	Name, Addr string
	ready      atomic.Bool
}

// NewBackend makes a backend that is in no membership, for the tests of carriers.
func NewBackend(name, addr string, ready bool) *Backend {
	b := &Backend{Name: name, Addr: addr}
	b.ready.Store(ready)
	return b
}

// Ready tells whether anything new may be written to the backend: it is a member, and ready. Once a backend has left it
// never is again. Any goroutine may call it.
func (b *Backend) Ready() bool { return b.ready.Load() }

// backends are the members, with the balancer's identifiers for their names.
type backends struct {
	byID  map[balancer.BackendID]*Backend
	ids   map[string]balancer.BackendID
	names map[balancer.BackendID]string // ids, the other way round
}

func newBackends() backends {
	return backends{map[balancer.BackendID]*Backend{}, map[string]balancer.BackendID{}, map[balancer.BackendID]string{}}
}

// id gives the balancer's identifier for a name: the same at every proxy, except where two names have one hash.
func (k *backends) id(name string) balancer.BackendID {
	id, known := k.ids[name]
	if known {
		return id
	}
	f := fnv.New32a()
	f.Write([]byte(name)) // a hash's Write returns no error
	id = balancer.BackendID(f.Sum32())
	for _, taken := k.names[id]; taken; _, taken = k.names[id] {
		id++
	}
	k.ids[name], k.names[id] = id, name
	return id
}

// gone gives a backend that has left in the balancer's form.
func (k *backends) gone(id balancer.BackendID, entry *Entry) balancer.Backend {
	reported := balancer.Backend{ID: id, Zone: -1, Kind: -1, Cell: entry.Cell, Weight: entry.Weight}
	if b := k.byID[id]; b != nil {
		reported = b.Backend
	}
	reported.State = balancer.Gone
	return reported
}

// Backend is the backend of a name, or nil. Only on the engine's goroutine.
func (e *Engine) Backend(name string) *Backend {
	if id, known := e.backends.ids[name]; known {
		return e.backends.byID[id]
	}
	return nil
}

// EachBackend calls for each member, in no order. Only on the engine's goroutine.
func (e *Engine) EachBackend(each func(*Backend)) {
	for _, b := range e.backends.byID {
		each(b)
	}
}

// ApplyMembership reconciles the backends with a membership, or with changes to it. Only on the engine's goroutine.
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

// applyEntry adds or changes a backend that is not gone, and gives it in the balancer's form.
func (e *Engine) applyEntry(id balancer.BackendID, entry *Entry) balancer.Backend {
	reported := balancer.Backend{
		ID: id, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, State: entry.State, Weight: entry.Weight,
	}
	if !entry.Started.IsZero() {
		reported.Started = max(1, ClockStart+entry.Started.Sub(e.start))
	}
	// A backend at the address of one that has gone is another one: connections belong to the name, and are dropped
	// with it or with its old address.
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

// removeBackends forgets backends and their names: names are new all day, and the maps would grow without end.
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

// removeFromCarriers makes sure that nothing more is sent to a backend that has left.
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

// KnownNames is how many backends' names are remembered. Only on the engine's goroutine.
func (e *Engine) KnownNames() int { return len(e.backends.ids) }
