package grayfailure

import (
	"math"
	"time"

	"marlreel/internal/balancer/decay"

	"marlreel/internal/balancer/portablemath"
)

const (
	priorFailures       = 0.5  // failures assumed of a class before any was seen,
	priorAttempts       = 25   // in this many attempts
	priorAnswers        = 20   // answers that the assumed spread counts for,
	priorVariance       = 0.36 // and the variance of the logarithm of their delay ratios
	deviationRetention  = 0.998
	maxFaultProbability = 0.98            // bound for a cell; with a higher one, a recovered cell would take too long to be reinstated
	priorRatio          = 1               // answers that a backend's assumed delay ratio counts for in the spread of S
	ejectBelow          = 0.5             // a cell is ejected below this fraction of the best cell's success,
	reinstateAbove      = 0.6             // and reinstated above this one
	rescuedTrialCost    = 0.2             // tokens that a failed trial costs if its request is retried elsewhere
	minEvidence         = 0.05            // log likelihood ratio from which an attempt counts against a cell
	waveWindow          = 3 * time.Second // time constant in which an ejection makes faults of other cells of its class likelier,
	waveFactor          = 10              // by this factor
	clearBelow          = 0.03            // fault probability below which a cell is no longer suspected
	assumedAttempts     = 2               // attempts that Config.AnsweredRatio counts for in a suspected cell's own ratio
)

// Outcome is how an attempt ended, as evidence on its class.
type Outcome uint8

// The values of Outcome. Unknown says nothing about the class: the connection broke, or the request was rejected
// before it ran.
const (
	Unknown Outcome = iota
	Answered
	Failed
	TimedOut // no answer until the attempt was given up, by either side
)

// Expectation is what all evidence except that of its own cell predicts for an attempt.
type Expectation struct {
	Delay   float64 // ms that the class usually takes, times the backend's delay ratio in its other classes
	Answers float64 // number of answers that this ratio is based on; 0 or more
}

// Model holds what the cells of each class have in common. Not safe for concurrent use.
type Model struct {
	cfg     Config
	classes []class
}

// class is what is common to the cells of one class.
type class struct {
	failed, ended                                 decay.Sum // in good cells
	answers, logRatioSum, logRatioSquares         float64
	recentEjections                               decay.Sum // ejections, decayed over waveWindow
	trialTokens                                   float64
	trialsInFlight                                int
	ejectedCells                                  int     // at the last comparison
	bestSuccess                                   float64 // success ratio of the best cell, relative to a good cell
	varianceBeyondChance                          float64 // of the cells' delay ratios
	heterogeneity, comparedCells, comparedAnswers float64 // while a comparison runs
}

// New returns a model that has learned nothing, or a ConfigError.
func New(cfg Config) (*Model, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Model{cfg: cfg, classes: make([]class, cfg.Classes)}
	for i := range m.classes {
		m.classes[i].trialTokens, m.classes[i].bestSuccess = cfg.TrialBurst, 1
	}
	return m, nil
}

// Grow makes room for the given number of classes; existing ones keep their state.
func (m *Model) Grow(classes int) {
	for len(m.classes) < classes {
		m.classes = append(m.classes, class{trialTokens: m.cfg.TrialBurst, bestSuccess: 1})
	}
	m.cfg.Classes = len(m.classes)
}

// Forget drops what was learned of a class; the caller has to drop its cells.
func (m *Model) Forget(k int) { m.classes[k] = class{trialTokens: m.cfg.TrialBurst, bestSuccess: 1} }

