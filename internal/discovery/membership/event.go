package membership

import (
	"maps"
	"time"
)

// OnCachedList handles a list cached by an earlier process. It is in force until a source has sent a snapshot.
func (m *Model) OnCachedList(now time.Duration, list map[string]Entry) []Action {
	if m.active < 0 {
		m.cachedList = maps.Clone(list)
		m.wantCached = true
		m.publish(now)
	}
	return m.takeActions()
}

// OnSnapshot handles a source's snapshot.
func (m *Model) OnSnapshot(now time.Duration, index int, snapshot Snapshot) []Action {
	s := m.sources[index]
	s.loading = false
	replaced := s.replacedBy(snapshot)
	if replaced && snapshot.Stale && snapshot.History == s.history {
		// The list of a lagging member would bring removed entries back.
		m.log(s.name+" stale", "%s: ignoring a stale list: its revision %d is older than the current %d", s.name, snapshot.Revision, s.revision)
		m.requestSnapshot(index)
		return m.takeActions()
	}
	if replaced {
		m.log(s.name+" history", "%s: the registry was restored or set up anew (revision %d of history %x, before %d of %x); using its list",
			s.name, snapshot.Revision, snapshot.History, s.revision, s.history)
		s.malformed = map[string]string{}
	}
	items, confirmed := s.takeConfirmation(snapshot.Items, replaced)
	previous := s.items
	s.items = make(map[string]Item, len(items))
	for _, item := range items {
		m.putItem(s, item, previous)
	}
	if !snapshot.Stale {
		s.recordReports(now, previous, replaced)
	}
	s.history, s.revision = snapshot.History, snapshot.Revision
	s.synced, s.hasSnapshot = true, true
	s.forgetMalformed(items)
	m.markReachable(now, s, !snapshot.Stale)
	m.chooseSource(now)
	m.publish(now)
	if confirmed {
		m.dropRetained(now)
	}
	return m.takeActions()
}

// OnUpdate applies one transaction as a whole. A transaction up to the known revision has no effect.
func (m *Model) OnUpdate(now time.Duration, index int, update Update) []Action {
	s := m.sources[index]
	if !s.synced || update.Revision <= s.revision {
		return nil // if not synced, the requested snapshot will contain the update
	}
	if index == m.active {
		m.dropAddresses(update)
	}
	for _, name := range update.Deletes {
		s.remove(name, now)
	}
	confirmed := false
	touched := make([]string, 0, len(update.Puts)+len(update.Deletes))
	touched = append(touched, update.Deletes...)
	for _, item := range update.Puts {
		if item.Name == ConfirmKey {
			confirmed, s.confirmedRevision = true, item.ModRevision
			continue
		}
		touched = append(touched, item.Name)
		m.putItem(s, item, s.items)
		if item.Malformed == "" {
			s.reportedAt[item.Name] = now
			delete(s.removedAt, item.Name)
		}
	}
	s.revision = update.Revision
	previous, wasUnreachable := m.active, s.unreachable
	m.markReachable(now, s, true)
	m.chooseSource(now)
	sourcesUnchanged := !wasUnreachable && previous == m.active
	if !sourcesUnchanged || !m.publishIncrementally(now, index, touched) {
		m.publish(now)
	}
	if confirmed {
		m.dropRetained(now)
	}
	return m.takeActions()
}

// OnProgress handles a report that nothing has changed up to a revision.
func (m *Model) OnProgress(now time.Duration, index int, revision int64) []Action {
	s := m.sources[index]
	switch {
	case !s.synced:
		return nil
	case revision < s.revision: // revisions never decrease: the registry was replaced
		s.synced = false
		m.requestSnapshot(index)
	default:
		s.revision = revision
		m.markReachable(now, s, true)
		m.chooseSource(now)
		m.publish(now)
	}
	return m.takeActions()
}

// OnCompacted handles a report that the updates after the known revision have been compacted. The known list
// stays in force until the requested snapshot arrives.
func (m *Model) OnCompacted(now time.Duration, index int) []Action {
	s := m.sources[index]
	s.synced = false
	m.requestSnapshot(index)
	return m.takeActions()
}

// OnSourceLost handles a report that a source can't be reached. Its list stays usable for Config.LossTimeout.
func (m *Model) OnSourceLost(now time.Duration, index int, reason string) []Action {
	s := m.sources[index]
	s.loading, s.lossReason = false, reason
	if !s.unreachable {
		s.unreachable, s.reachabilityChangedAt = true, now
		m.log(s.name+" lost", "%s: connection lost (%s); keeping its list", s.name, reason)
	}
	m.chooseSource(now)
	m.publish(now)
	return m.takeActions()
}

// Tick does the work that only depends on time; NextTick returns when to call it.
func (m *Model) Tick(now time.Duration) []Action {
	m.chooseSource(now)
	m.publish(now)
	return m.takeActions()
}

// NextTick returns when Tick next has work to do, always after now; 0 if it has none until another event.
func (m *Model) NextTick(now time.Duration) time.Duration {
	next := time.Duration(0)
	consider := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for i, s := range m.sources {
		if s.hasSnapshot && s.unreachable && i == m.active {
			consider(s.reachabilityChangedAt + m.config.LossTimeout)
		}
		if s.hasSnapshot && !s.unreachable && i != m.active {
			consider(s.reachabilityChangedAt + m.config.FailbackDelay)
		}
	}
	for name := range m.damped {
		consider(now + m.flaps[name].reuseDelay(now, m.config))
	}
	return next
}

// markReachable records that a source has answered; upToDate means that its answer included the newest changes.
func (m *Model) markReachable(now time.Duration, s *source, upToDate bool) {
	if s.unreachable {
		s.unreachable, s.reachabilityChangedAt = false, now
		m.forgetLine(s.name + " lost")
		m.log(s.name+" found", "%s: reachable again", s.name)
		m.forgetLine(s.name + " found")
	}
	if upToDate {
		s.upToDateAt = now
	}
}

// putItem stores one item. A malformed item is replaced by its last valid version in previous, if there is one.
func (m *Model) putItem(s *source, item Item, previous map[string]Item) {
	if item.Malformed == "" {
		delete(s.malformed, item.Name)
		m.forgetLine(malformedTopic(s, item.Name))
		_, listed := s.items[item.Name]
		if !listed && m.config.MaxEntries > 0 && len(s.items) >= m.config.MaxEntries {
			m.log(s.name+" most", "%s: more than %d entries; ignoring the rest", s.name, m.config.MaxEntries)
			return
		}
		s.items[item.Name] = item
		return
	}
	topic := malformedTopic(s, item.Name)
	if old, listed := previous[item.Name]; listed {
		s.items[item.Name] = old
		m.log(topic, "%s: entry %s can't be read (%s); keeping its last valid version", s.name, item.Name, item.Malformed)
	} else {
		m.log(topic, "%s: entry %s can't be read (%s); ignoring it", s.name, item.Name, item.Malformed)
	}
	if len(s.malformed) < maxMalformed {
		s.malformed[item.Name] = item.Malformed
	}
}

func malformedTopic(s *source, name string) string { return s.name + " bad " + name }
