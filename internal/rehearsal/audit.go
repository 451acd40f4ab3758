package rehearsal

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"marlreel/internal/standin"
)

// Life is one process of a proxy, from its start to its end.
type Life struct {
	Proxy int
	Start time.Duration
	Term  time.Duration // when it was told to end; 0: it was not
	End   time.Duration // 0: it lived to the end
	How   string        // killed, ended, crashed
}

// Records is what both sides saw.
type Records struct {
	Scenario *Scenario
	Plan     *Plan
	Tries    []Try
	Nodes    standin.Records
	Lives    []Life
	Reloads  []Reload
}

// The rules, as reports name them.
const (
	RuleLost       = "lost"
	RuleDuplicated = "duplicated"
	RuleDrains     = "drains"
	RuleCold       = "cold"
	RuleSettings   = "settings"
)

// Break is one break of a rule.
type Break struct {
	Rule  string        `json:"rule"`
	What  string        `json:"what"`
	ID    string        `json:"id,omitempty"`
	Class string        `json:"class,omitempty"`
	Node  string        `json:"node,omitempty"`
	Proxy int           `json:"proxy"` // -1 is none
	At    time.Duration `json:"at_ns"`
	Since time.Duration `json:"since_ns,omitempty"` // of what made it a break
}

func (b Break) String() string {
	text := fmt.Sprintf("%s: %s", b.Rule, b.What)
	if b.ID != "" {
		text += fmt.Sprintf(", %s %s", b.Class, b.ID)
	}
	if b.Node != "" {
		text += ", node " + b.Node
	}
	if b.Proxy >= 0 {
		text += fmt.Sprintf(", proxy %d", b.Proxy)
	}
	text += fmt.Sprintf(", at %.3f s", b.At.Seconds())
	if b.Since != 0 {
		text += fmt.Sprintf(" (since %.3f s)", b.Since.Seconds())
	}
	return text
}

// socketSlack is by how much each time limit of the rules is longer on sockets.
const socketSlack = 50 * time.Millisecond

// Audit checks the four rules from what clients and nodes saw. It knows nothing of
// how the proxy works.
func Audit(r Records) []Break {
	a := auditor{Records: r, byID: map[string][]*standin.Send{}, class: map[string]*Class{}, told: map[toldKey][]standin.Told{}}
	for i := range r.Scenario.Classes {
		a.class[r.Scenario.Classes[i].Name] = &r.Scenario.Classes[i]
	}
	for i := range r.Nodes.Sends {
		if s := &r.Nodes.Sends[i]; !s.Probe {
			a.byID[s.ID] = append(a.byID[s.ID], s)
		}
	}
	for _, sends := range a.byID {
		slices.SortStableFunc(sends, func(x, y *standin.Send) int { return int(x.Whole - y.Whole) })
	}
	for _, t := range r.Nodes.Told {
		k := toldKey{t.Proxy, t.Node}
		a.told[k] = append(a.told[k], t)
	}
	for i := range r.Tries {
		a.answers(&r.Tries[i])
		a.effects(&r.Tries[i])
	}
	a.drains()
	a.cold()
	a.breaks = append(a.breaks, reloadBreaks(r.Reloads)...)
	sort.SliceStable(a.breaks, func(i, j int) bool { return a.breaks[i].At < a.breaks[j].At })
	return a.breaks
}

type toldKey struct {
	proxy int
	node  string
}

type auditor struct {
	Records
	byID   map[string][]*standin.Send
	class  map[string]*Class
	told   map[toldKey][]standin.Told
	breaks []Break
}

func (a *auditor) found(rule, what string, t *Try, node string, at, since time.Duration) {
	a.breaks = append(a.breaks, Break{
		Rule: rule, What: what, ID: t.ID, Class: a.className(t), Node: node,
		Proxy: t.Proxy, At: at, Since: since,
	})
}

func (a *auditor) className(t *Try) string {
	return a.Scenario.Classes[a.Plan.Requests[t.Request].Class].Name
}

