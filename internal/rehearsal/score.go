package rehearsal

import (
	"math"
	"slices"
	"time"

	"marlreel/internal/standin"
)

// Worth sums up the worth of requests by their outcome.
type Worth struct {
	Asked   float64 `json:"asked"`
	Served  float64 `json:"served"` // within the target latency of the class
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Late    float64 `json:"late"` // answered after the target latency
}

// share returns the part that was served in time, or 1 if nothing was asked.
func (w Worth) share() float64 {
	if w.Asked == 0 {
		return 1
	}
	return w.Served / w.Asked
}

// Tally is the result of a class or a house.
type Tally struct {
	Worth
	Service  float64 `json:"service"`
	Requests int     `json:"requests"`
	P50      float64 `json:"p50_ms"` // of successful answers, from the planned arrival
	P95      float64 `json:"p95_ms"`
	P99      float64 `json:"p99_ms"`
	MostMs   float64 `json:"max_ms"`
	AimMs    float64 `json:"aim_ms,omitempty"`
}

// Score is a run's service by the operators' formula.
type Score struct {
	Service     float64
	Worth       Worth
	WorstWindow float64 // least service over 10 s
	WindowAt    time.Duration
	WorstClass  string
	WorstHouse  string
	Classes     map[string]Tally
	Houses      map[string]Tally
	Deductions  map[string]float64 // points of 100
	After       float64            // service minus the deductions
}

// The weights of the parts of the service.
const (
	weightWhole  = 0.45
	weightWindow = 0.15
	weightClass  = 0.30
	weightHouse  = 0.10
	window       = 10 * time.Second
)

// The outcome of a request.
const (
	inTime = iota
	tooLate
	refused
	failed
)

// Measure computes the service of a run. A client's retries count as part of the original request, and
// latency counts from the planned arrival of the first try.
func Measure(r Records, start time.Duration) Score {
	n := len(r.Plan.Requests)
	end := make([]int, n)
	took := make([]time.Duration, n)
	last := make([]time.Duration, n) // when it ended for the client
	for i := range end {
		end[i] = failed
	}
	for _, t := range r.Tries {
		i := t.Request
		last[i] = max(last[i], t.Ended-start-r.Plan.Requests[i].At-t.Writing)
		switch {
		case end[i] == inTime || end[i] == tooLate:
		case t.Outcome == Served:
			took[i] = t.Ended - start - r.Plan.Requests[i].At - t.Writing
			end[i] = tooLate
			if took[i] <= r.Scenario.Classes[r.Plan.Requests[i].Class].Aim.D() {
				end[i] = inTime
			}
		case t.Outcome == Refused:
			end[i] = refused
		default:
			end[i] = failed
		}
	}
	classes := make([]Tally, len(r.Scenario.Classes))
	houses := make([]Tally, len(r.Scenario.Houses))
	classTimes := make([][]time.Duration, len(classes))
	houseTimes := make([][]time.Duration, len(houses))
	s := Score{Classes: map[string]Tally{}, Houses: map[string]Tally{}, Deductions: map[string]float64{}}
	seconds := make([]Worth, int(math.Ceil(r.Plan.Length.Seconds())))
	late := 0.0
	for i, q := range r.Plan.Requests {
		c := r.Scenario.Classes[q.Class]
		worth := c.Worth
		if q.Over {
			worth *= r.Scenario.Traffic.OverWorth
		}
		into := []*Worth{&s.Worth, &seconds[int(q.At/time.Second)], &classes[q.Class].Worth}
		if !q.Over { // a house's service counts only requests within its share
			into = append(into, &houses[q.House].Worth)
		}
		for _, w := range into {
			w.Asked += worth
			switch end[i] {
			case inTime:
				w.Served += worth
			case tooLate:
				w.Late += worth
			case refused:
				w.Refused += worth
			default:
				w.Failed += worth
			}
		}
		classes[q.Class].Requests++
		houses[q.House].Requests++
		if end[i] == inTime || end[i] == tooLate {
			classTimes[q.Class] = append(classTimes[q.Class], took[i])
			houseTimes[q.House] = append(houseTimes[q.House], took[i])
		}
		if end[i] != inTime && last[i] > c.Aim.D() {
			late += worth
		}
	}
	s.WorstWindow, s.WindowAt = worstWindow(seconds)
	worstClass, worstHouse := 2.0, 2.0
	for i, c := range r.Scenario.Classes {
		t := finish(classes[i], classTimes[i])
		t.AimMs = float64(c.Aim.D()) / 1e6
		s.Classes[c.Name] = t
		if t.Service < worstClass {
			worstClass, s.WorstClass = t.Service, c.Name
		}
	}
	for i, h := range r.Scenario.Houses {
		t := finish(houses[i], houseTimes[i])
		s.Houses[h.Name] = t
		if t.Service < worstHouse {
			worstHouse, s.WorstHouse = t.Service, h.Name
		}
	}
	s.Service = weightWhole*s.Worth.share() + weightWindow*s.WorstWindow + weightClass*worstClass + weightHouse*worstHouse
	s.deduct(r, late)
	return s
}

