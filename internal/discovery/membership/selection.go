package membership

import "time"

// usable reports whether a source's list may be in force.
func (m *Model) usable(now time.Duration, s *source) bool {
	return s.hasSnapshot && (!s.unreachable || now-s.reachabilityChangedAt < m.config.LossTimeout)
}

// chooseSource decides whose list is in force: the first usable source's. While another one's is, it must have
// been reachable for Config.FailbackDelay, so that one that comes and goes does not make the list do the same.
// Where no source is usable the list in force stays.
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
		m.log("source", "the list is now %s's, and was %s's", m.sources[index].name, m.sources[m.active].name)
	} else {
		m.log("source", "the list is now %s's", m.sources[index].name)
	}
	m.active, m.wantCached, m.cachedList = index, false, nil
}
