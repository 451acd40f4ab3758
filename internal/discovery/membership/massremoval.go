package membership

import (
	"maps"
	"math"
	"time"
)

// A registry that was restored from a backup, read under a wrong prefix or emptied by mistake reports a list
// that lost most of its entries. Applied as it is, it would end the service, while the backends still serve. So
// what is removed with too many others is retained: it stays in the list, is judged by health checks and
// attempts as before, and goes when an operator confirms the removal or when the registry lists it again. A
// drain is never retained: it proves that the backend is there and must get nothing new.

// sizeSample is the size of the list at a time.
type sizeSample struct {
	at      time.Duration
	entries int
}

// maxSizeSamples bounds Model.recentSizes.
const maxSizeSamples = 1000

// retainMassRemovals adds to the next list what was removed from it with too many others.
func (m *Model) retainMassRemovals(now time.Duration, next map[string]Entry) {
	for name := range m.retained {
		if _, back := next[name]; back || m.listedBySource(name) {
			delete(m.retained, name)
		}
	}
	if !m.config.limitsLoss() {
		clear(m.retained)
		return
	}
	if len(next) < m.minSize(now, len(next)) {
		m.retainRemoved(next)
	}
	m.recordSize(now, len(next))
	for name, entry := range m.retained {
		if addressTaken(entry.Addr, next) {
			delete(m.retained, name)
			continue
		}
		next[name] = entry
	}
	if len(m.retained) == 0 {
		m.forgetLine("guard")
		return
	}
	m.log("guard", "WARNING: the list lost most of its entries at once; %d that are no longer in it are kept, and judged by their answers, until an operator confirms", len(m.retained))
}

// retainRemoved retains the entries that are in force and not in the next list, but for those that drain, are
// damped or have a successor at their address.
func (m *Model) retainRemoved(next map[string]Entry) {
	for name, entry := range m.list {
		_, stays := next[name]
		if stays || entry.Draining || m.damped[name] || m.listedBySource(name) {
			continue
		}
		if !addressTaken(entry.Addr, next) {
			m.retained[name] = entry
		}
	}
}

// minSize is how small a list that has this size now may be without being suspect. It goes by the sizes that
// the registry reported: retained entries don't count.
func (m *Model) minSize(now time.Duration, size int) int {
	// The last sample counts however old it is: the list had that size until now.
	for len(m.recentSizes) > 1 && now-m.recentSizes[0].at > m.config.LossWindow {
		m.recentSizes = m.recentSizes[1:]
	}
	for _, sample := range m.recentSizes {
		size = max(size, sample.entries)
	}
	return int(math.Ceil(float64(size) * (1 - m.config.MaxLossFraction)))
}

// recordSize takes a sample, or counts it into the last one where that is recent.
func (m *Model) recordSize(now time.Duration, size int) {
	last := len(m.recentSizes) - 1
	switch {
	case last >= 0 && m.recentSizes[last].entries == size && now-m.recentSizes[last].at <= m.config.LossWindow/4:
	case last >= 1 && now-m.recentSizes[last-1].at < m.config.LossWindow/50 && m.recentSizes[last].entries < size:
		m.recentSizes[last].entries = size // of many in a short time the largest
	default:
		m.recentSizes = append(m.recentSizes, sizeSample{now, size})
	}
	if len(m.recentSizes) > maxSizeSamples {
		m.recentSizes = m.recentSizes[len(m.recentSizes)-maxSizeSamples:]
	}
}

// listedBySource reports whether the active source lists an entry, in force or not: then what it says stands.
func (m *Model) listedBySource(name string) bool {
	if m.active < 0 {
		return false
	}
	_, listed := m.sources[m.active].items[name]
	return listed
}

// addressTaken reports whether an entry of a list has this address.
func addressTaken(addr string, list map[string]Entry) bool {
	for _, entry := range list {
		if entry.Addr == addr {
			return true
		}
	}
	return false
}

// ConfirmRemovals drops the retained entries: an operator says that they are gone.
func (m *Model) ConfirmRemovals(now time.Duration) []Action {
	m.dropRetained(now)
	return m.takeActions()
}

func (m *Model) dropRetained(now time.Duration) {
	if len(m.retained) == 0 {
		return
	}
	clear(m.retained)
	next := m.desiredList()
	m.dampFlaps(now, next)
	if !maps.Equal(next, m.list) {
		m.list = next
		m.emitFullList()
	}
	m.recentSizes = []sizeSample{{now, len(next)}} // what was larger before counts no more
	m.forgetLine("guard")
	m.log("confirmed", "an operator confirmed the list: %d entries", len(next))
	m.forgetLine("confirmed")
}
