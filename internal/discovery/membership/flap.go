package membership

import (
	"math"
	"time"
)

// An entry that comes and goes several times a second costs connections and half-begun warm-ups, and tells
// nothing but that whoever writes it is broken. Each return counts, counts fade, and from a bound on the entry
// has to stay out until they have faded to half of it, as routes are damped between networks. It goes out, or
// drains, at once as ever: only its return waits.

// flap is what an entry has done of late.
type flap struct {
	n    float64 // returns, faded
	at   time.Duration
	in   bool // in the registry, ready
	seen bool
}

// fade brings a count to now.
func (f flap) fade(now time.Duration, cfg Config) flap {
	if d := now - f.at; d > 0 && f.n > 0 {
		f.n *= math.Exp(-d.Seconds() / cfg.FlapOver.Seconds())
	}
	f.at = now
	return f
}

// until is how long the entry has to stay out yet.
func (f flap) until(now time.Duration, cfg Config) time.Duration {
	n := f.fade(now, cfg).n
	if n <= cfg.FlapMost/2 {
		return time.Millisecond
	}
	return time.Duration(math.Log(n/(cfg.FlapMost/2))*float64(cfg.FlapOver)) + time.Millisecond
}

// flapped notes that an entry is in the list.
func (m *Model) flapped(now time.Duration, name string, ready bool) {
	if f := m.flaps[name]; m.cfg.FlapMost > 0 && (ready != f.in || !f.seen) {
		f = f.fade(now, m.cfg)
		if ready && f.seen {
			f.n++
		}
		f.in, f.seen = ready, true
		m.flaps[name] = f
	}
}

// dampFlaps takes out of the list what comes and goes too often.
func (m *Model) dampFlaps(now time.Duration, next map[string]Entry) {
	if m.cfg.FlapMost <= 0 || m.active < 0 {
		clear(m.damp)
		return
	}
	for name, e := range next {
		m.flapped(now, name, !e.Draining)
	}
	for name, f := range m.flaps {
		if _, there := next[name]; !there && f.in {
			f.in = false
			m.flaps[name] = f
		} else if !there && f.fade(now, m.cfg).n < 0.05 {
			delete(m.flaps, name) // it has been away for long: its next coming is its first
		}
	}
	for name := range next {
		f := m.flaps[name].fade(now, m.cfg)
		switch {
		case f.n > m.cfg.FlapMost && !m.damp[name]:
			m.damp[name] = true
			m.say("flap "+name, "entry %s comes and goes: it stays out until it has been quiet", name)
		case m.damp[name] && f.n <= m.cfg.FlapMost/2:
			delete(m.damp, name)
			m.unsay("flap " + name)
		}
	}
	for name := range m.damp {
		if _, there := next[name]; !there && m.flaps[name].fade(now, m.cfg).n <= m.cfg.FlapMost/2 {
			delete(m.damp, name)
			m.unsay("flap " + name)
		}
	}
	// Danger: where all come and go it is the registry that does, not they.
	damped := 0
	for name, e := range next {
		if m.damp[name] && !e.Draining {
			damped++
		}
	}
	if damped*2 > len(next) {
		return
	}
	for name, e := range next {
		if m.damp[name] && !e.Draining {
			delete(next, name)
		}
	}
}
