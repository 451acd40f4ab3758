package grayfailure

import (
	"math"
	"time"
)

// BeginComparison starts a comparison of all cells that could get work now, to find the best of each kind
// and how much they differ: See each, then End it, then Judge each.
func (m *Model) BeginComparison() {
	for i := range m.classes {
		g := &m.classes[i]
		g.best, g.ejected, g.q, g.cells, g.sumN = 0, 0, 0, 0, 0
	}
}

// AddToComparison takes in a cell; mean is the mean of its backend's delay ratios over all kinds, of what was
// noted alone: what is out, or assumed beforehand, is in no cell's mean.
func (m *Model) AddToComparison(c *Cell, k int, now time.Duration, mean float64) {
	g := &m.classes[k]
	g.best = max(g.best, m.recentSuccess(c, k, now))
	if n := c.answers.Value(now, m.cfg.TimeConstant); n > 1 && mean > 0 {
		d := c.delays.Value(now, m.cfg.TimeConstant)/n/mean - 1
		g.q, g.cells, g.sumN = g.q+n*d*d, g.cells+1, g.sumN+n
	}
}

// EndComparison closes the comparison.
func (m *Model) EndComparison() {
	for i := range m.classes {
		g := &m.classes[i]
		if g.best == 0 {
			g.best = 1
		}
		// Of a log-normal's ratio to its mean, from the variance of its logarithm.
		n := g.n + priorAnswers
		mean := g.dev / n
		v := math.Expm1(min((g.dev2+priorAnswers*priorVariance)/n-mean*mean, 2))
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
	Unchanged Change = iota
	Ejected
	Reinstated
)

// Evaluate decides whether the cell is out, against the best of its kind.
func (m *Model) Evaluate(c *Cell, k int, now time.Duration) Change {
	if !c.Suspected() {
		return Unchanged
	}
	g, p := &m.classes[k], m.RelativeSuccess(c, k, now)
	if g.best < ejectBelow {
		p = 1 // nobody serves it well: it is the kind
	}
	switch {
	case c.ejectedAt == 0 && p < ejectBelow:
		c.ejectedAt = now
		g.recentEjections.Add(1, now, waveWindow)
		g.ejected++
		return Ejected
	case c.ejectedAt > 0 && p > reinstateAbove:
		c.ejectedAt = 0
		return Reinstated
	case c.ejectedAt > 0:
		g.ejected++
	default:
		m.clearSuspicion(c) // it may have faded
	}
	return Unchanged
}

// EjectionState tells whether the cell gets nothing but tries, since when, and after how many attempts
// in a row without an answer.
func (c *Cell) EjectionState() (since time.Duration, failures int, out bool) {
	return c.ejectedAt, c.consecutiveFailures + c.inFlightSuspicious, c.ejectedAt > 0
}

// AnyEjected tells whether any cell of the kind was out at the last comparison.
func (m *Model) AnyEjected(k int) bool { return m.classes[k].ejected > 0 }

// DelayRatio is the delay ratio to expect of the cell; own is its backend's over all kinds, with the
// ages of what is out, and mean as with See. Danger: a cell's own mean knows nothing of what is
// out; taken in place of own, it would hide a crowd until its answers come.
func (m *Model) DelayRatio(c *Cell, k int, now time.Duration, own, mean float64) float64 {
	b, n := m.classes[k].between, c.answers.Value(now, m.cfg.TimeConstant)
	if b <= 0 || n <= 0 || mean <= 0 {
		return own
	}
	w := n / (n + 1/b)
	return own * (1 + w*(c.delays.Value(now, m.cfg.TimeConstant)/n/mean-1))
}

// RecordSent counts an attempt that leaves, and earns the kind a part of a try.
func (m *Model) RecordSent(c *Cell, k int, trial bool) {
	g := &m.classes[k]
	g.trialTokens = min(g.trialTokens+m.cfg.TrialRatio, m.cfg.TrialBurst)
	if trial {
		c.trialsInFlight++
		g.trialsInFlight++
	}
}

// MayTrial tells whether a cell that is out may get an attempt now.
func (m *Model) MayTrial(c *Cell, k int) bool {
	g := &m.classes[k]
	return c.trialsInFlight == 0 && g.trialTokens > float64(g.trialsInFlight)*0.5
}

// RecordTrialOutcome takes the end of a try; again says that the request could go elsewhere afterwards.
func (m *Model) RecordTrialOutcome(c *Cell, k int, outcome Outcome, mayRetry bool) {
	g := &m.classes[k]
	c.trialsInFlight, g.trialsInFlight = max(0, c.trialsInFlight-1), max(0, g.trialsInFlight-1)
	switch {
	case outcome == Answered:
		g.trialTokens = max(g.trialTokens, m.cfg.TrialRatio) // what one has recovered from, others may have too
	case outcome == Unknown:
	case mayRetry:
		g.trialTokens -= rescuedTrialCost
	default:
		g.trialTokens--
	}
}

// ForgetTrials forgets the tries that are out at a cell whose backend leaves.
func (m *Model) ForgetTrials(c *Cell, k int) {
	m.classes[k].trialsInFlight = max(0, m.classes[k].trialsInFlight-c.trialsInFlight)
	c.trialsInFlight = 0
}
