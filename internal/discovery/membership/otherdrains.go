package membership

// A drain takes effect as soon as any source reports it, and while the active source is unreachable its list may
// be older than those of the others. So drains and removals that other reachable sources report are applied to
// the active source's list as drains, unless they would drain too much of it.

// applyOtherDrains marks entries as draining that another source reported as draining or removed after the
// active source last reported them.
func (m *Model) applyOtherDrains(list map[string]Entry) {
	var leaving []string
	for name, entry := range list {
		if entry.Draining || !m.drainsElsewhere(name) {
			continue
		}
		if current, listed := m.list[name]; listed && current.Draining {
			entry.Draining = true // already draining in force: not subject to the limit
			list[name] = entry
			continue
		}
		leaving = append(leaving, name)
	}
	m.drainsIgnored = m.config.limitsLoss() && float64(len(leaving)) > m.config.MaxLossFraction*float64(len(list))
	if m.drainsIgnored {
		m.log("ignored drains", "WARNING: of %d entries, another source reports %d as draining or removed, which is too many; ignoring its reports", len(list), len(leaving))
		return
	}
	m.forgetLine("ignored drains")
	for _, name := range leaving {
		entry := list[name]
		entry.Draining = true
		list[name] = entry
	}
}

// drainsElsewhere reports whether another source reported an entry as draining or removed after the active source
// last reported it.
func (m *Model) drainsElsewhere(name string) bool {
	reportedAt := m.sources[m.active].reportedAt[name]
	for i, s := range m.sources {
		if i == m.active || !s.hasSnapshot || s.unreachable {
			continue
		}
		if at, left := s.leftAt(name); left && at > reportedAt {
			return true
		}
	}
	return false
}
