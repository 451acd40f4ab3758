package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// publish derives the list from the active source and emits it if it differs from the one in force.
func (m *Model) publish(now time.Duration) {
	if m.active < 0 && m.cachedList == nil {
		return
	}
	next := m.desiredList()
	m.dampFlaps(now, next)
	m.retainMassRemovals(now, next)
	m.incremental = true
	if m.published && maps.Equal(next, m.list) && m.wantCached == m.listCached {
		return
	}
	m.published, m.list, m.listCached = true, next, m.wantCached
	m.emitFullList()
}

// emitFullList emits a copy of the list in force.
func (m *Model) emitFullList() {
	m.actions = append(m.actions, FullList{Entries: maps.Clone(m.list), Cached: m.wantCached})
}

// desiredList returns the list before entries are retained or damped. When several names share an address, only
// the one written last is listed: they are either one backend, which would get twice its load, or a backend and
// the successor that took over its address.
func (m *Model) desiredList() map[string]Entry {
	if m.active < 0 {
		return maps.Clone(m.cachedList)
	}
	items := m.sources[m.active].items
	list := make(map[string]Entry, len(items))
	m.namesByAddress = make(map[string][]string, len(items))
	for name, item := range items {
		m.namesByAddress[item.Entry.Addr] = append(m.namesByAddress[item.Entry.Addr], name)
	}
	for _, names := range m.namesByAddress {
		name := m.lastWritten(names)
		list[name] = items[name].Entry
	}
	if len(m.sources) > 1 {
		m.applyOtherDrains(list)
	}
	return list
}

// lastWritten returns the most recently written of the names at one address. It sorts names in place.
func (m *Model) lastWritten(names []string) string {
	if len(names) == 1 {
		return names[0]
	}
	items := m.sources[m.active].items
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(items[a].ModRevision, items[b].ModRevision), strings.Compare(a, b))
	})
	last := names[len(names)-1]
	addr := items[last].Entry.Addr
	m.log("address "+addr, "%s share address %s; using %s, which was written last", strings.Join(names, ", "), addr, last)
	return last
}
