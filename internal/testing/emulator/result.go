package emulator

import (
	"maps"
	"slices"
	"time"
)

// window is the span over which the worst seconds are taken.
const window = 2 * time.Second

// Result is how well a run served its clients. Value is that of answers, as the kinds of requests give it.
type Result struct {
	ValueShare        float64            // share of the value of all requests that was earned
	WorstWindowShare  float64            // the same in the worst two seconds
	ByKind            map[string]float64 // the same by kind of requests
	InTime            int
	Late              int
	Paused            int // answers, in time or late, with too long a pause
	Lost              int
	Rejections        int // of first attempts of a client
	FinalRejections   int // rejections that were the last answer to a client
	Loads             int
	Connections       int
	CrossZoneAttempts int
	MedianLateLatency time.Duration // of late answers
}

// score adds up the value of answers.
type score struct {
	Result
	earned, owed             map[string]float64
	windowEarned, windowOwed map[int]float64
	lateTimes                []time.Duration
}

func newScore() *score {
	return &score{earned: map[string]float64{}, owed: map[string]float64{}, windowEarned: map[int]float64{}, windowOwed: map[int]float64{}}
}

// record adds a request that is over, with the value that it has earned.
func (s *score) record(q *request, earned float64) {
	owed := q.kind.Value * q.value
	at := int(q.firstAttempt / window)
	s.owed[q.kind.Name] += owed
	s.earned[q.kind.Name] += earned * q.value
	s.windowOwed[at] += owed
	s.windowEarned[at] += earned * q.value
}

// recordServed is an answer's end.
func (s *score) recordServed(c *call) {
	q, now := c.request, c.firstAt
	switch {
	case c.paused:
		s.Paused++
		s.record(q, q.kind.LateValue)
	case now-q.firstAttempt <= q.kind.LatencyTarget:
		s.InTime++
		s.record(q, q.kind.Value)
	case q.rejectedEarly && now-q.at <= q.kind.LatencyTarget:
		s.InTime++
		s.record(q, (q.kind.Value+q.kind.LateValue)/2)
	default:
		s.Late++
		s.lateTimes = append(s.lateTimes, now-q.firstAttempt)
		s.record(q, q.kind.LateValue)
	}
}

func (s *score) recordLost(c *call) {
	s.Lost++
	s.record(c.request, 0)
}

func (s *score) recordRejected(c *call) {
	s.FinalRejections++
	s.record(c.request, 0)
}

// result sums up.
func (s *score) result() *Result {
	r := s.Result
	earned, owed := 0.0, 0.0
	r.ByKind = map[string]float64{}
	for _, kind := range slices.Sorted(maps.Keys(s.owed)) {
		due := s.owed[kind]
		earned += s.earned[kind]
		owed += due
		r.ByKind[kind] = s.earned[kind] / due
	}
	r.ValueShare = earned / max(owed, 1e-9)
	r.WorstWindowShare = 1
	for at, due := range s.windowOwed {
		r.WorstWindowShare = min(r.WorstWindowShare, s.windowEarned[at]/due)
	}
	r.MedianLateLatency = median(s.lateTimes)
	return &r
}
