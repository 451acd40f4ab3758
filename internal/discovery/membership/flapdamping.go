package membership

import (
	"math"
	"time"
)

// An entry that comes and goes several times a second costs connections and half-begun warm-ups, and proves
// only that its writer is broken. As in BGP route flap damping (RFC 2439), each return adds a penalty that
// decays exponentially; above a bound the entry is damped until the penalty has decayed to half the bound. Only
// returns are delayed: a removal or a drain counts at once.

// forgottenPenalty is below which an absent entry is forgotten: its next appearance is its first.
const forgottenPenalty = 0.05

// flapState is what an entry has done of late.
type flapState struct {
	penalty   float64 // returns, decayed to updatedAt
	updatedAt time.Duration
	ready     bool // in the list and not draining
	seen      bool // has ever been in the list
}

// decayed returns the state with its penalty at a time.
func (f flapState) decayed(now time.Duration, config Config) flapState {
	elapsed := now - f.updatedAt
	if elapsed > 0 && f.penalty > 0 {
		f.penalty *= math.Exp(-elapsed.Seconds() / config.FlapDecay.Seconds())
	}
	f.updatedAt = now
	return f
}

// reuseDelay is how long until a damped entry may return; at least 1 ms.
func (f flapState) reuseDelay(now time.Duration, config Config) time.Duration {
	penalty := f.decayed(now, config).penalty
	reuse := config.MaxFlaps / 2
	if penalty <= reuse {
		return time.Millisecond
	}
	return time.Duration(math.Log(penalty/reuse)*float64(config.FlapDecay)) + time.Millisecond
}

// penaltyOf is an entry's penalty at a time.
func (m *Model) penaltyOf(now time.Duration, name string) float64 {
	return m.flaps[name].decayed(now, m.config).penalty
}

// nextFlapDamps reports whether one more return would damp an entry.
func (m *Model) nextFlapDamps(now time.Duration, name string) bool {
	return m.config.MaxFlaps > 0 && m.penaltyOf(now, name)+1 > m.config.MaxFlaps
}

// recordPresence notes that an entry is in the list, ready or draining.
func (m *Model) recordPresence(now time.Duration, name string, ready bool) {
	flap := m.flaps[name]
	if m.config.MaxFlaps <= 0 || ready == flap.ready && flap.seen {
		return
	}
	flap = flap.decayed(now, m.config)
	if ready && flap.seen {
		flap.penalty++
	}
	flap.ready, flap.seen = ready, true
	m.flaps[name] = flap
}

// recordAbsence notes that an entry is no longer in the list.
func (m *Model) recordAbsence(name string) {
	if flap, known := m.flaps[name]; known {
		flap.ready = false
		m.flaps[name] = flap
	}
}

// dampFlaps removes damped entries from the next list.
func (m *Model) dampFlaps(now time.Duration, next map[string]Entry) {
	if m.config.MaxFlaps <= 0 || m.active < 0 {
		clear(m.damped)
		return
	}
	m.recordFlaps(now, next)
	m.updateDamped(now, next)
	var damped []string
	for name, entry := range next {
		if m.damped[name] && !entry.Draining {
			damped = append(damped, name)
		}
	}
	if 2*len(damped) > len(next) {
		return // where most flap it is the registry that does, not the entries
	}
	for _, name := range damped {
		delete(next, name)
	}
}

// recordFlaps updates all flap states by the next list, and forgets those long absent.
func (m *Model) recordFlaps(now time.Duration, next map[string]Entry) {
	for name, entry := range next {
		m.recordPresence(now, name, !entry.Draining)
	}
	for name, flap := range m.flaps {
		_, listed := next[name]
		switch {
		case listed:
		case flap.ready:
			m.recordAbsence(name)
		case m.penaltyOf(now, name) < forgottenPenalty:
			delete(m.flaps, name)
		}
	}
}

// updateDamped damps what flaps too often and releases what has been quiet.
func (m *Model) updateDamped(now time.Duration, next map[string]Entry) {
	for name := range next {
		if m.penaltyOf(now, name) > m.config.MaxFlaps && !m.damped[name] {
			m.damped[name] = true
			m.log("flap "+name, "entry %s comes and goes: it stays out until it has been quiet", name)
		}
	}
	for name := range m.damped {
		if m.penaltyOf(now, name) <= m.config.MaxFlaps/2 {
			delete(m.damped, name)
			m.forgetLine("flap " + name)
		}
	}
}