// Cell is one class at one backend. The zero value has no evidence.
type Cell struct {
	// Evidence of a fault.
	faultProbability float64 // from attempts that have ended
	inFlightEvidence float64 // log likelihood ratio of the attempts in flight
	updatedAt        time.Duration
	suspectedSince   time.Duration // when the first unanswered attempt since the last answer was sent; 0: not suspected
	otherAnswers     float64       // answers of other classes to attempts sent after that
	ejectedAt        time.Duration // 0: not ejected

	trialsInFlight      int
	consecutiveFailures int // attempts that ended without an answer since the last answer
	inFlightSuspicious  int // attempts in flight for so long that they count as evidence

	answeredWhileSuspected, endedWhileSuspected decay.Sum // attempts while suspected: answered, and all
	answeredEver, endedEver                     decay.Sum // the same, whether suspected or not
	delayRatioSum, delayRatioCount              decay.Sum // sum of delay ratios, and their number
}

// failureRatio is how often an attempt of the class gets no answer in a good cell, 0 to 1.
func (m *Model) failureRatio(k int, now time.Duration) float64 {
	f, n := m.classes[k].failed.Value(now, m.cfg.TimeConstant), m.classes[k].ended.Value(now, m.cfg.TimeConstant)
	return (f + priorFailures) / (n + priorAttempts)
}

// SurvivalProbability is the probability that a good cell takes longer than age (ms) to answer.
func (m *Model) SurvivalProbability(k int, age float64, u Expectation) float64 {
	if age <= 0 || u.Delay <= 0 {
		return 1
	}
	c := &m.classes[k]
	n := c.answers + priorAnswers
	mean := c.logRatioSum / n
	variance := (c.logRatioSquares+priorAnswers*priorVariance)/n - mean*mean
	variance *= 1 + 1/(u.Answers+priorRatio) // the backend's delay ratio is uncertain itself
	z := (math.Log(age/u.Delay) - mean) / math.Sqrt(max(variance, 1e-3))
	return math.Erfc(z/math.Sqrt2) / 2
}

// SlowProbability is the probability that an attempt without an answer at age (ms) is slow and not lost: the more
// rarely a good cell takes so long, the more likely the attempt is lost.
func (m *Model) SlowProbability(k int, now time.Duration, age float64, u Expectation) float64 {
	e, s := m.failureRatio(k, now), m.SurvivalProbability(k, age, u)
	return (1 - e) * s / (e + (1-e)*s)
}

// timeoutEvidence is the log likelihood ratio, bad cell to good cell, of no answer at age (ms).
func (m *Model) timeoutEvidence(k int, now time.Duration, age float64, u Expectation) float64 {
	return m.evidence(m.failureRatio(k, now), m.SurvivalProbability(k, age, u))
}

// evidence is the log likelihood ratio of no answer, given the failure ratio e and the probability that a good cell
// takes longer.
func (m *Model) evidence(e, survival float64) float64 {
	q := m.cfg.AnsweredRatio
	return math.Log((1 - q + q*survival) / (e + (1-e)*survival))
}

// drift brings a cell's fault probability up to date, by the faults that may have begun or ended since its last update.
func (m *Model) drift(c *Cell, k int, now time.Duration) {
	faultDuration := m.cfg.MinFaultDuration
	if c.ejectedAt > 0 {
		faultDuration = m.cfg.MaxFaultDuration // trials detect the end sooner; time alone is for a class that hardly ever has one
	}
	wave := 1 + m.classes[k].recentEjections.Value(now, waveWindow)*waveFactor
	begin := wave / m.cfg.MeanTimeBetweenFaults.Seconds()
	end := 1 / faultDuration.Seconds()
	stationary := begin / (begin + end)
	if c.faultProbability == 0 {
		c.faultProbability = stationary
	}
	if d := (now - c.updatedAt).Seconds(); d > 0 {
		c.faultProbability = stationary + (c.faultProbability-stationary)*portablemath.Exp(-d*(begin+end))
	}
	c.updatedAt = now
}

// bayesUpdate returns a probability after evidence of the given log likelihood ratio, by Bayes' rule.
func bayesUpdate(probability, logLikelihoodRatio float64) float64 {
	odds := probability / (1 - probability) * portablemath.Exp(logLikelihoodRatio)
	return min(odds/(1+odds), maxFaultProbability)
}

