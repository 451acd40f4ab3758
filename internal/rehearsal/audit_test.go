package rehearsal

import (
	"strings"
	"testing"
	"time"

	"marlreel/internal/standin"
)

const ms = time.Millisecond

// correctRecords returns the records of a run without violations, with three requests, one of each effect.
// Times are relative to the start of the clock.
func correctRecords() Records {
	s := defaults()
	s.Name, s.Proxies.Count = "doctored", 2
	s.Fleet.Zones = []string{"koper", "maribor"}
	s.Classes = []Class{
		{Name: "lot-list", Worth: 1, Effect: "safe", Aim: Span(600 * ms), GiveUp: Span(1200 * ms)},
		{Name: "bid", Worth: 8, Effect: "unsafe", Aim: Span(400 * ms), GiveUp: Span(2000 * ms)},
		{Name: "pickup", Worth: 2, Effect: "keyed", Window: Span(10 * time.Second), Aim: Span(600 * ms), GiveUp: Span(2000 * ms)},
	}
	s.Houses = []House{{Name: "obala", Share: 1}}
	p := &Plan{Length: 5 * time.Second, Nodes: []PlannedNode{
		{ID: "s-1", Zone: "koper", Cores: 2, Permille: 1000, Replaces: -1},
		{ID: "s-2", Zone: "koper", Cores: 2, Permille: 1000, Replaces: -1},
		{ID: "s-3", Zone: "maribor", Cores: 2, Permille: 1000, Replaces: -1},
	}}
	r := Records{Scenario: s, Plan: p, Lives: []Life{{Proxy: 0}, {Proxy: 1}}}
	for i, id := range []string{"a", "b", "c"} {
		p.Requests = append(p.Requests, PlannedRequest{At: time.Second, Class: i, IDs: []string{id}})
		r.Tries = append(r.Tries, Try{
			Request: i, ID: id, Proxy: 0, Planned: 1000 * ms, Sent: 1000 * ms, Left: 2000 * ms,
			Ended: 1200 * ms, Outcome: Served, Status: 200,
		})
		r.Nodes.Sends = append(r.Nodes.Sends, standin.Send{
			Node: "s-1", Zone: "koper", Proxy: 0, ID: id, Class: s.Classes[i].Name,
			Began: 1010 * ms, Whole: 1010 * ms, Effect: standin.Ran, Ended: 1190 * ms, Answered: 200, Work: 50 * ms,
		})
	}
	for _, n := range p.Nodes {
		for k := range 2 {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: k, Node: n.ID, State: "Ready", At: 10 * ms})
		}
	}
	return r
}

// addAttempt adds another attempt of a request, at the given node, and returns it.
func addAttempt(r *Records, of, node, zone string, at time.Duration, effect string) *standin.Send {
	for _, s := range r.Nodes.Sends {
		if s.ID == of {
			s.Node, s.Zone, s.Began, s.Whole, s.Effect, s.Ended = node, zone, at, at, effect, at+100*ms
			r.Nodes.Sends = append(r.Nodes.Sends, s)
			return &r.Nodes.Sends[len(r.Nodes.Sends)-1]
		}
	}
	panic("no such request")
}

func TestAuditWithoutViolations(t *testing.T) {
	if b := Audit(correctRecords()); len(b) != 0 {
		t.Errorf("found %v", b)
	}
}

