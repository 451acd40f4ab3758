package rehearsal

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"marlreel/internal/standin"
)

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// Three requests worth 1, 8 and 2: the listing is served in time, the bid late, and the pickup
// is refused and then served on the client's retry.
func TestServiceByHand(t *testing.T) {
	r := correctRecords()
	r.Plan.Requests[2].IDs = []string{"c", "c2"}
	r.Tries[1].Ended = 1500 * ms // the bid's target is 400 ms
	r.Tries[2].Outcome, r.Tries[2].Status = Refused, 503
	r.Tries = append(r.Tries, Try{Request: 2, N: 1, ID: "c2", Sent: 1300 * ms, Left: 3000 * ms, Ended: 1550 * ms, Outcome: Served, Status: 200})
	s := Measure(r, 0)
	checkNear(t, "asked", s.Worth.Asked, 11)
	checkNear(t, "served", s.Worth.Served, 3)
	checkNear(t, "late", s.Worth.Late, 8)
	checkNear(t, "the worst window", s.WorstWindow, 3.0/11)
	checkNear(t, "the bids", s.Classes["bid"].Service, 0)
	checkNear(t, "the house", s.Houses["obala"].Service, 3.0/11)
	checkNear(t, "service", s.Service, 0.45*3/11+0.15*3/11+0.30*0+0.10*3/11)
	checkNear(t, "the pickups' p50", s.Classes["pickup"].P50, 550) // from the first try's planned time
	if s.WorstClass != "bid" {
		t.Errorf("the worst class is %s", s.WorstClass)
	}
}

// A request beyond its house's share is worth a tenth, and doesn't count for the house's service.
func TestRequestOverShare(t *testing.T) {
	r := correctRecords()
	r.Plan.Requests[1].Over = true
	r.Tries[1].Outcome = Failed
	s := Measure(r, 0)
	checkNear(t, "asked", s.Worth.Asked, 1+0.8+2)
	checkNear(t, "failed", s.Worth.Failed, 0.8)
	checkNear(t, "the house", s.Houses["obala"].Service, 1)
}

func TestWorstWindow(t *testing.T) {
	seconds := make([]Worth, 30)
	for i := range seconds {
		seconds[i] = Worth{Asked: 10, Served: 10}
		if i >= 14 && i < 19 {
			seconds[i].Served = 0
		}
	}
	worst, at := worstWindow(seconds)
	checkNear(t, "the worst ten seconds", worst, 0.5)
	if at < 9*time.Second || at > 14*time.Second {
		t.Errorf("from %v", at)
	}
	worst, _ = worstWindow(seconds[14:18])
	checkNear(t, "a run of four seconds", worst, 0)
}

func TestPercentiles(t *testing.T) {
	var all []time.Duration
	for i := 1; i <= 100; i++ {
		all = append(all, time.Duration(i)*ms)
	}
	checkNear(t, "p50", percentile(all, .5), 50)
	checkNear(t, "p99", percentile(all, .99), 99)
	checkNear(t, "max", percentile(all, 1), 100)
	checkNear(t, "of none", percentile(nil, .5), 0)
}

// Work on an attempt whose answer the client didn't get is wasted: here that of a second node for one request.
func TestDeductions(t *testing.T) {
	r := correctRecords()
	for i := range r.Plan.Requests {
		r.Plan.Requests[i].Work = 50 * ms
		r.Tries[i].Node = "s-1"
	}
	addAttempt(&r, "a", "s-3", "maribor", 1100*ms, standin.Ran).CrossesZone = true
	s := Measure(r, 0)
	checkNear(t, "waste", s.Deductions["work wasted"], 4*0.05/0.15)
	checkNear(t, "crossings", s.Deductions["data centres crossed"], 2.0/3)
}