// worstWindow returns the lowest share over any 10 s that begin on a full second, or that of the whole run if
// it is shorter.
func worstWindow(seconds []Worth) (worst float64, at time.Duration) {
	worst = 2
	n := int(window / time.Second)
	for i := 0; i == 0 || i+n <= len(seconds); i++ {
		var sum Worth
		for _, w := range seconds[i:min(i+n, len(seconds))] {
			sum.Asked += w.Asked
			sum.Served += w.Served
		}
		if share := sum.share(); share < worst {
			worst, at = share, time.Duration(i)*time.Second
		}
	}
	return worst, at
}

func finish(t Tally, times []time.Duration) Tally {
	t.Service = t.share()
	slices.Sort(times)
	t.P50, t.P95, t.P99, t.MostMs = percentile(times, 0.50), percentile(times, 0.95), percentile(times, 0.99), percentile(times, 1)
	return t
}

// percentile returns the p-quantile of sorted durations in milliseconds, by the nearest-rank method.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(p*float64(len(sorted)))) - 1
	return float64(sorted[max(i, 0)]) / 1e6
}

// deduct computes the operators' deductions, in points of 100, and the service after them.
func (s *Score) deduct(r Records, late float64) {
	first := float64(max(1, len(r.Plan.Requests)))
	served := map[string]string{} // the node whose answer the client got, by id
	for _, t := range r.Tries {
		if t.Outcome == Served {
			served[t.ID] = t.Node
		}
	}
	var wasted, asked float64
	for _, q := range r.Plan.Requests {
		asked += q.Work.Seconds()
	}
	var fresh, crossed, probes float64
	for _, n := range r.Nodes.Sends {
		if n.Fresh {
			fresh++
		}
		switch {
		case n.Probe:
			probes++
			wasted += n.Work.Seconds()
		default:
			if n.CrossesZone {
				crossed++
			}
			if served[n.ID] != n.Node && n.Effect != standin.TurnedAway {
				wasted += n.Work.Seconds()
			}
		}
	}
	var open, samples float64
	for _, k := range r.Nodes.Samples {
		open += float64(k.Connections)
		samples++
	}
	d := s.Deductions
	if asked > 0 {
		d["work wasted"] = 4 * wasted / asked
	}
	if s.Worth.Asked > 0 {
		d["failed after the wanted time"] = 3 * late / s.Worth.Asked
	}
	d["new connections"] = 3 * fresh / first
	if samples > 0 {
		d["open connections"] = 3 * open / samples / 100
	}
	d["data centres crossed"] = 2 * crossed / first
	d["probes"] = probes / first
	s.After = s.Service
	for _, points := range d {
		s.After -= points / 100
	}
}
