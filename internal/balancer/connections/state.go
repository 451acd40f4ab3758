package connections

import "time"

// State is what was learned from all connections together, for another process to resume. What was learned about a
// single zone or backend is not included: it is learned again within some ten uses.
//
// Its encoding is an array: the order of the fields is the stored form. The json tags are the names under which
// 'marlreel state show --json' prints the fields.
type State struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Uses        [cells]float64 // decayed, by cell
	Broken      [cells]float64 `json:"Breaks"` // of Uses, those that broke
	EarlyUses   float64        // decayed, over all cells
	EarlyBroken float64        `json:"EarlyBreaks"` // of EarlyUses, those that broke soon after the first bytes
	Holdback    time.Duration  `json:"Hold"`
}

// State returns what was learned until now.
func (m *Model) State(now time.Duration) State {
	l := &m.all
	l.decay(now, m.cfg.TimeConstant)
	s := State{EarlyUses: l.early.uses, EarlyBroken: l.early.broken, Holdback: m.holdback}
	for i, t := range l.cells {
		s.Uses[i], s.Broken[i] = t.uses, t.broken
	}
	return s
}

// Resume continues with what another process had learned, elapsed ago, if that is based on more uses.
func (m *Model) Resume(s State, elapsed, now time.Duration) {
	l := &m.all
	l.decay(now, m.cfg.TimeConstant)
	if l.early.uses >= s.EarlyUses {
		return
	}
	*l = level{at: now - elapsed, early: tally{s.EarlyUses, min(s.EarlyBroken, s.EarlyUses)}}
	for i := range l.cells {
		l.cells[i] = tally{s.Uses[i], min(s.Broken[i], s.Uses[i])}
	}
	m.holdback = min(max(s.Holdback, minHoldback), maxHoldback)
}