// killed tells that a proxy was killed while it held something: from a little before
// until a little after, as neither side sees the moment itself.
func (a *auditor) killed(proxy int, from, to time.Duration) bool {
	for _, l := range a.Lives {
		if l.Proxy == proxy && l.How == "killed" && l.End >= from-socketSlack && l.End <= to+socketSlack {
			return true
		}
	}
	return false
}

// answers checks that what was taken got exactly one final answer, in time, made by
// a node for it, and that nothing went out for it afterwards.
func (a *auditor) answers(t *Try) {
	switch t.Outcome {
	case Broken, Silent:
		if t.Sent == 0 || a.killed(t.Proxy, t.Sent, t.Ended) {
			break // never taken, or its holder was killed
		}
		what := "no answer within the client's time"
		if t.Outcome == Broken {
			what = "the connection ended in place of an answer"
		}
		a.found(RuleLost, what, t, "", t.Ended, t.Sent)
	case Foreign:
		a.found(RuleLost, "served with what no node made for it", t, "", t.Ended, t.Sent)
	}
	if t.Surplus > 0 {
		a.found(RuleLost, "answered more than once", t, "", t.Ended, t.Sent)
	}
	for _, s := range a.byID[t.ID] {
		// It met the end of an idle connection, its client believed, and was sent once
		// more; but it had been read, and taken.
		if t.Crossed != 0 && s.Began < t.Crossed && !a.killed(s.Proxy, s.Began, t.Crossed) {
			a.found(RuleLost, "taken, and its connection ended in place of an answer", t, s.Node, t.Crossed, s.Began)
			break
		}
	}
	if t.Outcome == Served || t.Outcome == Refused || t.Outcome == Failed {
		for _, s := range a.byID[t.ID] {
			if s.Began > t.Ended+socketSlack {
				a.found(RuleLost, "sent to a node after its final answer", t, s.Node, s.Began, t.Ended)
			}
		}
	}
}

// ran tells that an arrival may have run.
func ran(s *standin.Send) bool { return s.Effect != standin.TurnedAway }

// effects checks that nothing went out again, and nothing was refused, that may have
// run, but as its class allows.
func (a *auditor) effects(t *Try) {
	sends := a.byID[t.ID]
	// What a killed proxy held is the client's to repeat. It did, under the same id, as
	// the connection's end looked to it like one between two requests.
	if t.Crossed != 0 && len(sends) > 0 && a.killed(sends[0].Proxy, sends[0].Began, t.Crossed) {
		sends = slices.DeleteFunc(slices.Clone(sends), func(s *standin.Send) bool {
			return s.Proxy == sends[0].Proxy && s.Began < t.Crossed
		})
	}
	c := &a.Scenario.Classes[a.Plan.Requests[t.Request].Class]
	most := a.Scenario.Rules.MaxAttempts
	if a.Scenario.Proxies.Fleet.Keepers == 0 { // a fleet's files are no word to one proxy: see agreed
		most = attemptsAt(most, a.Reloads, t.Proxy, t.Sent-t.Writing)
	}
	if len(sends) > most {
		a.found(RuleDuplicated, fmt.Sprintf("%d attempts, %d are allowed", len(sends), most), t, sends[most].Node, sends[most].Whole, sends[0].Whole)
	}
	a.agreed(t, sends)
	if c.Effect == "safe" {
		return
	}
	var first *standin.Send // that may have run
	for i, s := range sends {
		// Sent while an earlier one was still out: its end can't have been known.
		for _, e := range sends[:i] {
			if !ran(e) && c.Effect == "unsafe" && e.Ended != 0 && s.Began < e.Ended {
				a.found(RuleDuplicated, "sent again while an earlier attempt was out", t, s.Node, s.Began, e.Began)
			}
		}
		switch {
		case first == nil:
		case c.Effect == "unsafe":
			a.found(RuleDuplicated, "unsafe, and sent again after it may have run", t, s.Node, s.Whole, first.Whole)
		case s.Zone != first.Zone:
			a.found(RuleDuplicated, "keyed, and sent to another group after it may have run", t, s.Node, s.Whole, first.Whole)
		case s.Began > first.Whole+c.Window.D():
			a.found(RuleDuplicated, "keyed, and sent again when its group had forgotten it", t, s.Node, s.Whole, first.Whole)
		}
		if first == nil && ran(s) {
			first = s
		}
	}
	if t.Outcome == Refused && first != nil && first.Began < t.Ended {
		a.found(RuleDuplicated, "refused after it may have run", t, first.Node, t.Ended, first.Whole)
	}
}

