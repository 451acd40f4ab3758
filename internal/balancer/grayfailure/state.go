package grayfailure

import (
	"time"

	"marlreel/internal/balancer/decay"
)

// CellState is what is known of a cell, for another process to resume. Durations are ages; a negative age stands for an
// event that has not happened. Attempts in flight at the cell are not included, because they end with their process.
//
// Its encoding is an array: the order of the fields is the stored form. The json tags are the names under which
// 'marlreel state show --json' prints the fields.
type CellState struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	FaultProbability float64       `json:"Bad"`     // 0 to 1
	OtherAnswers     float64       `json:"Vouched"` // answers of other classes to attempts sent since the suspicion began
	SinceUpdate      time.Duration `json:"At"`      // age of FaultProbability
	SuspectedFor     time.Duration `json:"Silent"`
	EjectedFor       time.Duration `json:"OutFor"`
	Failures         int           // in a row

	// Sums, decayed.
	OK        float64 // attempts answered while suspected
	Ended     float64 // attempts ended while suspected
	OKEver    float64 // attempts answered, suspected or not
	EndedEver float64 // attempts ended, suspected or not
	Delays    float64 // delay ratios
	Answered  float64 // number of delay ratios
}

// never is the age of an event that has not happened.
const never = -1

// State returns what is known of a cell.
func (m *Model) State(c *Cell, now time.Duration) CellState {
	age := func(at time.Duration) time.Duration {
		if at <= 0 {
			return never
		}
		return max(0, now-at)
	}
	sum := func(f decay.Sum) float64 { return f.Value(now, m.cfg.TimeConstant) }
	return CellState{
		FaultProbability: c.faultProbability,
		OtherAnswers:     c.otherAnswers,
		SinceUpdate:      max(0, now-c.updatedAt),
		SuspectedFor:     age(c.suspectedSince),
		EjectedFor:       age(c.ejectedAt),
		Failures:         c.consecutiveFailures,
		OK:               sum(c.answeredWhileSuspected),
		Ended:            sum(c.endedWhileSuspected),
		OKEver:           sum(c.answeredEver),
		EndedEver:        sum(c.endedEver),
		Delays:           sum(c.delayRatioSum),
		Answered:         sum(c.delayRatioCount),
	}
}

// Resume restores a cell that another process saved, elapsed ago. Its fault probability drifts over that time as over
// any other, and the sums decay.
func (m *Model) Resume(s CellState, elapsed, now time.Duration) Cell {
	at := func(age time.Duration) time.Duration {
		if age < 0 {
			return 0
		}
		return max(1, now-elapsed-age)
	}
	sum := func(v float64) decay.Sum { return decay.NewSum(v, now-elapsed) }
	return Cell{
		faultProbability:       min(max(s.FaultProbability, 0), maxFaultProbability),
		otherAnswers:           s.OtherAnswers,
		updatedAt:              now - elapsed - s.SinceUpdate,
		suspectedSince:         at(s.SuspectedFor),
		ejectedAt:              at(s.EjectedFor),
		consecutiveFailures:    s.Failures,
		answeredWhileSuspected: sum(s.OK),
		endedWhileSuspected:    sum(s.Ended),
		answeredEver:           sum(s.OKEver),
		endedEver:              sum(s.EndedEver),
		delayRatioSum:          sum(s.Delays),
		delayRatioCount:        sum(s.Answered),
	}
}

// ClassState is what the cells of a class have in common, encoded like CellState.
type ClassState struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Failed          float64 // attempts without an answer in good cells, decayed
	Ended           float64 // attempts ended in good cells, decayed
	N               float64 // number of answers that the spread is based on
	Dev             float64 // sum of the logarithms of their delays relative to the expected delay
	Dev2            float64 // sum of the squares of these logarithms
	RecentEjections float64 `json:"Wave"` // decayed
	Tokens          float64 // for trials; a negative value is a debt
}

// ClassState returns what is known of a class.
func (m *Model) ClassState(k int, now time.Duration) ClassState {
	g := &m.classes[k]
	return ClassState{
		Failed:          g.failed.Value(now, m.cfg.TimeConstant),
		Ended:           g.ended.Value(now, m.cfg.TimeConstant),
		N:               g.answers,
		Dev:             g.logRatioSum,
		Dev2:            g.logRatioSquares,
		RecentEjections: g.recentEjections.Value(now, waveWindow),
		Tokens:          g.trialTokens,
	}
}

// ResumeClass restores what another process saved of a class, elapsed ago, with its spread counting for at most
// maxWeight answers. Trial tokens that were spent there are not available again.
func (m *Model) ResumeClass(k int, s ClassState, maxWeight float64, elapsed, now time.Duration) {
	g := &m.classes[k]
	g.failed = decay.NewSum(s.Failed, now-elapsed)
	g.ended = decay.NewSum(s.Ended, now-elapsed)
	g.recentEjections = decay.NewSum(s.RecentEjections, now-elapsed)
	f := min(1, maxWeight/max(s.N, 1e-9))
	g.answers = s.N * f
	g.logRatioSum = s.Dev * f
	g.logRatioSquares = s.Dev2 * f
	g.trialTokens = min(g.trialTokens, s.Tokens)
}
