package membership

import (
	"math"
	"time"
)

// An entry that is added and removed several times a second wastes connections and interrupted warm-ups; usually its
// writer is broken. As in BGP route flap damping (RFC 2439), each return adds a penalty that decays exponentially.
// Above a limit the entry is damped until the penalty has decayed to half the limit. Only returns are delayed: a
// removal or a drain takes effect at once.

// forgottenPenalty is the penalty below which an absent entry is forgotten; if it appears again, it counts as new.
const forgottenPenalty = 0.05

// flapState is the recent flapping of one entry.
type flapState struct {
	penalty   float64 // number of returns, decayed to updatedAt
	updatedAt time.Duration
	ready     bool // in the list and not draining
	seen      bool // has ever been in the list
}

// decayed returns the state with its penalty decayed to the time now.
func (f flapState) decayed(now time.Duration, config Config) flapState {
	elapsed := now - f.updatedAt
	if elapsed > 0 && f.penalty > 0 {
		f.penalty *= math.Exp(-elapsed.Seconds() / config.FlapDecay.Seconds())
	}
	f.updatedAt = now
	return f
}

// reuseDelay returns how long a damped entry has to stay out of the list; at least 1 ms.
func (f flapState) reuseDelay(now time.Duration, config Config) time.Duration {
	penalty := f.decayed(now, config).penalty
	reuse := config.MaxFlaps / 2
	if penalty <= reuse {
		return time.Millisecond
	}
	return time.Duration(math.Log(penalty/reuse)*float64(config.FlapDecay)) + time.Millisecond
}

// penaltyOf returns an entry's penalty at the time now.
func (m *Model) penaltyOf(now time.Duration, name string) float64 {
	return m.flaps[name].decayed(now, m.config).penalty
}

// nextFlapDamps reports whether one more return would damp an entry.
func (m *Model) nextFlapDamps(now time.Duration, name string) bool {
	return m.config.MaxFlaps > 0 && m.penaltyOf(now, name)+1 > m.config.MaxFlaps
}

// recordPresence records that an entry is in the list, ready or draining.
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

// recordAbsence records that an entry is no longer in the list.
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
		return // when most entries flap, the registry is at fault, not the entries
	}
	for _, name := range damped {
		delete(next, name)
	}
}

// recordFlaps updates all flap states from the next list, and forgets entries whose penalty has decayed while absent.
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

// updateDamped damps entries that flap too often and releases those that have been stable.
func (m *Model) updateDamped(now time.Duration, next map[string]Entry) {
	for name := range next {
		if m.penaltyOf(now, name) > m.config.MaxFlaps && !m.damped[name] {
			m.damped[name] = true
			m.log("flap "+name, "entry %s is flapping; keeping it out of the list until it is stable", name)
		}
	}
	for name := range m.damped {
		if m.penaltyOf(now, name) <= m.config.MaxFlaps/2 {
			delete(m.damped, name)
			m.forgetLine("flap " + name)
		}
	}
}
