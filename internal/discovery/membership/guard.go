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

// size is the list's at a time.
type size struct {
	at time.Duration
	n  int
}

// guard puts what is held back into the list.
func (m *Model) guard(now time.Duration, next map[string]Entry) {
	for name := range m.held {
		if _, back := next[name]; back || m.has(name) {
			delete(m.held, name)
		}
	}
	if m.cfg.Guard >= 1 || m.cfg.Guard <= 0 {
		clear(m.held)
		return
	}
	floor := m.floor(now, len(next))
	if len(next) < floor {
		for name, e := range m.shown {
			if _, stays := next[name]; !stays && !e.Draining && !m.damp[name] && !m.has(name) && !m.replaced(e, next) {
				m.held[name] = e
			}
		}
	}
	m.measure(now, len(next))
	for name, e := range m.held {
		if m.replaced(e, next) {
			delete(m.held, name)
			continue
		}
		next[name] = e
	}
	if n := len(m.held); n > 0 {
		m.say("guard", "WARNING: the list lost most of its entries at once; %d that are no longer in it are kept, and judged by their answers, until an operator confirms", n)
	} else {
		m.unsay("guard")
	}
}

// floor is how small a list that had n entries now may be. It is measured by what a registry had, held ones
// left out: they are not there by its word.
func (m *Model) floor(now time.Duration, n int) int {
	// The last size counts however old it is: it is what the list was until now.
	for len(m.sizes) > 1 && now-m.sizes[0].at > m.cfg.Over {
		m.sizes = m.sizes[1:]
	}
	for _, s := range m.sizes {
		n = max(n, s.n)
	}
	return int(math.Ceil(float64(n) * (1 - m.cfg.Guard)))
}

// measure notes a list's size.
func (m *Model) measure(now time.Duration, n int) {
	switch last := len(m.sizes) - 1; {
	case last >= 0 && m.sizes[last].n == n && now-m.sizes[last].at <= m.cfg.Over/4:
	case last >= 1 && now-m.sizes[last-1].at < m.cfg.Over/50 && m.sizes[last].n < n:
		m.sizes[last].n = n // of many at once the largest counts
	default:
		m.sizes = append(m.sizes, size{now, n})
	}
	if len(m.sizes) > 1000 {
		m.sizes = m.sizes[len(m.sizes)-1000:]
	}
}

// has tells whether the source that counts has an entry, shown or not: then its word on it stands.
func (m *Model) has(name string) bool {
	if m.active < 0 {
		return false
	}
	_, there := m.sources[m.active].items[name]
	return there
}

// replaced tells whether another has the address of one that went.
func (m *Model) replaced(e Entry, next map[string]Entry) bool {
	for _, o := range next {
		if o.Addr == e.Addr {
			return true
		}
	}
	return false
}

// Confirm lets what is held go: an operator says that it is gone.
func (m *Model) Confirm(now time.Duration) []Action {
	m.confirm(now)
	return m.take()
}

func (m *Model) confirm(now time.Duration) {
	if len(m.held) > 0 {
		clear(m.held)
		m.sizes = nil // what is left is the list's size from now on
		next := m.wanted()
		m.dampFlaps(now, next)
		if !maps.Equal(next, m.shown) {
			m.shown = next
			m.out = append(m.out, List{Entries: maps.Clone(next), Cached: m.cached})
		}
		m.sizes = []size{{now, len(next)}}
		m.unsay("guard")
		m.say("confirmed", "an operator confirmed the list: %d entries", len(next))
		m.unsay("confirmed")
	}
}
