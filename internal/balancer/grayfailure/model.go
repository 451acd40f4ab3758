package grayfailure

import (
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

const (
	priorFailures       = 0.5  // failures assumed of a kind before any was seen,
	priorAttempts       = 25   // in so many attempts
	priorAnswers        = 20   // answers that the assumed spread counts for,
	priorVariance       = 0.36 // which is this, of the logarithm
	deviationRetention  = 0.998
	maxFaultProbability = 0.98            // chance of being bad beyond which nothing more is learnt: the way back stays short
	priorRatio          = 1               // answers that a backend's assumed ratio counts for in the spread of S
	ejectBelow          = 0.5             // of the best cell's chance, under which a cell is out,
	reinstateAbove      = 0.6             // and over which it is back
	rescuedTrialCost    = 0.2             // tokens that a failed try costs which went elsewhere afterwards
	minEvidence         = 0.05            // log likelihood ratio from which what is out counts
	waveWindow          = 3 * time.Second // for which one that went out makes others of its kind likelier to begin,
	waveFactor          = 10              // by so many times
	clearBelow          = 0.03            // chance of being bad under which a cell is suspect no more
	assumedAttempts     = 2               // attempts that Config.Answered counts for in a suspect cell's own share
)

// Outcome says how an attempt ended, as far as it speaks of its kind.
type Outcome uint8

// The ends. Nothing is one that says nothing of the kind of work: a connection that broke,
// a request turned away unseen.
const (
	Unknown Outcome = iota
	Answered
	Failed
	TimedOut // no answer until the attempt was given up, by whomever
)

// Expectation is what to expect of an attempt by all but its own cell.
type Expectation struct {
	Delay   float64 // ms that the kind usually takes, times the backend's ratio in its other kinds
	Answers float64 // how many answers that ratio rests on
}

// Model holds what is common to the cells of each kind. Not safe for concurrent use.
type Model struct {
	cfg     Config
	classes []class
}

type class struct {
	failed, ended   decay.Sum // in good cells
	n, dev, dev2    float64
	recentEjections decay.Sum // cells that went out lately
	trialTokens     float64
	trialsInFlight  int
	ejected         int     // cells, at the last Compare
	best            float64 // chance of the best cell, as a share of a good one's
	between         float64 // variance of the cells' delay ratios beyond chance
	q, cells, sumN  float64 // for between, while Compare runs
}

// New gives a model with nothing learnt.
func New(cfg Config) (*Model, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Model{cfg: cfg, classes: make([]class, cfg.Classes)}
	for i := range m.classes {
		m.classes[i].trialTokens, m.classes[i].best = cfg.TrialBurst, 1
	}
	return m, nil
}

// Grow makes room for so many kinds of work; those there are stay as they are.
func (m *Model) Grow(kinds int) {
	for len(m.classes) < kinds {
		m.classes = append(m.classes, class{trialTokens: m.cfg.TrialBurst, best: 1})
	}
	m.cfg.Classes = len(m.classes)
}

// Forget drops what was learnt of a kind; its cells are the caller's to drop.
func (m *Model) Forget(k int) { m.classes[k] = class{trialTokens: m.cfg.TrialBurst, best: 1} }

// Cell is one kind of work at one backend. The zero value knows nothing.
type Cell struct {
	faultProbability, inFlightEvidence      float64 // chance of being bad by what has ended; log likelihood ratio of what is out
	updatedAt                               time.Duration
	suspectedSince                          time.Duration // when the first attempt left that got no answer since the last one; 0: none
	otherAnswers                            float64       // answers of other kinds to what left after that
	ejectedAt                               time.Duration // when it went out; 0: it is not
	trialsInFlight                          int
	consecutiveFailures, inFlightSuspicious int       // without an answer since the last one: ended, and still out
	ok, ended                               decay.Sum // attempts while suspect: answered, and all
	okEver, endedEver                       decay.Sum // the same, whether suspect or not
	delays                                  decay.Sum // sum of delay ratios, and their number
	answers                                 decay.Sum
}

// failureRatio is how often an attempt of the kind gets no answer in a good cell.
func (m *Model) failureRatio(k int, now time.Duration) float64 {
	f, n := m.classes[k].failed.Value(now, m.cfg.TimeConstant), m.classes[k].ended.Value(now, m.cfg.TimeConstant)
	return (f + priorFailures) / (n + priorAttempts)
}

// SurvivalProbability is the chance that a good cell takes longer than age (ms) to answer.
func (m *Model) SurvivalProbability(k int, age float64, u Expectation) float64 {
	if age <= 0 || u.Delay <= 0 {
		return 1
	}
	c := &m.classes[k]
	n := c.n + priorAnswers
	mean := c.dev / n
	variance := (c.dev2+priorAnswers*priorVariance)/n - mean*mean
	variance *= 1 + 1/(u.Answers+priorRatio) // the backend's ratio is known only so well
	z := (math.Log(age/u.Delay) - mean) / math.Sqrt(max(variance, 1e-3))
	return math.Erfc(z/math.Sqrt2) / 2
}

// SlowProbability is the chance that what got no answer until age is slow and not lost: the less a good cell
// takes so long, the likelier it is lost.
func (m *Model) SlowProbability(k int, now time.Duration, age float64, u Expectation) float64 {
	e, s := m.failureRatio(k, now), m.SurvivalProbability(k, age, u)
	return (1 - e) * s / (e + (1-e)*s)
}

// timeoutEvidence is the log likelihood ratio, bad against good, of no answer at age.
func (m *Model) timeoutEvidence(k int, now time.Duration, age float64, u Expectation) float64 {
	return m.evidence(m.failureRatio(k, now), m.SurvivalProbability(k, age, u))
}

func (m *Model) evidence(e, longer float64) float64 {
	q := m.cfg.AnsweredRatio
	return math.Log((1 - q + q*longer) / (e + (1-e)*longer))
}

// drift brings a cell's chance to the time now.
func (m *Model) drift(c *Cell, k int, now time.Duration) {
	lasts := m.cfg.MinFaultDuration
	if c.ejectedAt > 0 {
		lasts = m.cfg.MaxFaultDuration // tries tell sooner; time alone is for what is hardly ever tried
	}
	begin, end := (1+m.classes[k].recentEjections.Value(now, waveWindow)*waveFactor)/m.cfg.MeanTimeBetweenFaults.Seconds(), 1/lasts.Seconds()
	stationary := begin / (begin + end)
	if c.faultProbability == 0 {
		c.faultProbability = stationary
	}
	if d := (now - c.updatedAt).Seconds(); d > 0 {
		c.faultProbability = stationary + (c.faultProbability-stationary)*math.Exp(-d*(begin+end))
	}
	c.updatedAt = now
}

func update(bad, ratio float64) float64 {
	odds := bad / (1 - bad) * math.Exp(ratio)
	return min(odds/(1+odds), maxFaultProbability)
}

// FaultProbability is the chance that the cell serves its kind badly while its backend serves others.
func (m *Model) FaultProbability(c *Cell, k int, now time.Duration) float64 {
	if !c.Suspected() {
		return 0
	}
	m.drift(c, k, now)
	bad := c.faultProbability
	if c.inFlightEvidence != 0 {
		bad = update(bad, c.inFlightEvidence)
	}
	return bad * c.otherAnswers / (c.otherAnswers + 1)
}

// successRatio is the chance of an answer in time, as a share of a good cell's. What a suspect cell
// still answers is its own: one that fails two in five is to be used less, not left alone.
func (m *Model) successRatio(c *Cell, k int, now time.Duration) float64 {
	ok, n := c.ok.Value(now, m.cfg.TimeConstant), c.ended.Value(now, m.cfg.TimeConstant)
	answered := (ok + assumedAttempts*m.cfg.AnsweredRatio) / (n + assumedAttempts)
	return 1 - m.FaultProbability(c, k, now)*(1-answered)
}

// recentSuccess is what a cell makes others be measured against: the share of its attempts that it
// answered lately. Danger: where a kind fails everywhere, a cell that
// happens to answer one or two would look good enough for all others to be out beside it; and
// one that is out has no attempts to show.
func (m *Model) recentSuccess(c *Cell, k int, now time.Duration) float64 {
	switch {
	case !c.Suspected():
		return 1
	case c.ejectedAt > 0:
		return m.successRatio(c, k, now)
	}
	ok, n := c.okEver.Value(now, m.cfg.TimeConstant), c.endedEver.Value(now, m.cfg.TimeConstant)
	return (ok + assumedAttempts*m.successRatio(c, k, now)) / (n + assumedAttempts)
}

// RelativeSuccess is the chance of an answer in time, as a share of the best cell's of the kind.
func (m *Model) RelativeSuccess(c *Cell, k int, now time.Duration) float64 {
	if !c.Suspected() {
		return 1
	}
	return min(1, m.successRatio(c, k, now)/m.classes[k].best)
}

// RecordDelayRatio takes a delay ratio (what an attempt took over what its kind leads one to expect of
// any backend) into the cell's mean, with a weight.
func (m *Model) RecordDelayRatio(c *Cell, now time.Duration, ratio, weight float64) {
	c.delays.Add(ratio*weight, now, m.cfg.TimeConstant)
	c.answers.Add(weight, now, m.cfg.TimeConstant)
}

// DelayRatios is the sum of the ratios that Note took in, faded, and that of their weights.
func (m *Model) DelayRatios(c *Cell, now time.Duration) (sum, n float64) {
	return c.delays.Value(now, m.cfg.TimeConstant), c.answers.Value(now, m.cfg.TimeConstant)
}

// RecordOutcome learns from the end of an attempt that left at sent. It returns how far the end speaks
// of the backend as a whole, from 1 (all of it) to 0 (of this kind alone).
func (m *Model) RecordOutcome(c *Cell, k int, outcome Outcome, sent, now time.Duration, u Expectation) float64 {
	age, g := millis(now-sent), &m.classes[k]
	switch outcome {
	case Unknown:
		return 1
	case Answered:
		g.ended.Add(1, now, m.cfg.TimeConstant)
		c.okEver.Add(1, now, m.cfg.TimeConstant)
		c.endedEver.Add(1, now, m.cfg.TimeConstant)
		dev := math.Log(max(age, 0.01) / max(u.Delay, 0.01))
		g.n, g.dev, g.dev2 = g.n*deviationRetention+1, g.dev*deviationRetention+dev, g.dev2*deviationRetention+dev*dev
		if c.Suspected() {
			m.drift(c, k, now)
			c.faultProbability = update(c.faultProbability, math.Log(m.cfg.AnsweredRatio/(1-m.failureRatio(k, now))))
			c.consecutiveFailures = 0
			c.ok.Add(1, now, m.cfg.TimeConstant)
			c.ended.Add(1, now, m.cfg.TimeConstant)
			m.clearSuspicion(c)
		}
		return 1
	}
	e, longer := m.failureRatio(k, now), 0.0
	if outcome == TimedOut {
		longer = m.SurvivalProbability(k, age, u)
	}
	ratio := m.evidence(e, longer)
	if !c.Suspected() {
		if ratio < minEvidence { // it was cut off before it could tell anything
			return 1
		}
		c.suspectedSince = sent
	}
	m.drift(c, k, now)
	c.faultProbability = update(c.faultProbability, ratio)
	if longer < 0.5 {
		c.consecutiveFailures++
	}
	c.ended.Add(1-longer, now, m.cfg.TimeConstant)
	c.endedEver.Add(1-longer, now, m.cfg.TimeConstant)
	good := 1 - c.faultProbability*c.otherAnswers/(c.otherAnswers+1)
	g.ended.Add(good, now, m.cfg.TimeConstant)
	g.failed.Add(good*e/(e+(1-e)*longer), now, m.cfg.TimeConstant)
	return good
}

// clearSuspicion ends the suspicion of a cell that nothing speaks against any more.
func (m *Model) clearSuspicion(c *Cell) {
	if c.faultProbability < clearBelow && c.inFlightEvidence == 0 && c.ejectedAt == 0 {
		c.suspectedSince, c.otherAnswers, c.consecutiveFailures = 0, 0, 0
		c.ok, c.ended = decay.Sum{}, decay.Sum{}
	}
}

// RecordOtherAnswer tells a cell that an attempt of another kind, which left at sent, was answered by its
// backend.
func (c *Cell) RecordOtherAnswer(sent time.Duration) {
	if c.suspectedSince > 0 && sent > c.suspectedSince {
		c.otherAnswers++
	}
}

// Suspected tells whether anything speaks against the cell, so that Vouch and Open matter.
func (c *Cell) Suspected() bool { return c.suspectedSince > 0 || c.ejectedAt > 0 }

// ResetInFlight forgets what is known of what is out at the cell; Open then adds each again.
func (c *Cell) ResetInFlight() { c.inFlightEvidence, c.inFlightSuspicious = 0, 0 }

// AddInFlight adds an attempt that is out, at its present age.
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

// SetTimeConstant changes the time over which delays and failures fade; the caller's own estimate of
// a backend has to fade with the same one.
func (m *Model) SetTimeConstant(d time.Duration) { m.cfg.TimeConstant = d }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
