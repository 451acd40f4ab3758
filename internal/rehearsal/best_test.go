package rehearsal

import (
	"math"
	"testing"
	"time"

	"marlreel/internal/standin"
)

// The bound for a node of one core that is down for two seconds, and returns with half of its capacity, which rises to all
// of it over four seconds. The expected values of each second are computed by hand.
func TestBestByHand(t *testing.T) {
	t.Parallel()
	s := &Scenario{Classes: []Class{{Name: "dear", Worth: 8}, {Name: "cheap", Worth: 1}}}
	s.Fleet.Cold.From, s.Fleet.Cold.For = 0.5, Span(4*time.Second)
	p := &Plan{
		Length: 8 * time.Second, Nodes: []PlannedNode{{ID: "s-1", Cores: 1, Permille: 1000}},
		Events: []Event{{At: 2 * time.Second, What: "die", Until: 4 * time.Second}, {At: 4 * time.Second, What: "end die"}},
	}
	for k := range 8 { // each second: 0.5 s of work worth 8, and 1 s of work worth 10
		p.Requests = append(p.Requests, PlannedRequest{At: time.Duration(k) * time.Second, Class: 0, Work: time.Second / 2})
		for range 10 {
			p.Requests = append(p.Requests, PlannedRequest{At: time.Duration(k) * time.Second, Class: 1, Work: time.Second / 10})
		}
	}
	r := Records{Scenario: s, Plan: p, Nodes: standin.Records{Events: []standin.NodeEvent{
		{Node: "s-1", At: 0, State: "up"},
		{Node: "s-1", At: 2 * time.Second, State: "dead"},
		{Node: "s-1", At: 4 * time.Second, State: standin.StartedCold},
		{Node: "s-1", At: 4 * time.Second, State: "cold"},
		{Node: "s-1", At: 5 * time.Second, State: "fallen"},
	}}}
	served := make([]Worth, 8)
	for k := range served {
		served[k].Served = 6
	}
	b := best(r, 0, served)
	if b == nil || b.FromS != 4 || b.Nodes != 1 {
		t.Fatalf("%+v", b)
	}
	// Up: the valuable request and half of the cheap ones. Cold: the capacity at the beginning of the seconds is 0.5, 0.625,
	// 0.75 and 0.875.
	sum := 0.0
	for k, want := range []float64{13, 13, 0, 0, 8 + 10*0.05625, 8 + 10*0.18125, 8 + 10*0.30625, 8 + 10*0.43125} {
		if math.Abs(b.Seconds[k]-want) > 1e-6 {
			t.Errorf("second %d: %.4f, want %.4f", k, b.Seconds[k], want)
		}
		if k >= 4 {
			sum += want
		}
	}
	if math.Abs(b.Area-24/sum) > 1e-6 {
		t.Errorf("area %.4f, want %.4f", b.Area, 24/sum)
	}
	p.Events = nil
	if best(r, 0, served) != nil {
		t.Error("got a bound although no node came back")
	}
}
