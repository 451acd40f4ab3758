package rehearsal

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"marlreel/internal/standin"
)

// Life is the lifetime of one process of a proxy.
type Life struct {
	Proxy int
	Start time.Duration
	Term  time.Duration // when it was signalled to end; 0: never
	End   time.Duration // 0: it ran to the end
	How   string        // killed, ended, crashed
}

// Records holds what the clients and the nodes saw in a run, and the state of the proxies' processes.
type Records struct {
	Scenario *Scenario
	Plan     *Plan
	Tries    []Try
	Nodes    standin.Records
	Lives    []Life
	Reloads  []Reload
}

// The names of the rules in reports.
const (
	RuleLost       = "lost"
	RuleDuplicated = "duplicated"
	RuleDrains     = "drains"
	RuleCold       = "cold"
	RuleSettings   = "settings"
)

// Break is one violation of a rule.
type Break struct {
	Rule  string        `json:"rule"`
	What  string        `json:"what"`
	ID    string        `json:"id,omitempty"`
	Class string        `json:"class,omitempty"`
	Node  string        `json:"node,omitempty"`
	Proxy int           `json:"proxy"` // index, or -1
	At    time.Duration `json:"at_ns"`
	Since time.Duration `json:"since_ns,omitempty"` // time of the earlier event that makes this a violation
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

// socketSlack is added to each time limit of the rules, for the delay of sockets and scheduling.
const socketSlack = 50 * time.Millisecond

// Audit checks the four rules, and reloads of settings, from what clients and nodes saw. It makes no
// assumptions on how the proxy works.
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
		a.checkAnswers(&r.Tries[i])
		a.checkEffects(&r.Tries[i])
	}
	a.checkDrains()
	a.checkColdStarts()
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

func (a *auditor) addBreak(rule, what string, t *Try, node string, at, since time.Duration) {
	a.breaks = append(a.breaks, Break{
		Rule: rule, What: what, ID: t.ID, Class: a.className(t), Node: node,
		Proxy: t.Proxy, At: at, Since: since,
	})
}

func (a *auditor) className(t *Try) string {
	return a.Scenario.Classes[a.Plan.Requests[t.Request].Class].Name
}

// killed reports whether a proxy was killed while it had a request in flight. The period is extended by socketSlack
// on both sides, as neither clients nor nodes see the exact time.
func (a *auditor) killed(proxy int, from, to time.Duration) bool {
	for _, l := range a.Lives {
		if l.Proxy == proxy && l.How == "killed" && l.End >= from-socketSlack && l.End <= to+socketSlack {
			return true
		}
	}
	return false
}

// checkAnswers checks that an accepted request got exactly one final answer, in time and made by
// a node for it, and that nothing was sent to a node for it afterwards.
func (a *auditor) checkAnswers(t *Try) {
	switch t.Outcome {
	case Broken, Silent:
		if t.Sent == 0 || a.killed(t.Proxy, t.Sent, t.Ended) {
			break // never accepted, or its proxy was killed
		}
		what := "no answer within the client's time"
		if t.Outcome == Broken {
			what = "the connection ended in place of an answer"
		}
		a.addBreak(RuleLost, what, t, "", t.Ended, t.Sent)
	case Foreign:
		a.addBreak(RuleLost, "served with what no node made for it", t, "", t.Ended, t.Sent)
	}
	if t.Surplus > 0 {
		a.addBreak(RuleLost, "answered more than once", t, "", t.Ended, t.Sent)
	}
	for _, s := range a.byID[t.ID] {
		// The client assumed that the proxy had closed an idle connection, and sent the request
		// again; but the proxy had read and accepted it.
		if t.Crossed != 0 && s.Began < t.Crossed && !a.killed(s.Proxy, s.Began, t.Crossed) {
			a.addBreak(RuleLost, "taken, and its connection ended in place of an answer", t, s.Node, t.Crossed, s.Began)
			break
		}
	}
	if t.Outcome == Served || t.Outcome == Refused || t.Outcome == Failed {
		for _, s := range a.byID[t.ID] {
			if s.Began > t.Ended+socketSlack {
				a.addBreak(RuleLost, "sent to a node after its final answer", t, s.Node, s.Began, t.Ended)
			}
		}
	}
}

