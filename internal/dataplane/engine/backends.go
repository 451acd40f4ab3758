package engine

import (
	"hash/fnv"
	"io"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
)

// Membership is a list of backends, or changes to one, as a Source tells it.
type Membership struct {
	Kind    balancer.ListKind // not ListFailed: sources go on by themselves
	Version uint32
	Entries []Entry
}

// Entry is a backend of a list.
type Entry struct {
	Name             string // the same at every proxy, and over a restart
	Addr             string // may be empty where State is Gone
	State            balancer.State
	Zone, Kind, Cell int // positions in the settings; -1 is none of them
	Weight           float64
	Started          time.Time // its last start; zero is long ago
}

// Backend is a backend of the list. Only its address, its name and Ready may be read
// by other goroutines than the engine's.
type Backend struct {
	balancer.Backend
	Name, Addr string
	ready      atomic.Bool
}

// NewBackend makes a backend that is in no list, for the tests of carriers.
func NewBackend(name, addr string, ready bool) *Backend {
	b := &Backend{Name: name, Addr: addr}
	b.ready.Store(ready)
	return b
}

// Ready tells whether anything new may be written to the backend: it is listed as
// ready, and has not left. Once a backend has left it never is again.
func (b *Backend) Ready() bool { return b.ready.Load() }

// backends are those of the list, with the module's identifiers for their names.
type backends struct {
	byID  map[balancer.BackendID]*Backend
	ids   map[string]balancer.BackendID
	names map[balancer.BackendID]string // ids, the other way round
}

func newBackends() backends {
	return backends{map[balancer.BackendID]*Backend{}, map[string]balancer.BackendID{}, map[balancer.BackendID]string{}}
}

// id gives the module's identifier for a name: the same at every proxy, but for two
// names of one hash.
func (k *backends) id(name string) balancer.BackendID {
	id, known := k.ids[name]
	if known {
		return id
	}
	f := fnv.New32a()
	io.WriteString(f, name)
	id = balancer.BackendID(f.Sum32())
	for _, taken := k.names[id]; taken; _, taken = k.names[id] {
		id++
	}
	k.ids[name], k.names[id] = id, name
	return id
}

// Backend is the backend of a name, or nil. Only on the engine's goroutine.
func (e *Engine) Backend(name string) *Backend {
	if id, known := e.backends.ids[name]; known {
		return e.backends.byID[id]
	}
	return nil
}

// EachBackend calls for each backend of the list, in no order. Only on the engine's goroutine.
func (e *Engine) EachBackend(each func(*Backend)) {
	for _, b := range e.backends.byID {
		each(b)
	}
}

// ApplyMembership takes a list in. Only on the engine's goroutine.
func (e *Engine) ApplyMembership(l Membership) {
	k := &e.backends
	kept, gone := map[balancer.BackendID]bool{}, []balancer.BackendID(nil)
	entries := make([]balancer.Backend, len(l.Entries))
	for i, n := range l.Entries {
		id := k.id(n.Name)
		b := k.byID[id]
		if n.State == balancer.Gone {
			entries[i] = balancer.Backend{ID: id, Zone: -1, Kind: -1, Cell: n.Cell, Weight: n.Weight}
			if b != nil {
				entries[i] = b.Backend
			}
			entries[i].State = balancer.Gone
			gone = append(gone, id)
			continue // it leaves below
		}
		entries[i] = balancer.Backend{ID: id, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: n.State, Weight: n.Weight}
		if !n.Started.IsZero() {
			entries[i].Started = max(1, ClockStart+n.Started.Sub(e.start))
		}
		// A backend at the address of one that has gone is another one: connections
		// belong to the name, and are dropped with it or with its old address.
		if b == nil || b.Addr != n.Addr {
			e.removeFromCarriers(b)
			b = &Backend{Name: n.Name, Addr: n.Addr}
			k.byID[id] = b
		}
		b.Backend = entries[i]
		b.ready.Store(b.State == balancer.Ready)
		if b.State != balancer.Ready {
			e.releaseIdle(b)
		}
		kept[id] = true
	}
	if l.Kind != balancer.ListDelta {
		for id := range k.byID {
			if !kept[id] {
				gone = append(gone, id)
			}
		}
	}
	// Names are ever new all day: what has gone is forgotten, or the maps grow for good.
	for _, id := range gone {
		if b := k.byID[id]; b != nil {
			e.removeFromCarriers(b)
			delete(k.byID, id)
		}
		delete(k.ids, k.names[id]) // the same name gets the same identifier again
		delete(k.names, id)
	}
	now := e.Now()
	e.balancer.OnMembership(now, balancer.Membership{Kind: l.Kind, Version: l.Version, Backends: entries})
	if e.observer != nil {
		e.observer.OnMembership(now, &l)
	}
	if l.Kind != balancer.ListCached && e.onFirstMembership != nil {
		e.onFirstMembership()
		e.onFirstMembership = nil
	}
}

// removeFromCarriers sees to it that nothing more is sent to a backend that has left.
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

// KnownNames is how many backends' names are known. Only on the engine's goroutine.
func (e *Engine) KnownNames() int { return len(e.backends.ids) }