// Each kind of violation is found under its rule only, with its names and times. Allowed
// behaviour that looks similar isn't reported.
func TestAuditViolations(t *testing.T) {
	for _, c := range []struct {
		name   string
		doctor func(r *Records)
		rule   string // "": no violation
		word   string
	}{
		{"no answer", func(r *Records) { r.Tries[1].Outcome, r.Tries[1].Ended = Silent, 2070*ms }, RuleLost, "no answer"},
		{"a connection that ended", func(r *Records) { r.Tries[0].Outcome = Broken }, RuleLost, "connection ended"},
		{"its proxy was killed", func(r *Records) {
			r.Tries[0].Outcome = Broken
			r.Lives[0] = Life{Proxy: 0, End: 1195 * ms, How: "killed"}
		}, "", ""},
		{"its proxy ended as planned", func(r *Records) {
			r.Tries[0].Outcome = Broken
			r.Lives[0] = Life{Proxy: 0, Term: 1100 * ms, End: 1195 * ms, How: "ended"}
		}, RuleLost, "connection ended"},
		{"the other proxy was killed", func(r *Records) {
			r.Tries[0].Outcome = Broken
			r.Lives[1] = Life{Proxy: 1, End: 1195 * ms, How: "killed"}
		}, RuleLost, "connection ended"},
		{"never accepted", func(r *Records) { r.Tries[1].Outcome, r.Tries[1].Sent = Broken, 0 }, "", ""},
		{"answered twice", func(r *Records) { r.Tries[2].Surplus = 1 }, RuleLost, "more than once"},
		{"invented", func(r *Records) { r.Tries[0].Outcome = Foreign }, RuleLost, "no node made"},
		{"sent after the answer", func(r *Records) { addAttempt(r, "a", "s-2", "koper", 1300*ms, standin.Ran) }, RuleLost, "after its final answer"},
		{"sent just before the answer", func(r *Records) { addAttempt(r, "a", "s-2", "koper", 1195*ms, standin.Ran) }, "", ""},
		{"resent, and not read before", func(r *Records) { r.Tries[1].Crossed = 1005 * ms }, "", ""},
		{"resent, but read before", func(r *Records) { r.Tries[1].Crossed = 1100 * ms }, RuleLost, "taken, and its connection ended"},

		{"a bid that its client repeated after a kill", func(r *Records) {
			r.Lives[0] = Life{Proxy: 0, End: 1040 * ms, How: "killed"}
			r.Tries[1].Crossed, r.Tries[1].Proxy = 1041*ms, 1
			addAttempt(r, "b", "s-2", "koper", 1100*ms, standin.Ran).Proxy = 1
		}, "", ""},
		{"a bid sent twice after a kill", func(r *Records) {
			r.Lives[0] = Life{Proxy: 0, End: 1040 * ms, How: "killed"}
			r.Tries[1].Crossed, r.Tries[1].Proxy = 1041*ms, 1
			addAttempt(r, "b", "s-2", "koper", 1100*ms, standin.Ran).Proxy = 1
			addAttempt(r, "b", "s-1", "koper", 1150*ms, standin.Ran).Proxy = 1
		}, RuleDuplicated, "unsafe"},
		{"a bid twice", func(r *Records) { addAttempt(r, "b", "s-2", "koper", 1100*ms, standin.Ran) }, RuleDuplicated, "unsafe"},
		{"a bid after an error", func(r *Records) {
			r.Nodes.Sends[1].Effect = standin.Failed
			addAttempt(r, "b", "s-2", "koper", 1195*ms, standin.Ran)
		}, RuleDuplicated, "unsafe"},
		{"a bid again after a rejection", func(r *Records) {
			r.Nodes.Sends[1].Effect, r.Nodes.Sends[1].Ended = standin.TurnedAway, 1020*ms
			addAttempt(r, "b", "s-2", "koper", 1030*ms, standin.Ran)
		}, "", ""},
		{"a bid again while an attempt is in flight", func(r *Records) {
			r.Nodes.Sends[1].Effect, r.Nodes.Sends[1].Ended = standin.TurnedAway, 1050*ms
			addAttempt(r, "b", "s-2", "koper", 1030*ms, standin.Ran)
		}, RuleDuplicated, "while an earlier attempt was out"},
		{"a bid refused that ran", func(r *Records) { r.Tries[1].Outcome, r.Tries[1].Status = Refused, 503 }, RuleDuplicated, "refused"},
		{"a bid failed that ran", func(r *Records) { r.Tries[1].Outcome, r.Tries[1].Status = Failed, 502 }, "", ""},
		{"a listing again", func(r *Records) { addAttempt(r, "a", "s-3", "maribor", 1100*ms, standin.Ran) }, "", ""},
		{"a listing refused that ran", func(r *Records) { r.Tries[0].Outcome, r.Tries[0].Status = Refused, 503 }, "", ""},
		{"a pickup again in its group", func(r *Records) { addAttempt(r, "c", "s-2", "koper", 1100*ms, standin.Dropped) }, "", ""},
		{"a pickup in another group", func(r *Records) { addAttempt(r, "c", "s-3", "maribor", 1100*ms, standin.Ran) }, RuleDuplicated, "another group"},
		{"a pickup in another group that never ran", func(r *Records) {
			r.Nodes.Sends[2].Effect, r.Nodes.Sends[2].Ended = standin.TurnedAway, 1020*ms
			addAttempt(r, "c", "s-3", "maribor", 1100*ms, standin.Ran)
		}, "", ""},
		{"a pickup after its window", func(r *Records) {
			r.Tries[2].Ended = 12 * time.Second
			addAttempt(r, "c", "s-2", "koper", 11500*ms, standin.Ran)
		}, RuleDuplicated, "forgotten"},
		{"a pickup refused that ran", func(r *Records) { r.Tries[2].Outcome = Refused }, RuleDuplicated, "refused"},
		{"too many attempts", func(r *Records) {
			for i := range 4 {
				addAttempt(r, "a", "s-2", "koper", (1100+time.Duration(i))*ms, standin.TurnedAway)
			}
		}, RuleDuplicated, "5 attempts"},

		{"sent to a draining node", func(r *Records) {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 0, Node: "s-1", State: "Terminating", At: 400 * ms})
		}, RuleDrains, "Terminating"},
		{"sent within the grace", func(r *Records) {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 0, Node: "s-1", State: "Terminating", At: 500 * ms})
		}, "", ""},
		{"drains, then gone", func(r *Records) {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 0, Node: "s-1", State: "Terminating", At: 100 * ms},
				standin.Told{Proxy: 0, Node: "s-1", State: "Gone", At: 900 * ms})
		}, RuleDrains, "Gone"},
		{"the other proxy was told", func(r *Records) {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 1, Node: "s-1", State: "Gone", At: 100 * ms})
		}, "", ""},
		{"node is ready again", func(r *Records) {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 0, Node: "s-1", State: "Gone", At: 100 * ms},
				standin.Told{Proxy: 0, Node: "s-1", State: "Ready", At: 900 * ms})
		}, "", ""},
		{"a new process not told yet", func(r *Records) {
			r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 0, Node: "s-1", State: "Gone", At: 100 * ms})
			r.Lives = append(r.Lives, Life{Proxy: 0, Start: 800 * ms})
		}, "", ""},

		// The limit for 2 cores at 0.32: 0.64 x 2.5 x 3 s = 4.8 s of work, and a little more as the node warms up.
		{"a cold node overloaded", func(r *Records) { overloadColdNode(r, 1000*ms) }, RuleCold, "pushed over"},
		{"a cold start that no proxy was told of", func(r *Records) { overloadColdNode(r, 3000*ms) }, "", ""},
		{"a warm node overloaded", func(r *Records) { overloadColdNode(r, 1000*ms); r.Nodes.Events = nil }, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := correctRecords()
			c.doctor(&r)
			breaks := Audit(r)
			rules := map[string]int{}
			for _, b := range breaks {
				rules[b.Rule]++
			}
			if c.rule == "" {
				if len(breaks) != 0 {
					t.Errorf("found %v", breaks)
				}
				return
			}
			if len(rules) != 1 || rules[c.rule] == 0 {
				t.Fatalf("found %v, want %s", breaks, c.rule)
			}
			b := breaks[0]
			if !strings.Contains(b.What, c.word) || b.At == 0 || b.Since == 0 || b.ID == "" && c.rule != RuleCold {
				t.Errorf("incomplete violation %q (%+v)", b, b)
			}
			for _, part := range []string{b.Rule, b.ID, b.Class, b.Node} {
				if !strings.Contains(b.String(), part) {
					t.Errorf("%q lacks %q", b, part)
				}
			}
		})
	}
}

