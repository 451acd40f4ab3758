package membership

import (
	"maps"
	"math"
	"time"
)

// A registry that was restored from a backup, read under a wrong prefix or emptied by mistake reports a list
// that lost most of its entries. Applying it would cause an outage although the backends still serve. So entries
// that are removed together with too many others are retained: they stay in the list, subject to health checks
// and attempt results as before, until an operator confirms the removal or the registry lists them again. A
// draining entry is never retained: the drain shows that the backend must get no new requests.

// sizeSample is the size of the list at one time.
type sizeSample struct {
	at      time.Duration
	entries int
}

// maxSizeSamples bounds Model.recentSizes.
const maxSizeSamples = 1000

// retainMassRemovals adds to the next list the entries that were removed together with too many others.
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
	m.log("guard", "WARNING: the list lost most of its entries at once; keeping %d removed entries, subject to health checks, until an operator confirms the removal", len(m.retained))
}

// retainRemoved retains the entries that are in force but not in the next list, except those that drain, are
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

// minSize returns the smallest size at which the list, now of the given size, is not suspected of a mass removal.
// It is derived from the sizes that the registry reported within the loss window; retained entries don't count.
func (m *Model) minSize(now time.Duration, size int) int {
	// The newest sample counts however old it is: the list had that size until now.
	for len(m.recentSizes) > 1 && now-m.recentSizes[0].at > m.config.LossWindow {
		m.recentSizes = m.recentSizes[1:]
	}
	for _, sample := range m.recentSizes {
		size = max(size, sample.entries)
	}
	return int(math.Ceil(float64(size) * (1 - m.config.MaxLossFraction)))
}

// recordSize adds a sample, or merges it into the last one if that is recent.
func (m *Model) recordSize(now time.Duration, size int) {
	last := len(m.recentSizes) - 1
	switch {
	case last >= 0 && m.recentSizes[last].entries == size && now-m.recentSizes[last].at <= m.config.LossWindow/4:
	case last >= 1 && now-m.recentSizes[last-1].at < m.config.LossWindow/50 && m.recentSizes[last].entries < size:
		m.recentSizes[last].entries = size // of several samples in a short time, keep the largest
	default:
		m.recentSizes = append(m.recentSizes, sizeSample{now, size})
	}
	if len(m.recentSizes) > maxSizeSamples {
		m.recentSizes = m.recentSizes[len(m.recentSizes)-maxSizeSamples:]
	}
}

// listedBySource reports whether the active source lists an entry, in force or not. Such an entry is not retained:
// the source's report of it applies.
func (m *Model) listedBySource(name string) bool {
	if m.active < 0 {
		return false
	}
	_, listed := m.sources[m.active].items[name]
	return listed
}

// addressTaken reports whether any entry of a list has this address.
func addressTaken(addr string, list map[string]Entry) bool {
	for _, entry := range list {
		if entry.Addr == addr {
			return true
		}
	}
	return false
}

// ConfirmRemovals drops the retained entries after an operator confirmed that they are gone.
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
	m.recentSizes = []sizeSample{{now, len(next)}} // earlier, larger sizes no longer count
	m.forgetLine("guard")
	m.log("confirmed", "an operator confirmed the list: %d entries", len(next))
	m.forgetLine("confirmed")
}
