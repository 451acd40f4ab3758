package emulator

import (
	"maps"
	"slices"
	"time"
)

// window is the length of the intervals among which the worst one is reported.
const window = 2 * time.Second

// Result reports how well a run served its clients. The value of a response depends on the kind of its request.
type Result struct {
	ValueShare        float64            // earned fraction of the value of all requests
	WorstWindowShare  float64            // the same for the worst interval of two seconds
	ByKind            map[string]float64 // the same by kind of requests
	InTime            int
	Late              int
	Paused            int // responses, in time or late, with a pause above Engine.MaxPause
	Lost              int
	Rejections        int // of first attempts of a client
	FinalRejections   int // rejections that the client did not retry
	Loads             int
	Connections       int
	CrossZoneAttempts int
	MedianLateLatency time.Duration // of late responses
}

// score accumulates the value of responses.
type score struct {
	Result
	earned, owed             map[string]float64
	windowEarned, windowOwed map[int]float64
	lateTimes                []time.Duration
}

func newScore() *score {
	return &score{earned: map[string]float64{}, owed: map[string]float64{}, windowEarned: map[int]float64{}, windowOwed: map[int]float64{}}
}

// record adds a finished request with the value that it earned.
func (s *score) record(q *request, earned float64) {
	owed := q.kind.Value * q.value
	at := int(q.firstAttempt / window)
	s.owed[q.kind.Name] += owed
	s.earned[q.kind.Name] += earned * q.value
	s.windowOwed[at] += owed
	s.windowEarned[at] += earned * q.value
}

// recordServed records a complete response by the time of its first byte.
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

// result returns the totals of the run.
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
