package grayfailure

import (
	"math"
	"time"
)

// Begin starts a comparison of all cells that could get work now, to find the best of each kind
// and how much they differ: See each, then End it, then Judge each.
func (m *Model) Begin() {
	for i := range m.kinds {
		g := &m.kinds[i]
		g.best, g.out, g.q, g.cells, g.sumN = 0, 0, 0, 0, 0
	}
}

// See takes in a cell; mean is the mean of its backend's delay ratios over all kinds, of what was
// noted alone: what is out, or assumed beforehand, is in no cell's mean.
func (m *Model) See(c *Cell, k int, now time.Duration, mean float64) {
	g := &m.kinds[k]
	g.best = max(g.best, m.record(c, k, now))
	if n := c.answers.Fade(now, m.cfg.Memory); n > 1 && mean > 0 {
		d := c.delays.Fade(now, m.cfg.Memory)/n/mean - 1
		g.q, g.cells, g.sumN = g.q+n*d*d, g.cells+1, g.sumN+n
	}
}

// End closes the comparison.
func (m *Model) End() {
	for i := range m.kinds {
		g := &m.kinds[i]
		if g.best == 0 {
			g.best = 1
		}
		// Of a log-normal's ratio to its mean, from the variance of its logarithm.
		n := g.n + priorDevs
		mean := g.dev / n
		v := math.Expm1(min((g.dev2+priorDevs*priorVar)/n-mean*mean, 2))
		// Chance alone makes g.q about cells x v, with a deviation of root(2 cells) x v.
		chance := v * (g.cells + 2*math.Sqrt(2*g.cells))
		g.between = 0
		if g.q > chance && g.sumN > 0 {
			g.between = (g.q - g.cells*v) / g.sumN / v
		}
	}
}

// Change is what Judge made of a cell.
type Change uint8

// The changes.
const (
	Same Change = iota
	WentOut
	CameBack
)

// Judge decides whether the cell is out, against the best of its kind.
func (m *Model) Judge(c *Cell, k int, now time.Duration) Change {
	if !c.Suspect() {
		return Same
	}
	g, p := &m.kinds[k], m.Chance(c, k, now)
	if g.best < outBelow {
		p = 1 // nobody serves it well: it is the kind
	}
	switch {
	case c.outSince == 0 && p < outBelow:
		c.outSince = now
		g.wave.Add(1, now, waveOver)
		g.out++
		return WentOut
	case c.outSince > 0 && p > backAbove:
		c.outSince = 0
		return CameBack
	case c.outSince > 0:
		g.out++
	default:
		m.clear(c) // it may have faded
	}
	return Same
}

// Out tells whether the cell gets nothing but tries, since when, and after how many attempts
// in a row without an answer.
func (c *Cell) Out() (since time.Duration, failures int, out bool) {
	return c.outSince, c.failures + c.opens, c.outSince > 0
}

// SomeOut tells whether any cell of the kind was out at the last comparison.
func (m *Model) SomeOut(k int) bool { return m.kinds[k].out > 0 }

// Delay is the delay ratio to expect of the cell; own is its backend's over all kinds, with the
// ages of what is out, and mean as with See. Danger: a cell's own mean knows nothing of what is
// out; taken in place of own, it would hide a crowd until its answers come.
func (m *Model) Delay(c *Cell, k int, now time.Duration, own, mean float64) float64 {
	b, n := m.kinds[k].between, c.answers.Fade(now, m.cfg.Memory)
	if b <= 0 || n <= 0 || mean <= 0 {
		return own
	}
	w := n / (n + 1/b)
	return own * (1 + w*(c.delays.Fade(now, m.cfg.Memory)/n/mean-1))
}

// Sent counts an attempt that leaves, and earns the kind a part of a try.
func (m *Model) Sent(c *Cell, k int, try bool) {
	g := &m.kinds[k]
	g.tokens = min(g.tokens+m.cfg.Spend, m.cfg.Burst)
	if try {
		c.tryingN++
		g.trying++
	}
}

// MayTry tells whether a cell that is out may get an attempt now.
func (m *Model) MayTry(c *Cell, k int) bool {
	g := &m.kinds[k]
	return c.tryingN == 0 && g.tokens > float64(g.trying)*0.5
}

// Tried takes the end of a try; again says that the request could go elsewhere afterwards.
func (m *Model) Tried(c *Cell, k int, end End, again bool) {
	g := &m.kinds[k]
	c.tryingN, g.trying = max(0, c.tryingN-1), max(0, g.trying-1)
	switch {
	case end == Answered:
		g.tokens = max(g.tokens, m.cfg.Spend) // what one has recovered from, others may have too
	case end == Nothing:
	case again:
		g.tokens -= cheapTry
	default:
		g.tokens--
	}
}

// Drop forgets the tries that are out at a cell whose backend leaves.
func (m *Model) Drop(c *Cell, k int) {
	m.kinds[k].trying = max(0, m.kinds[k].trying-c.tryingN)
	c.tryingN = 0
}
