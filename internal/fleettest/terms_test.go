//go:build linux

package fleettest

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// satisfiedTerms returns observations in which every term is just satisfied.
func satisfiedTerms() *Sighting {
	s := &Sighting{
		Bounds: Agreed(), Pushed: true,
		Outages: []Span{{From: 5 * time.Second, To: 13 * time.Second}},
		Changes: []Change{{Backend: "s-1", At: 10 * time.Second, Away: true}, {Backend: "s-2", At: 2 * time.Second, Away: true}, {Backend: "s-2", At: 20 * time.Second}},
		Calls:   []Call{{0, 13*time.Second + 900*ms}},
		Arrived: []Arrival{
			{Backend: "s-1", Request: "a", Began: 19*time.Second + 500*ms, Work: 1},
			{Backend: "s-2", Request: "b", Began: 30 * time.Second, Work: 1},            // it is ready again
			{Backend: "s-2", Request: "c", Began: 19*time.Second + 400*ms, Work: 1},     // the outage restarted the count
			{Backend: "s-3", Request: "left", Began: 3*time.Second + 100*ms, Work: 1},   // just in time
			{Backend: "s-3", Request: "bid", Began: 4 * time.Second, Unsafe: true},      // rejected before it ran
			{Backend: "s-4", Request: "bid", Began: 4100 * ms, Unsafe: true, Ran: true}, // the retry ran
		},
		Asked: []Asked{
			{Request: "left", Sent: 2 * time.Second, Wait: time.Second, Left: 3 * time.Second},
			{Request: "bid", Sent: 4 * time.Second, Wait: time.Second, Answered: 5*time.Second + 500*ms, Answers: 1, Served: true},
			{Request: "held", Sent: 4 * time.Second, Wait: time.Second, Away: true},
		},
		Colds:  []Cold{{"s-cold", Span{40 * time.Second, 48 * time.Second}, 2 * time.Second, func(time.Duration) float64 { return 4 }}},
		Crowds: []Crowd{{0, Span{4 * time.Second, 14 * time.Second}, 5 * time.Second}},
	}
	for i := range 30 {
		s.Started = append(s.Started, Started{Proxy: i, At: time.Second, Ready: 11 * time.Second})
	}
	for i := range 3 {
		s.Started[i].Ready = 0
	}
	for i := range 30 { // ten in any two seconds, the most allowed for a mean of 4: 4 + 2*sqrt(4) + 2
		s.Arrived = append(s.Arrived, Arrival{Backend: "s-cold", Request: fmt.Sprint("cold", i), Began: 40*time.Second + time.Duration(i)*200*ms, Work: 1})
	}
	return s
}

// The audit accepts observations that satisfy all terms, and reports a single violation as one of the right term only.
func TestTermsAreAudited(t *testing.T) {
	if f := satisfiedTerms().Audit(); len(f.Breaks) > 0 {
		t.Fatalf("violations reported where all terms are satisfied: %v", f.Breaks)
	} else if len(f.Figures) != 6 || f.Figures[TermTold].Cases != 2 || f.Figures[TermLeft].Max != 0.1 || f.Figures[TermReady].P50 != 10 {
		t.Errorf("%+v", f.Figures)
	}
	for name, c := range map[string]struct {
		term  Term
		plant func(s *Sighting)
	}{
		"a request after the drain deadline":                    {TermTold, func(s *Sighting) { s.Arrived[0].Began += ms }},
		"a request after the deadline that an outage restarted": {TermTold, func(s *Sighting) { s.Arrived[2].Began = 19*time.Second + 501*ms }},
		"a new process informed from its start":                 {TermTold, func(s *Sighting) { s.Started[0].At = 25 * time.Second; s.Arrived[0].Began = 26 * time.Second }},
		"no outage":                                             {TermTold, func(s *Sighting) { s.Outages = nil; s.Crowds = nil }},
		"a short outage, before":                                {TermTold, func(s *Sighting) { s.Outages[0].To = 9 * time.Second; s.Calls[0].At = 9 * time.Second }},
		"an attempt for a disconnected client":                  {TermLeft, func(s *Sighting) { s.Arrived[3].Began += ms }},
		"a second attempt for a disconnected client": {TermLeft, func(s *Sighting) {
			s.Arrived = append(s.Arrived, Arrival{Backend: "s-9", Request: "left", Began: 3200 * ms, Work: 1})
		}},
		"one request more than a cold backend takes": {TermCold, func(s *Sighting) {
			s.Arrived = append(s.Arrived, Arrival{Backend: "s-cold", Request: "x", Began: 45 * time.Second, Work: 1})
		}},
		"a heavier request than a cold backend takes": {TermCold, func(s *Sighting) { s.Arrived[20].Work = 1.5 }},
		"a limit that falls over time": {TermCold, func(s *Sighting) {
			s.Colds[0].Bears = func(since time.Duration) float64 { return 4 - since.Seconds()/8 }
		}},
		"a request lost during a crowd":       {TermFull, func(s *Sighting) { s.Asked[1].Served = false }},
		"too much CPU used during a crowd":    {TermFull, func(s *Sighting) { s.Crowds[0].CPU += ms }},
		"discovery called late":               {TermFull, func(s *Sighting) { s.Calls[0].At = 14*time.Second + ms }},
		"discovery called by another process": {TermFull, func(s *Sighting) { s.Calls[0].Proxy = 1 }},
		"one process too many not ready":      {TermReady, func(s *Sighting) { s.Started[9].Ready = 0 }},
		"one process too many ready late":     {TermReady, func(s *Sighting) { s.Started[9].Ready += ms }},
		"no response":                         {TermOnce, func(s *Sighting) { s.Asked[1].Answers = 0 }},
		"two responses":                       {TermOnce, func(s *Sighting) { s.Asked[1].Answers = 2 }},
		"a late response":                     {TermOnce, func(s *Sighting) { s.Asked[1].Answered += ms }},
		"an unsafe request that ran twice":    {TermOnce, func(s *Sighting) { s.Arrived[4].Ran = true }},
	} {
		t.Run(name, func(t *testing.T) {
			s := satisfiedTerms()
			c.plant(s)
			f := s.Audit()
			if len(f.Breaks) == 0 || slices.ContainsFunc(f.Breaks, func(b Break) bool { return b.Term != c.term }) {
				t.Errorf("got violations %v", f.Breaks)
			}
		})
	}
	s := satisfiedTerms()
	s.Pushed, s.Started[0].At, s.Started[0].Ready, s.Arrived[0].Began = false, 25*time.Second, 26*time.Second, 31*time.Second
	if f := s.Audit(); len(f.Breaks) > 0 {
		t.Errorf("without push a new process must get the full time from its start: %v", f.Breaks)
	}
}