// FaultProbability is the probability that the cell's backend serves its class badly while it serves others.
func (m *Model) FaultProbability(c *Cell, k int, now time.Duration) float64 {
	if !c.Suspected() {
		return 0
	}
	m.drift(c, k, now)
	bad := c.faultProbability
	if c.inFlightEvidence != 0 {
		bad = bayesUpdate(bad, c.inFlightEvidence)
	}
	return bad * c.otherAnswers / (c.otherAnswers + 1)
}

// successRatio is the probability of an answer in time, relative to that of a good cell. The answers of a suspected
// cell count in its favour: a cell that fails two in five attempts is to be used less, not ejected.
func (m *Model) successRatio(c *Cell, k int, now time.Duration) float64 {
	ok, n := c.answeredWhileSuspected.Value(now, m.cfg.TimeConstant), c.endedWhileSuspected.Value(now, m.cfg.TimeConstant)
	answered := (ok + assumedAttempts*m.cfg.AnsweredRatio) / (n + assumedAttempts)
	return 1 - m.FaultProbability(c, k, now)*(1-answered)
}

// recentSuccess is what other cells are compared with: the ratio of its recent attempts that a cell answered. Its
// successRatio alone would not do: where a class fails everywhere, a cell that happens to answer one or two attempts
// would look so good that all others were ejected. An ejected cell has no attempts to go by.
func (m *Model) recentSuccess(c *Cell, k int, now time.Duration) float64 {
	switch {
	case !c.Suspected():
		return 1
	case c.ejectedAt > 0:
		return m.successRatio(c, k, now)
	}
	ok, n := c.answeredEver.Value(now, m.cfg.TimeConstant), c.endedEver.Value(now, m.cfg.TimeConstant)
	return (ok + assumedAttempts*m.successRatio(c, k, now)) / (n + assumedAttempts)
}

// RelativeSuccess is the probability of an answer in time, relative to that of the best cell of the class. It is above
// 0 and at most 1.
func (m *Model) RelativeSuccess(c *Cell, k int, now time.Duration) float64 {
	if !c.Suspected() {
		return 1
	}
	return min(1, m.successRatio(c, k, now)/m.classes[k].bestSuccess)
}

// RecordDelayRatio adds a delay ratio (what an attempt took, divided by what its class takes on average at any backend)
// to the cell's mean, with a weight from 0 to 1.
func (m *Model) RecordDelayRatio(c *Cell, now time.Duration, ratio, weight float64) {
	c.delayRatioSum.Add(ratio*weight, now, m.cfg.TimeConstant)
	c.delayRatioCount.Add(weight, now, m.cfg.TimeConstant)
}

// DelayRatios returns the sum of the recorded delay ratios and the sum of their weights, both decayed.
func (m *Model) DelayRatios(c *Cell, now time.Duration) (sum, n float64) {
	return c.delayRatioSum.Value(now, m.cfg.TimeConstant), c.delayRatioCount.Value(now, m.cfg.TimeConstant)
}

// RecordOutcome records the end of an attempt that was sent at the given time. It returns how far the outcome is
// evidence on the backend as a whole, from 1 (entirely) to 0 (on this class alone).
func (m *Model) RecordOutcome(c *Cell, k int, outcome Outcome, sent, now time.Duration, u Expectation) float64 {
	age := millis(now - sent)
	switch outcome {
	case Unknown:
		return 1
	case Answered:
		m.recordAnswer(c, k, age, now, u)
		return 1
	}
	survival := 0.0
	if outcome == TimedOut {
		survival = m.SurvivalProbability(k, age, u)
	}
	return m.recordFailure(c, k, survival, sent, now)
}

