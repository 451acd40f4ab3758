package membership

import (
	"math"
	"time"
)

// An entry that comes and goes several times a second costs connections and half-begun warm-ups, and tells
// nothing but that whoever writes it is broken. Each return counts, counts fade, and from a bound on the entry
// has to stay out until they have faded to half of it, as routes are damped between networks. It goes out, or
// drains, at once as ever: only its return waits.

// flapState is what an entry has done of late.
type flapState struct {
	penalty   float64 // returns, faded
	updatedAt time.Duration
	ready     bool // in the registry, ready
	seen      bool
}

// decayed brings a count to now.
func (f flapState) decayed(now time.Duration, cfg Config) flapState {
	if d := now - f.updatedAt; d > 0 && f.penalty > 0 {
		f.penalty *= math.Exp(-d.Seconds() / cfg.FlapDecay.Seconds())
	}
	f.updatedAt = now
	return f
}

// reuseDelay is how long the entry has to stay out yet.
func (f flapState) reuseDelay(now time.Duration, cfg Config) time.Duration {
	n := f.decayed(now, cfg).penalty
	if n <= cfg.MaxFlaps/2 {
		return time.Millisecond
	}
	return time.Duration(math.Log(n/(cfg.MaxFlaps/2))*float64(cfg.FlapDecay)) + time.Millisecond
}

// recordFlap notes that an entry is in the list.
func (m *Model) recordFlap(now time.Duration, name string, ready bool) {
	if f := m.flaps[name]; m.config.MaxFlaps > 0 && (ready != f.ready || !f.seen) {
		f = f.decayed(now, m.config)
		if ready && f.seen {
			f.penalty++
		}
		f.ready, f.seen = ready, true
		m.flaps[name] = f
	}
}

// dampFlaps takes out of the list what comes and goes too often.
func (m *Model) dampFlaps(now time.Duration, next map[string]Entry) {
	if m.config.MaxFlaps <= 0 || m.active < 0 {
		clear(m.damped)
		return
	}
	for name, e := range next {
		m.recordFlap(now, name, !e.Draining)
	}
	for name, f := range m.flaps {
		if _, there := next[name]; !there && f.ready {
			f.ready = false
			m.flaps[name] = f
		} else if !there && f.decayed(now, m.config).penalty < 0.05 {
			delete(m.flaps, name) // it has been away for long: its next coming is its first
		}
	}
	for name := range next {
		f := m.flaps[name].decayed(now, m.config)
		switch {
		case f.penalty > m.config.MaxFlaps && !m.damped[name]:
			m.damped[name] = true
			m.log("flap "+name, "entry %s comes and goes: it stays out until it has been quiet", name)
		case m.damped[name] && f.penalty <= m.config.MaxFlaps/2:
			delete(m.damped, name)
			m.forgetLine("flap " + name)
		}
	}
	for name := range m.damped {
		if _, there := next[name]; !there && m.flaps[name].decayed(now, m.config).penalty <= m.config.MaxFlaps/2 {
			delete(m.damped, name)
			m.forgetLine("flap " + name)
		}
	}
	// Danger: where all come and go it is the registry that does, not they.
	damped := 0
	for name, e := range next {
		if m.damped[name] && !e.Draining {
			damped++
		}
	}
	if damped*2 > len(next) {
		return
	}
	for name, e := range next {
		if m.damped[name] && !e.Draining {
			delete(next, name)
		}
	}
}
