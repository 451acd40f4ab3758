package grayfailure

import (
	"time"

	"marlreel/internal/balancer/decay"
)

// CellState is what is known of a cell, for another process to go on with. Spans are ages; one below 0 stands for what
// has not happened. What is in flight at the cell is not in it: the attempts are their process's own.
//
// Its encoding is an array: the order of the fields is the stored form. The json tags are the names under which 'marlreel
// state show --json' prints the fields.
type CellState struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	FaultProbability float64       `json:"Bad"`     // 0 to 1
	OtherAnswers     float64       `json:"Vouched"` // of other classes, to attempts sent since SuspectedFor
	SinceUpdate      time.Duration `json:"At"`      // of FaultProbability
	SuspectedFor     time.Duration `json:"Silent"`
	EjectedFor       time.Duration `json:"OutFor"`
	Failures         int           // in a row

	// Sums, decayed.
	OK        float64 // attempts answered while suspected,
	Ended     float64 // of so many
	OKEver    float64 // attempts answered, suspected or not,
	EndedEver float64 // of so many
	Delays    float64 // delay ratios
	Answered  float64 // number of delay ratios
}

// never is the age of what has not happened.
const never = -1

// State gives what is known of a cell.
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

// Resume makes a cell of what was known of one, away ago. Its fault probability drifts over that time as over any other,
// and the sums decay.
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

// ClassState is what is common to the cells of a class, in a form like CellState's.
type ClassState struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Failed          float64 // attempts without an answer, in good cells, decayed,
	Ended           float64 // of so many
	N               float64 // answers that the spread rests on,
	Dev             float64 // sum of the logarithms of their delays over what was expected,
	Dev2            float64 // and of the squares
	RecentEjections float64 `json:"Wave"` // decayed
	Tokens          float64 // for trials; below 0 is a debt
}

// ClassState gives what is known of a class.
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

// ResumeClass goes on with what was known of a class, away ago, its spread as if by maxWeight answers at most. Trials that
// were paid for there are not to be had again.
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