// recordAnswer records an answer that came at the given age (ms).
func (m *Model) recordAnswer(c *Cell, k int, age float64, now time.Duration, u Expectation) {
	g := &m.classes[k]
	g.ended.Add(1, now, m.cfg.TimeConstant)
	c.answeredEver.Add(1, now, m.cfg.TimeConstant)
	c.endedEver.Add(1, now, m.cfg.TimeConstant)
	dev := math.Log(max(age, 0.01) / max(u.Delay, 0.01))
	g.answers = g.answers*deviationRetention + 1
	g.logRatioSum = g.logRatioSum*deviationRetention + dev
	g.logRatioSquares = g.logRatioSquares*deviationRetention + dev*dev
	if !c.Suspected() {
		return
	}
	m.drift(c, k, now)
	c.faultProbability = bayesUpdate(c.faultProbability, math.Log(m.cfg.AnsweredRatio/(1-m.failureRatio(k, now))))
	c.consecutiveFailures = 0
	c.answeredWhileSuspected.Add(1, now, m.cfg.TimeConstant)
	c.endedWhileSuspected.Add(1, now, m.cfg.TimeConstant)
	m.clearSuspicion(c)
}

// recordFailure records an attempt that ended without an answer; survival is the probability that a good cell would
// have taken longer. It returns the result of RecordOutcome.
func (m *Model) recordFailure(c *Cell, k int, survival float64, sent, now time.Duration) float64 {
	e := m.failureRatio(k, now)
	logLikelihoodRatio := m.evidence(e, survival)
	if !c.Suspected() {
		if logLikelihoodRatio < minEvidence { // cancelled too early to be evidence
			return 1
		}
		c.suspectedSince = sent
	}
	m.drift(c, k, now)
	c.faultProbability = bayesUpdate(c.faultProbability, logLikelihoodRatio)
	if survival < 0.5 {
		c.consecutiveFailures++
	}
	c.endedWhileSuspected.Add(1-survival, now, m.cfg.TimeConstant)
	c.endedEver.Add(1-survival, now, m.cfg.TimeConstant)
	good := 1 - c.faultProbability*c.otherAnswers/(c.otherAnswers+1)
	g := &m.classes[k]
	g.ended.Add(good, now, m.cfg.TimeConstant)
	g.failed.Add(good*e/(e+(1-e)*survival), now, m.cfg.TimeConstant)
	return good
}

// clearSuspicion ends the suspicion of a cell if there is no evidence against it any more.
func (m *Model) clearSuspicion(c *Cell) {
	if c.faultProbability < clearBelow && c.inFlightEvidence == 0 && c.ejectedAt == 0 {
		c.suspectedSince, c.otherAnswers, c.consecutiveFailures = 0, 0, 0
		c.answeredWhileSuspected, c.endedWhileSuspected = decay.Sum{}, decay.Sum{}
	}
}

// RecordOtherAnswer records that the cell's backend answered an attempt of another class, sent at the given time.
func (c *Cell) RecordOtherAnswer(sent time.Duration) {
	if c.suspectedSince > 0 && sent > c.suspectedSince {
		c.otherAnswers++
	}
}

// Suspected reports whether there is evidence against the cell.
func (c *Cell) Suspected() bool { return c.suspectedSince > 0 || c.ejectedAt > 0 }

// ResetInFlight discards the evidence of attempts in flight; AddInFlight then adds each again.
func (c *Cell) ResetInFlight() { c.inFlightEvidence, c.inFlightSuspicious = 0, 0 }

// AddInFlight adds the evidence of an attempt in flight, at its present age.
func (m *Model) AddInFlight(c *Cell, k int, sent, now time.Duration, u Expectation) {
	r := m.timeoutEvidence(k, now, millis(now-sent), u)
	if r < minEvidence {
		return
	}
	c.inFlightEvidence, c.inFlightSuspicious = c.inFlightEvidence+r, c.inFlightSuspicious+1
	if c.suspectedSince == 0 || sent < c.suspectedSince && c.consecutiveFailures == 0 {
		c.suspectedSince, c.updatedAt = sent, max(c.updatedAt, sent)
	}
}

// SetTimeConstant changes the time over which delays and failures decay to 1/e. The caller's own estimates of a backend
// must decay with the same time constant.
func (m *Model) SetTimeConstant(d time.Duration) { m.cfg.TimeConstant = d }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