// lifeAt is the start of the process that a proxy had at a time.
func (a *auditor) lifeAt(proxy int, at time.Duration) time.Duration {
	start := time.Duration(-1)
	for _, l := range a.Lives {
		if l.Proxy == proxy && l.Start <= at {
			start = max(start, l.Start)
		}
	}
	return start
}

// drains checks that nothing new went to a node so long after the proxy was told that
// it drains or is gone. A new process knows only what it was told itself.
func (a *auditor) drains() {
	grace := a.Scenario.Rules.DrainGrace.D() + socketSlack
	for i := range a.Nodes.Sends {
		s := &a.Nodes.Sends[i]
		if s.Probe || s.Proxy < 0 {
			continue
		}
		life := a.lifeAt(s.Proxy, s.Began)
		var since time.Duration
		state := "Ready"
		for _, t := range a.told[toldKey{s.Proxy, s.Node}] {
			if t.At < life || t.At > s.Began {
				continue
			}
			if t.State != "Ready" && state == "Ready" {
				since = t.At
			}
			state = t.State
		}
		if state != "Ready" && s.Began > since+grace {
			a.breaks = append(a.breaks, Break{
				Rule: RuleDrains, What: "sent after the proxy was told " + state, ID: s.ID,
				Class: s.Class, Node: s.Node, Proxy: s.Proxy, At: s.Began, Since: since,
			})
		}
	}
}

// cold checks the budget of each node after each cold start: the work sent to it in
// any window, whatever became of it, under a multiple of what it could do at the
// window's end. It is a break where two thirds of that work came from proxies that
// had been told of the start.
func (a *auditor) cold() {
	spec := a.Scenario.Fleet.Cold
	if spec.For <= 0 {
		return
	}
	sends := map[string][]*standin.Send{}
	for i := range a.Nodes.Sends {
		s := &a.Nodes.Sends[i]
		sends[s.Node] = append(sends[s.Node], s)
	}
	nodes := map[string]PlannedNode{}
	for _, n := range a.Plan.Nodes {
		nodes[n.ID] = n
	}
	for _, e := range a.Nodes.Events {
		if e.State != standin.StartedCold {
			continue
		}
		size := float64(nodes[e.Node].Cores) * float64(nodes[e.Node].Permille) / 1000
		of := sends[e.Node]
		slices.SortStableFunc(of, func(x, y *standin.Send) int { return int(x.Whole - y.Whole) })
		sum, told, from := 0.0, 0.0, 0
		for i, s := range of {
			since := s.Whole - e.At
			if s.Whole < e.At {
				from = i + 1
				continue
			}
			if since >= spec.For.D() {
				break
			}
			sum += s.Work.Seconds()
			if a.toldOfStart(s, e.At) {
				told += s.Work.Seconds()
			}
			for of[from].Whole <= s.Whole-spec.Over.D() {
				sum -= of[from].Work.Seconds()
				if a.toldOfStart(of[from], e.At) {
					told -= of[from].Work.Seconds()
				}
				from++
			}
			share := spec.From + (1-spec.From)*since.Seconds()/spec.For.D().Seconds()
			if sum > spec.Multiple*share*size*spec.Over.D().Seconds() && told >= sum*2/3 {
				a.breaks = append(a.breaks, Break{
					Rule: RuleCold, What: fmt.Sprintf("pushed over: %.2f s of work in %v", sum, spec.Over.D()),
					Node: e.Node, ID: s.ID, Class: s.Class, Proxy: s.Proxy, At: s.Whole, Since: e.At,
				})
				break // once for a start
			}
		}
	}
}

func (a *auditor) toldOfStart(s *standin.Send, start time.Duration) bool {
	return slices.ContainsFunc(a.told[toldKey{s.Proxy, s.Node}], func(t standin.Told) bool {
		return t.State == "Ready" && t.At >= start && t.At <= s.Whole
	})
}
