package membership

import "time"

// usable reports whether a source's list may be in force.
func (m *Model) usable(now time.Duration, s *source) bool {
	return s.hasSnapshot && (!s.unreachable || now-s.reachabilityChangedAt < m.config.LossTimeout)
}

// chooseSource puts the list of the first usable source in force. To fail back to a preferred source, it must have
// been reachable for Config.FailbackDelay, so that an unstable source does not make the list flap. If no source is
// usable, the list in force stays.
func (m *Model) chooseSource(now time.Duration) {
	for i, s := range m.sources {
		if !m.usable(now, s) {
			continue
		}
		if m.active < 0 || i == m.active {
			m.switchTo(i)
			return
		}
		failover := !m.usable(now, m.sources[m.active])
		failback := i < m.active && !s.unreachable && now-s.reachabilityChangedAt >= m.config.FailbackDelay
		if failover || failback {
			m.switchTo(i)
			return
		}
	}
}

func (m *Model) switchTo(index int) {
	if m.active == index {
		return
	}
	if m.active >= 0 {
		m.log("source", "switched to the list of %s from that of %s", m.sources[index].name, m.sources[m.active].name)
	} else {
		m.log("source", "now using the list of %s", m.sources[index].name)
	}
	m.active, m.wantCached, m.cachedList = index, false, nil
}
