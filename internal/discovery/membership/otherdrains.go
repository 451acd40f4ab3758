package membership

// A drain counts from when this proxy first hears of it, from whichever source; and while the active source is
// unreachable its list is the older report. So what the other reachable sources say of drains and removals is
// applied to the active source's list, as drains, unless they would drain too much of it.

// applyOtherDrains marks entries as draining that another source reported as draining or removed after the
// active source last reported them.
func (m *Model) applyOtherDrains(list map[string]Entry) {
	var leaving []string
	for name, entry := range list {
		if entry.Draining || !m.drainsElsewhere(name) {
			continue
		}
		if current, listed := m.list[name]; listed && current.Draining {
			entry.Draining = true // as before, however many are left
			list[name] = entry
			continue
		}
		leaving = append(leaving, name)
	}
	m.drainsIgnored = m.config.limitsLoss() && float64(len(leaving)) > m.config.MaxLossFraction*float64(len(list))
	if m.drainsIgnored {
		m.log("heed", "WARNING: of %d entries %d would drain or be gone by the word of a source that does not count: left alone", len(list), len(leaving))
		return
	}
	m.forgetLine("heed")
	for _, name := range leaving {
		entry := list[name]
		entry.Draining = true
		list[name] = entry
	}
}

// drainsElsewhere reports whether another source has said, after the active one last reported an entry, that it
// drains or is gone.
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
