package membership

import (
	"maps"
	"math"
	"time"
)

// A registry that was restored from a backup, read under a wrong prefix or emptied by a mistake tells a list
// that lost most of its entries. Taken at its word it would end the service; the backends still serve. So
// what goes together with too many others is held: it stays in the list, is judged by probes and attempts as
// ever, and goes when an operator says so or when the registry has it again. A drain is never held: it says
// that the backend is there and must get nothing new.

// sizeSample is the list's at a time.
type sizeSample struct {
	at      time.Duration
	entries int
}

// retainMassRemovals puts what is held back into the list.
func (m *Model) retainMassRemovals(now time.Duration, next map[string]Entry) {
	for name := range m.retained {
		if _, back := next[name]; back || m.listedBySource(name) {
			delete(m.retained, name)
		}
	}
	if m.config.MaxLossFraction >= 1 || m.config.MaxLossFraction <= 0 {
		clear(m.retained)
		return
	}
	floor := m.minSize(now, len(next))
	if len(next) < floor {
		for name, e := range m.list {
			if _, stays := next[name]; !stays && !e.Draining && !m.damped[name] && !m.listedBySource(name) && !m.addressTaken(e, next) {
				m.retained[name] = e
			}
		}
	}
	m.recordSize(now, len(next))
	for name, e := range m.retained {
		if m.addressTaken(e, next) {
			delete(m.retained, name)
			continue
		}
		next[name] = e
	}
	if n := len(m.retained); n > 0 {
		m.log("guard", "WARNING: the list lost most of its entries at once; %d that are no longer in it are kept, and judged by their answers, until an operator confirms", n)
	} else {
		m.forgetLine("guard")
	}
}

// minSize is how small a list that had n entries now may be. It is measured by what a registry had, held ones
// left out: they are not there by its word.
func (m *Model) minSize(now time.Duration, n int) int {
	// The last size counts however old it is: it is what the list was until now.
	for len(m.recentSizes) > 1 && now-m.recentSizes[0].at > m.config.LossWindow {
		m.recentSizes = m.recentSizes[1:]
	}
	for _, s := range m.recentSizes {
		n = max(n, s.entries)
	}
	return int(math.Ceil(float64(n) * (1 - m.config.MaxLossFraction)))
}

// recordSize notes a list's size.
func (m *Model) recordSize(now time.Duration, n int) {
	switch last := len(m.recentSizes) - 1; {
	case last >= 0 && m.recentSizes[last].entries == n && now-m.recentSizes[last].at <= m.config.LossWindow/4:
	case last >= 1 && now-m.recentSizes[last-1].at < m.config.LossWindow/50 && m.recentSizes[last].entries < n:
		m.recentSizes[last].entries = n // of many at once the largest counts
	default:
		m.recentSizes = append(m.recentSizes, sizeSample{now, n})
	}
	if len(m.recentSizes) > 1000 {
		m.recentSizes = m.recentSizes[len(m.recentSizes)-1000:]
	}
}

// listedBySource tells whether the source that counts has an entry, shown or not: then its word on it stands.
func (m *Model) listedBySource(name string) bool {
	if m.active < 0 {
		return false
	}
	_, there := m.sources[m.active].items[name]
	return there
}

// addressTaken tells whether another has the address of one that went.
func (m *Model) addressTaken(e Entry, next map[string]Entry) bool {
	for _, o := range next {
		if o.Addr == e.Addr {
			return true
		}
	}
	return false
}

// ConfirmRemovals lets what is held go: an operator says that it is gone.
func (m *Model) ConfirmRemovals(now time.Duration) []Action {
	m.confirmRemovals(now)
	return m.takeActions()
}

func (m *Model) confirmRemovals(now time.Duration) {
	if len(m.retained) > 0 {
		clear(m.retained)
		m.recentSizes = nil // what is left is the list's size from now on
		next := m.desiredList()
		m.dampFlaps(now, next)
		if !maps.Equal(next, m.list) {
			m.list = next
			m.actions = append(m.actions, FullList{Entries: maps.Clone(next), Cached: m.wantCached})
		}
		m.recentSizes = []sizeSample{{now, len(next)}}
		m.forgetLine("guard")
		m.log("confirmed", "an operator confirmed the list: %d entries", len(next))
		m.forgetLine("confirmed")
	}
}