// overloadColdNode overloads a node that started cold at 2 s: eleven requests of 0.5 s of work each arrive
// at 2.1 s. The proxy was told of the start only if toldAfter is at most 2 s.
func overloadColdNode(r *Records, toldAfter time.Duration) {
	r.Nodes.Events = append(r.Nodes.Events, standin.NodeEvent{Node: "s-3", At: 2000 * ms, State: standin.StartedCold})
	told := 2050 * ms
	if toldAfter > 2000*ms {
		told = 1900 * ms // before the start, so it doesn't concern it
	}
	r.Nodes.Told = append(r.Nodes.Told, standin.Told{Proxy: 1, Node: "s-3", State: "Ready", At: told})
	for i := range 11 {
		r.Nodes.Sends = append(r.Nodes.Sends, standin.Send{
			Node: "s-3", Zone: "maribor", Proxy: 1, ID: "z" + string(rune('a'+i)), Class: "lot-list",
			Began: 2100 * ms, Whole: 2100*ms + time.Duration(i), Effect: standin.Ran, Work: 500 * ms,
		})
	}
}

// An overload of a cold node is a violation only if two thirds of the work came from proxies that had been told of the
// start. Here it is half.
func TestColdRuleNeedsInformedProxies(t *testing.T) {
	r := correctRecords()
	overloadColdNode(&r, 1000*ms)
	n := 0
	for i := range r.Nodes.Sends {
		if s := &r.Nodes.Sends[i]; s.Node == "s-3" {
			if n++; n%2 == 0 {
				s.Proxy = 0
			}
		}
	}
	if b := Audit(r); len(b) != 0 {
		t.Errorf("found %v", b)
	}
}
