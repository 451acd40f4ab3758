package membership

import (
	"slices"
	"time"
)

// Of thousands of entries only a few change at a time. While nothing is retained or damped and no drains are
// ignored, the effect of an update is derived from the entries it touches alone. All other cases derive the full
// list with publish, which gives the same result.

// publishIncrementally emits the effect of an update that touched these names. It returns false, and leaves the
// list and the flap states unchanged, if the full list has to be derived with publish.
func (m *Model) publishIncrementally(now time.Duration, index int, touched []string) bool {
	if !m.canPublishIncrementally() {
		return false
	}
	if index != m.active {
		return m.drainsUnchanged(touched)
	}
	delta, ok := m.difference(now, m.withSharedAddresses(touched))
	if !ok {
		return false
	}
	if m.config.limitsLoss() {
		size := m.sizeWith(delta)
		if size < m.minSize(now, size) {
			return false
		}
		m.recordSize(now, size)
	}
	if len(delta.Changed)+len(delta.Removed) > 0 {
		m.applyDelta(now, delta)
	}
	return true
}

func (m *Model) canPublishIncrementally() bool {
	current := m.incremental && m.active >= 0 && m.wantCached == m.listCached
	untouched := len(m.retained) == 0 && len(m.damped) == 0 && !m.drainsIgnored
	fewFlaps := len(m.flaps) <= 2*len(m.list)+1000 // publish forgets old ones
	return current && untouched && fewFlaps
}

// drainsUnchanged reports whether the drains that the other sources now report for these entries are already in
// force.
func (m *Model) drainsUnchanged(touched []string) bool {
	items := m.sources[m.active].items
	for _, name := range touched {
		entry, listed := m.list[name]
		if !listed {
			continue
		}
		drainsByOthers := entry.Draining && !items[name].Entry.Draining
		if drainsByOthers != m.drainsElsewhere(name) {
			return false
		}
	}
	return true
}

// withSharedAddresses adds the names that share an old or new address with a touched entry, as another of them may
// now be the one listed. It returns the names sorted and without duplicates.
func (m *Model) withSharedAddresses(touched []string) []string {
	items := m.sources[m.active].items
	for _, name := range touched {
		item, listed := items[name]
		if !listed {
			continue
		}
		names := m.namesByAddress[item.Entry.Addr]
		if !slices.Contains(names, name) {
			m.namesByAddress[item.Entry.Addr] = append(names, name)
		}
	}
	for _, name := range slices.Clone(touched) {
		item, listed := items[name]
		current, inForce := m.list[name]
		if inForce && (!listed || current.Addr != item.Entry.Addr) {
			touched = append(touched, m.namesByAddress[current.Addr]...)
		}
		if listed {
			touched = append(touched, m.namesByAddress[item.Entry.Addr]...)
		}
	}
	slices.Sort(touched)
	return slices.Compact(touched)
}

// difference returns the changes to the list for these names. It returns false if one of them might be damped, or
// drains according to another source.
func (m *Model) difference(now time.Duration, names []string) (Delta, bool) {
	items := m.sources[m.active].items
	delta := Delta{Changed: map[string]Entry{}}
	for _, name := range names {
		item, listed := items[name]
		counts := listed && m.lastWritten(m.namesByAddress[item.Entry.Addr]) == name
		current, inForce := m.list[name]
		switch {
		case counts && (m.drainsElsewhere(name) || m.nextFlapDamps(now, name)):
			return Delta{}, false
		case counts && (!inForce || current != item.Entry):
			delta.Changed[name] = item.Entry
		case !counts && inForce:
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta, true
}

// sizeWith returns the size of the list with a delta applied.
func (m *Model) sizeWith(delta Delta) int {
	size := len(m.list) - len(delta.Removed)
	for name := range delta.Changed {
		if _, inForce := m.list[name]; !inForce {
			size++
		}
	}
	return size
}

// applyDelta puts a delta in force and emits it.
func (m *Model) applyDelta(now time.Duration, delta Delta) {
	for _, name := range delta.Removed {
		delete(m.list, name)
		m.recordAbsence(name)
	}
	for name, entry := range delta.Changed {
		m.list[name] = entry
		m.recordPresence(now, name, !entry.Draining)
	}
	if m.config.EmitDeltas {
		m.actions = append(m.actions, delta)
		return
	}
	m.emitFullList()
}

// dropAddresses removes the entries that an update writes or removes from the index by address.
func (m *Model) dropAddresses(update Update) {
	if m.namesByAddress == nil {
		return
	}
	for _, name := range update.Deletes {
		m.dropAddress(name)
	}
	for _, item := range update.Puts {
		if item.Malformed == "" && item.Name != ConfirmKey {
			m.dropAddress(item.Name)
		}
	}
}

func (m *Model) dropAddress(name string) {
	item, listed := m.sources[m.active].items[name]
	if !listed {
		return
	}
	addr := item.Entry.Addr
	others := slices.DeleteFunc(slices.Clone(m.namesByAddress[addr]), func(n string) bool { return n == name })
	if len(others) == 0 {
		delete(m.namesByAddress, addr)
		return
	}
	m.namesByAddress[addr] = others
}
