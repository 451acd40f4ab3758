package membership

import (
	"maps"
	"slices"
	"time"
)

// Of thousands of entries a few change at a time. Where nothing is held, damped or heeded, what becomes of
// these shows without a look at all the others. Every doubt goes the long way.

// showSome tells what a change of a source comes to, and tells whether it could.
func (m *Model) showSome(now time.Duration, src int, touched []string) bool {
	if !m.whole || m.active < 0 || m.cached != m.shownCached || len(m.held) > 0 || len(m.damp) > 0 || m.unheeded || len(m.flaps) > 2*len(m.shown)+1000 {
		return false
	}
	items := m.sources[m.active].items
	if src != m.active {
		for _, name := range touched {
			if e, shown := m.shown[name]; shown && (e.Draining && !items[name].Entry.Draining) != m.leaves(name) {
				return false
			}
		}
		return true
	}
	// Whoever shares an address with one that changed may count now, or no more.
	for _, name := range touched {
		if i, there := items[name]; there {
			if at := m.addresses[i.Entry.Addr]; !slices.Contains(at, name) {
				m.addresses[i.Entry.Addr] = append(at, name)
			}
		}
	}
	for _, name := range slices.Clone(touched) {
		i, there := items[name]
		if e, was := m.shown[name]; was && (!there || e.Addr != i.Entry.Addr) {
			touched = append(touched, m.addresses[e.Addr]...)
		}
		if there {
			touched = append(touched, m.addresses[i.Entry.Addr]...)
		}
	}
	slices.Sort(touched)
	d := Delta{Changed: map[string]Entry{}}
	for _, name := range slices.Compact(touched) {
		i, there := items[name]
		there = there && m.latest(m.addresses[i.Entry.Addr]) == name
		e, was := m.shown[name]
		switch {
		case there && (m.leaves(name) || m.flaps[name].fade(now, m.cfg).n+1 > m.cfg.FlapMost && m.cfg.FlapMost > 0):
			return false
		case there && (!was || e != i.Entry):
			d.Changed[name] = i.Entry
		case !there && was:
			d.Gone = append(d.Gone, name)
		}
	}
	n := len(m.shown) - len(d.Gone)
	for name := range d.Changed {
		if _, was := m.shown[name]; !was {
			n++
		}
	}
	if m.cfg.Guard > 0 && m.cfg.Guard < 1 {
		if n < m.floor(now, n) {
			return false
		}
		m.measure(now, n)
	}
	if len(d.Changed)+len(d.Gone) == 0 {
		return true
	}
	for _, name := range d.Gone {
		delete(m.shown, name)
		if f, seen := m.flaps[name]; seen {
			f.in = false
			m.flaps[name] = f
		}
	}
	for name, e := range d.Changed {
		m.shown[name] = e
		m.flapped(now, name, !e.Draining)
	}
	if m.cfg.Deltas {
		m.out = append(m.out, d)
	} else {
		m.out = append(m.out, List{Entries: maps.Clone(m.shown), Cached: m.cached})
	}
	return true
}

// leaveAddresses takes those out of the addresses that a change moves or removes.
func (m *Model) leaveAddresses(c Change) {
	if m.addresses == nil {
		return
	}
	items := m.sources[m.active].items
	leave := func(name string) {
		if i, there := items[name]; there {
			at := m.addresses[i.Entry.Addr]
			if at = slices.DeleteFunc(slices.Clone(at), func(n string) bool { return n == name }); len(at) == 0 {
				delete(m.addresses, i.Entry.Addr)
			} else {
				m.addresses[i.Entry.Addr] = at
			}
		}
	}
	for _, name := range c.Deletes {
		leave(name)
	}
	for _, i := range c.Puts {
		if i.Bad == "" && i.Name != Confirm {
			leave(i.Name)
		}
	}
}
