package membership

import (
	"maps"
	"slices"
	"time"
)

// Of thousands of entries a few change at a time. Where nothing is held, damped or heeded, what becomes of
// these shows without a look at all the others. Every doubt goes the long way.

// publishIncrementally tells what a change of a source comes to, and tells whether it could.
func (m *Model) publishIncrementally(now time.Duration, src int, touched []string) bool {
	if !m.incremental || m.active < 0 || m.wantCached != m.listCached || len(m.retained) > 0 || len(m.damped) > 0 || m.drainsIgnored || len(m.flaps) > 2*len(m.list)+1000 {
		return false
	}
	items := m.sources[m.active].items
	if src != m.active {
		for _, name := range touched {
			if e, shown := m.list[name]; shown && (e.Draining && !items[name].Entry.Draining) != m.drainsElsewhere(name) {
				return false
			}
		}
		return true
	}
	// Whoever shares an address with one that changed may count now, or no more.
	for _, name := range touched {
		if i, there := items[name]; there {
			if at := m.namesByAddress[i.Entry.Addr]; !slices.Contains(at, name) {
				m.namesByAddress[i.Entry.Addr] = append(at, name)
			}
		}
	}
	for _, name := range slices.Clone(touched) {
		i, there := items[name]
		if e, was := m.list[name]; was && (!there || e.Addr != i.Entry.Addr) {
			touched = append(touched, m.namesByAddress[e.Addr]...)
		}
		if there {
			touched = append(touched, m.namesByAddress[i.Entry.Addr]...)
		}
	}
	slices.Sort(touched)
	d := Delta{Changed: map[string]Entry{}}
	for _, name := range slices.Compact(touched) {
		i, there := items[name]
		there = there && m.latestAt(m.namesByAddress[i.Entry.Addr]) == name
		e, was := m.list[name]
		switch {
		case there && (m.drainsElsewhere(name) || m.flaps[name].decayed(now, m.config).penalty+1 > m.config.MaxFlaps && m.config.MaxFlaps > 0):
			return false
		case there && (!was || e != i.Entry):
			d.Changed[name] = i.Entry
		case !there && was:
			d.Removed = append(d.Removed, name)
		}
	}
	n := len(m.list) - len(d.Removed)
	for name := range d.Changed {
		if _, was := m.list[name]; !was {
			n++
		}
	}
	if m.config.MaxLossFraction > 0 && m.config.MaxLossFraction < 1 {
		if n < m.minSize(now, n) {
			return false
		}
		m.recordSize(now, n)
	}
	if len(d.Changed)+len(d.Removed) == 0 {
		return true
	}
	for _, name := range d.Removed {
		delete(m.list, name)
		if f, seen := m.flaps[name]; seen {
			f.ready = false
			m.flaps[name] = f
		}
	}
	for name, e := range d.Changed {
		m.list[name] = e
		m.recordFlap(now, name, !e.Draining)
	}
	if m.config.EmitDeltas {
		m.actions = append(m.actions, d)
	} else {
		m.actions = append(m.actions, FullList{Entries: maps.Clone(m.list), Cached: m.wantCached})
	}
	return true
}

// dropAddresses takes those out of the addresses that a change moves or removes.
func (m *Model) dropAddresses(c Update) {
	if m.namesByAddress == nil {
		return
	}
	items := m.sources[m.active].items
	leave := func(name string) {
		if i, there := items[name]; there {
			at := m.namesByAddress[i.Entry.Addr]
			if at = slices.DeleteFunc(slices.Clone(at), func(n string) bool { return n == name }); len(at) == 0 {
				delete(m.namesByAddress, i.Entry.Addr)
			} else {
				m.namesByAddress[i.Entry.Addr] = at
			}
		}
	}
	for _, name := range c.Deletes {
		leave(name)
	}
	for _, i := range c.Puts {
		if i.Malformed == "" && i.Name != ConfirmKey {
			leave(i.Name)
		}
	}
}