// Scripts rely on the names in report.json.
func TestReportNames(t *testing.T) {
	rep := &Report{
		Classes: map[string]Tally{"bid": {}}, Houses: map[string]Tally{"obala": {}}, LengthS: 5,
		Timeline: Timeline{Seconds: []Worth{{Asked: 1, Served: 1}}, Faults: []Mark{{What: "<die>"}}}, Breaks: []Break{{Rule: "lost", What: "gone & lost"}},
	}
	data, err := json.Marshal(rep)
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]any
	if err := json.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"scenario", "seed", "schedule", "service", "worth", "worst_window", "classes", "houses", "rules",
		"crashes", "void", "requests", "attempts", "handshakes", "generator_late_ms",
	} {
		if _, has := m[name]; !has {
			t.Errorf("report.json lacks %s", name)
		}
	}
	for of, names := range map[string][]string{
		"worth": {"asked", "served", "refused", "failed", "late"},
		"rules": {"lost", "duplicated", "drains", "cold"},
	} {
		for _, name := range names {
			if _, has := m[of].(map[string]any)[name]; !has {
				t.Errorf("report.json lacks %s.%s", of, name)
			}
		}
	}
	page, err := rep.HTML()
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	if !strings.Contains(text, "&lt;die&gt;") || strings.Contains(text, "<die>") {
		t.Error("names are not escaped in the page")
	}
	for _, foreign := range []string{"http://", "https://", "<script", "src="} {
		if strings.Contains(text, foreign) {
			t.Errorf("the page has external content: %s", foreign)
		}
	}
}

func TestCompare(t *testing.T) {
	run := func(service float64, schedule string) *Report {
		return &Report{Service: service, Schedule: schedule, Classes: map[string]Tally{}}
	}
	c := Compare([]*Report{run(.9, "x"), run(.8, "y")}, []*Report{run(.5, "x"), run(.6, "y")})
	if !c.SameDays || !c.Separated || math.Abs(c.Figures[0].A.Mean-.85) > 1e-9 || c.Figures[0].B.High != .6 {
		t.Errorf("%+v", c)
	}
	c = Compare([]*Report{run(.9, "x"), run(.55, "y")}, []*Report{run(.5, "x"), run(.6, "z")})
	if c.SameDays || c.Separated || !strings.Contains(c.Text("a", "b"), "overlap") || !strings.Contains(c.Text("a", "b"), "differ") {
		t.Errorf("%s", c.Text("a", "b"))
	}
}

// Nodes are down from 10 s to 15 s and 17 s. Before that 90% is served, so recovery needs 95% of it, 0.855.
func TestRecovery(t *testing.T) {
	t.Parallel()
	fill := func(from, to int, served float64, in []Worth) {
		for i := from; i < to; i++ {
			in[i] = Worth{Asked: 10, Served: served}
		}
	}
	plan := &Plan{Length: 40 * time.Second, Events: []Event{
		{What: "die", Node: 1, At: 10 * time.Second, Until: 17 * time.Second},
		{What: "die", Node: 2, At: 10 * time.Second, Until: 15 * time.Second},
		{What: "slow", Node: 3, At: 2 * time.Second, Until: 30 * time.Second},
	}}
	for _, c := range []struct {
		name string
		play func([]Worth)
		want float64 // -2: no result
	}{
		{"at once", func(s []Worth) { fill(10, 17, 2, s) }, 0},
		{"the first two seconds don't count", func(s []Worth) { fill(0, 2, 0, s); fill(10, 17, 2, s) }, 0},
		// From 22 s on service is at 0.9; a window of five seconds that includes the second with 7 has a mean of 0.86.
		{"late", func(s []Worth) { fill(10, 21, 2, s); fill(21, 22, 7, s) }, 4},
		{"too little in a window", func(s []Worth) { fill(10, 21, 2, s); fill(21, 22, 6, s) }, 5},
		{"never", func(s []Worth) { fill(10, 40, 2, s) }, -1},
		{"only at the very end", func(s []Worth) { fill(10, 36, 2, s) }, -1},
		{"no requests afterwards", func(s []Worth) { fill(10, 30, 2, s); clear(s[30:]) }, -1},
		{"no requests before", func(s []Worth) { clear(s[:10]) }, -2},
	} {
		seconds := make([]Worth, 40)
		fill(0, 40, 9, seconds)
		c.play(seconds)
		got := recovery(Records{Plan: plan}, seconds)
		switch {
		case c.want == -2 && got != nil, c.want != -2 && got == nil:
			t.Errorf("%s: %v", c.name, got)
		case got != nil:
			checkNear(t, c.name, *got, c.want)
		}
	}
	if got := recovery(Records{Plan: &Plan{Events: plan.Events[2:]}}, make([]Worth, 40)); got != nil {
		t.Errorf("got %v although no node went down", *got)
	}
}