// mayHaveRun reports whether an attempt that reached a node may have run there.
func mayHaveRun(s *standin.Send) bool { return s.Effect != standin.TurnedAway }

// checkEffects checks the limit of attempts, and that a request which may have run was repeated or refused
// only as its class allows.
func (a *auditor) checkEffects(t *Try) {
	sends := a.byID[t.ID]
	// A client may repeat what a killed proxy had in flight. Here it did so under the same id, as
	// the connection seemed to have been closed while idle. Attempts of the killed proxy don't count.
	if t.Crossed != 0 && len(sends) > 0 && a.killed(sends[0].Proxy, sends[0].Began, t.Crossed) {
		sends = slices.DeleteFunc(slices.Clone(sends), func(s *standin.Send) bool {
			return s.Proxy == sends[0].Proxy && s.Began < t.Crossed
		})
	}
	c := &a.Scenario.Classes[a.Plan.Requests[t.Request].Class]
	most := a.Scenario.Rules.MaxAttempts
	if a.Scenario.Proxies.Fleet.Keepers == 0 { // in a fleet the limit isn't that of one proxy's file: see checkAgreedAttempts
		most = maxAttemptsAt(most, a.Reloads, t.Proxy, t.Sent-t.Writing)
	}
	if len(sends) > most {
		a.addBreak(RuleDuplicated, fmt.Sprintf("%d attempts, %d are allowed", len(sends), most), t, sends[most].Node, sends[most].Whole, sends[0].Whole)
	}
	a.checkAgreedAttempts(t, sends)
	if c.Effect == "safe" {
		return
	}
	var first *standin.Send // the first attempt that may have run
	for i, s := range sends {
		// Sent while an earlier attempt was in flight: its outcome can't have been known.
		for _, e := range sends[:i] {
			if !mayHaveRun(e) && c.Effect == "unsafe" && e.Ended != 0 && s.Began < e.Ended {
				a.addBreak(RuleDuplicated, "sent again while an earlier attempt was out", t, s.Node, s.Began, e.Began)
			}
		}
		switch {
		case first == nil:
		case c.Effect == "unsafe":
			a.addBreak(RuleDuplicated, "unsafe, and sent again after it may have run", t, s.Node, s.Whole, first.Whole)
		case s.Zone != first.Zone:
			a.addBreak(RuleDuplicated, "keyed, and sent to another group after it may have run", t, s.Node, s.Whole, first.Whole)
		case s.Began > first.Whole+c.Window.D():
			a.addBreak(RuleDuplicated, "keyed, and sent again when its group had forgotten it", t, s.Node, s.Whole, first.Whole)
		}
		if first == nil && mayHaveRun(s) {
			first = s
		}
	}
	if t.Outcome == Refused && first != nil && first.Began < t.Ended {
		a.addBreak(RuleDuplicated, "refused after it may have run", t, first.Node, t.Ended, first.Whole)
	}
}

// processStartAt returns the start of the process that a proxy had at the given time, or -1.
func (a *auditor) processStartAt(proxy int, at time.Duration) time.Duration {
	start := time.Duration(-1)
	for _, l := range a.Lives {
		if l.Proxy == proxy && l.Start <= at {
			start = max(start, l.Start)
		}
	}
	return start
}

// checkDrains checks that nothing was sent to a node later than the drain grace after the proxy was told that
// the node drains or is gone. A new process knows only what it was told itself.
func (a *auditor) checkDrains() {
	grace := a.Scenario.Rules.DrainGrace.D() + socketSlack
	for i := range a.Nodes.Sends {
		s := &a.Nodes.Sends[i]
		if s.Probe || s.Proxy < 0 {
			continue
		}
		life := a.processStartAt(s.Proxy, s.Began)
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

// checkColdStarts checks that no node was overloaded after a cold start: the work sent to it in any window,
// whatever its outcome, must not exceed a multiple of the node's capacity at the end of the window.
// It is a violation only if at least two thirds of that work came from proxies that had been told of the start.
func (a *auditor) checkColdStarts() {
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
				break // at most one violation per start
			}
		}
	}
}

func (a *auditor) toldOfStart(s *standin.Send, start time.Duration) bool {
	return slices.ContainsFunc(a.told[toldKey{s.Proxy, s.Node}], func(t standin.Told) bool {
		return t.State == "Ready" && t.At >= start && t.At <= s.Whole
	})
}
