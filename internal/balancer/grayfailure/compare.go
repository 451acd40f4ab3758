package grayfailure

import (
	"math"
	"time"
)

// BeginComparison starts a comparison of all cells that could get requests now, to find the best of each class and how
// much they differ. Call AddToComparison for each cell, then EndComparison, then Evaluate for each cell.
func (m *Model) BeginComparison() {
	for i := range m.classes {
		g := &m.classes[i]
		g.bestSuccess, g.ejectedCells, g.heterogeneity, g.comparedCells, g.comparedAnswers = 0, 0, 0, 0, 0
	}
}

// AddToComparison adds a cell. mean is the mean of its backend's recorded delay ratios over all classes, without
// attempts in flight or prior assumptions, because no cell's mean includes these.
func (m *Model) AddToComparison(c *Cell, k int, now time.Duration, mean float64) {
	g := &m.classes[k]
	g.bestSuccess = max(g.bestSuccess, m.recentSuccess(c, k, now))
	if n := c.delayRatioCount.Value(now, m.cfg.TimeConstant); n > 1 && mean > 0 {
		d := c.delayRatioSum.Value(now, m.cfg.TimeConstant)/n/mean - 1
		g.heterogeneity, g.comparedCells, g.comparedAnswers = g.heterogeneity+n*d*d, g.comparedCells+1, g.comparedAnswers+n
	}
}

// EndComparison completes the comparison.
func (m *Model) EndComparison() {
	for i := range m.classes {
		g := &m.classes[i]
		if g.bestSuccess == 0 {
			g.bestSuccess = 1
		}
		// v is the variance of a log-normal variable's ratio to its mean, from the variance of its logarithm.
		n := g.answers + priorAnswers
		mean := g.logRatioSum / n
		v := math.Expm1(min((g.logRatioSquares+priorAnswers*priorVariance)/n-mean*mean, 2))
		// Chance alone makes g.heterogeneity about cells x v, with a standard deviation of root(2 cells) x v.
		chance := v * (g.comparedCells + 2*math.Sqrt(2*g.comparedCells))
		g.varianceBeyondChance = 0
		if g.heterogeneity > chance && g.comparedAnswers > 0 {
			g.varianceBeyondChance = (g.heterogeneity - g.comparedCells*v) / g.comparedAnswers / v
		}
	}
}

// Change is the result of Evaluate for a cell.
type Change uint8

// The values of Change.
const (
	Unchanged Change = iota
	Ejected
	Reinstated
)

// Evaluate ejects or reinstates a cell, by comparison with the best cell of its class.
func (m *Model) Evaluate(c *Cell, k int, now time.Duration) Change {
	if !c.Suspected() {
		return Unchanged
	}
	g, p := &m.classes[k], m.RelativeSuccess(c, k, now)
	if g.bestSuccess < ejectBelow {
		p = 1 // no backend serves it well: the class fails everywhere
	}
	switch {
	case c.ejectedAt == 0 && p < ejectBelow:
		c.ejectedAt = now
		g.recentEjections.Add(1, now, waveWindow)
		g.ejectedCells++
		return Ejected
	case c.ejectedAt > 0 && p > reinstateAbove:
		c.ejectedAt = 0
		return Reinstated
	case c.ejectedAt > 0:
		g.ejectedCells++
	default:
		m.clearSuspicion(c) // its probability may have drifted down
	}
	return Unchanged
}

// EjectionState reports whether the cell is ejected, so that it gets nothing but trials, since when, and how many
// attempts in a row are without an answer.
func (c *Cell) EjectionState() (since time.Duration, failures int, ejected bool) {
	return c.ejectedAt, c.consecutiveFailures + c.inFlightSuspicious, c.ejectedAt > 0
}

// AnyEjected reports whether any cell of the class was ejected at the last comparison.
func (m *Model) AnyEjected(k int) bool { return m.classes[k].ejectedCells > 0 }

// DelayRatio returns the expected delay ratio of the cell. own is its backend's ratio over all classes, including the
// ages of attempts in flight; mean is as for AddToComparison. The cell's mean only scales own: it includes no attempts
// in flight, so using it instead of own would hide an overload until the answers arrive.
func (m *Model) DelayRatio(c *Cell, k int, now time.Duration, own, mean float64) float64 {
	b, n := m.classes[k].varianceBeyondChance, c.delayRatioCount.Value(now, m.cfg.TimeConstant)
	if b <= 0 || n <= 0 || mean <= 0 {
		return own
	}
	w := n / (n + 1/b)
	return own * (1 + w*(c.delayRatioSum.Value(now, m.cfg.TimeConstant)/n/mean-1))
}

// RecordSent counts an attempt that is sent, which earns its class a part of a trial token.
func (m *Model) RecordSent(c *Cell, k int, trial bool) {
	g := &m.classes[k]
	g.trialTokens = min(g.trialTokens+m.cfg.TrialRatio, m.cfg.TrialBurst)
	if trial {
		c.trialsInFlight++
		g.trialsInFlight++
	}
}

// MayTrial reports whether an ejected cell may get an attempt now.
func (m *Model) MayTrial(c *Cell, k int) bool {
	g := &m.classes[k]
	return c.trialsInFlight == 0 && g.trialTokens > float64(g.trialsInFlight)*0.5
}

// RecordTrialOutcome records the outcome of a trial; mayRetry says that its request may be retried elsewhere.
func (m *Model) RecordTrialOutcome(c *Cell, k int, outcome Outcome, mayRetry bool) {
	g := &m.classes[k]
	c.trialsInFlight, g.trialsInFlight = max(0, c.trialsInFlight-1), max(0, g.trialsInFlight-1)
	switch {
	case outcome == Answered:
		g.trialTokens = max(g.trialTokens, m.cfg.TrialRatio) // other cells may have recovered as well
	case outcome == Unknown:
	case mayRetry:
		g.trialTokens -= rescuedTrialCost
	default:
		g.trialTokens--
	}
}

// ForgetTrials discards the trials in flight at a cell whose backend is removed.
func (m *Model) ForgetTrials(c *Cell, k int) {
	m.classes[k].trialsInFlight = max(0, m.classes[k].trialsInFlight-c.trialsInFlight)
	c.trialsInFlight = 0
}
