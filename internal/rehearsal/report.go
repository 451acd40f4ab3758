package rehearsal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marlreel/internal/standin"
)

// Report is the result of a run.
type Report struct {
	Scenario    string             `json:"scenario"`
	About       string             `json:"about"`
	Proxy       string             `json:"proxy"` // name of the measured proxy
	Seed        uint64             `json:"seed"`
	Schedule    string             `json:"schedule"` // SHA-256 over the plan
	LengthS     float64            `json:"length_s"`
	Service     float64            `json:"service"`
	Parts       Parts              `json:"parts"`
	Worth       Worth              `json:"worth"`
	WorstWindow Window             `json:"worst_window"`
	Recovery    *float64           `json:"recovery_s,omitempty"` // see recovery; -1: not within the run
	Best        *Best              `json:"best,omitempty"`       // only if nodes were down and came back
	Classes     map[string]Tally   `json:"classes"`
	Houses      map[string]Tally   `json:"houses"`
	Deductions  map[string]float64 `json:"deductions_points"`
	After       float64            `json:"service_after_deductions"`
	Rules       Rulings            `json:"rules"`
	Breaks      []Break            `json:"breaks"` // the first hundred
	Crashes     int                `json:"crashes"`
	Crashed     []string           `json:"crashed,omitempty"`
	Void        string             `json:"void"`
	Requests    int                `json:"requests"` // first tries
	Tries       int                `json:"tries"`    // including the clients' own retries
	Attempts    int                `json:"attempts"` // attempts that reached a node
	Probes      int                `json:"probes"`
	Handshakes  int                `json:"handshakes"` // connections that nodes accepted
	GeneratorMs float64            `json:"generator_late_ms"`
	GeneratorMx float64            `json:"generator_late_max_ms"`
	Falls       int                `json:"falls"` // nodes that failed from overload, whatever the cause
	Clients     ClientFigures      `json:"clients"`
	Kit         Usage              `json:"kit"`
	Proxies     []Usage            `json:"proxies"`
	Note        string             `json:"note"`
	Timeline    Timeline           `json:"timeline"`
}

// Parts holds the parts of the service.
type Parts struct {
	Whole      float64 `json:"whole"`
	Window     float64 `json:"worst_10s"`
	Class      float64 `json:"worst_class"`
	House      float64 `json:"worst_house_within_share"`
	WorstClass string  `json:"worst_class_name"`
	WorstHouse string  `json:"worst_house_name"`
}

// Window is a period of the run.
type Window struct {
	FromS   float64 `json:"from_s"`
	Service float64 `json:"service"`
}

// Rulings holds the number of violations of each rule.
type Rulings struct {
	Lost       int `json:"lost"`
	Duplicated int `json:"duplicated"`
	Drains     int `json:"drains"`
	Cold       int `json:"cold"`
	Settings   int `json:"settings"`
}

// Kept reports whether no rule was broken.
func (r Rulings) Kept() bool { return r == Rulings{} }

// ClientFigures holds the outcomes of tries, and the number of client connections.
type ClientFigures struct {
	Outcomes    map[string]int `json:"outcomes"`
	Connections int            `json:"connections"` // opened to proxies
	MostOpen    int            `json:"most_open"`
}

// Timeline holds the course of the run, for the charts.
type Timeline struct {
	Seconds []Worth                 `json:"seconds"` // worth by outcome, by planned second
	Latency map[string][]Percentile `json:"latency"`
	Nodes   []NodeLine              `json:"nodes"`
	Faults  []Mark                  `json:"faults"`
	Proxies []Mark                  `json:"proxies"` // lifetimes of their processes
}

// Percentile holds latency percentiles of successful answers over two seconds.
type Percentile struct {
	AtS float64 `json:"at_s"`
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// NodeLine is the state and load of a node over time.
type NodeLine struct {
	ID    string    `json:"id"`
	Zone  string    `json:"zone"`
	Kind  string    `json:"kind"`
	Speed float64   `json:"speed"`
	State []string  `json:"state"` // each second
	Share []float64 `json:"share"` // of the attempts begun by all nodes in that second
}

// Mark is a labelled period of the run.
type Mark struct {
	What  string  `json:"what"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

const maxBreaks = 100

// repeatNote explains which parts of a run a seed reproduces.
const repeatNote = "Equal seed and scenario give an equal schedule: arrivals, classes, houses, keys, demands, node speeds, " +
	"fault times. What the sockets, the scheduler and the proxies' own timers do is not repeated; 'rehearse compare' gives the spread."

func (w *testbed) report(r Records, o Options, start time.Duration, l *clients, began Usage) *Report {
	score := Measure(r, start)
	rep := &Report{
		Scenario: w.scenario.Name, About: w.scenario.About, Proxy: o.Name, Seed: o.Seed, Schedule: w.plan.Digest(),
		LengthS: w.plan.Length.Seconds(), Service: score.Service, Worth: score.Worth,
		Parts: Parts{
			score.Worth.share(), score.WorstWindow, score.Classes[score.WorstClass].Service,
			score.Houses[score.WorstHouse].Service, score.WorstClass, score.WorstHouse,
		},
		WorstWindow: Window{score.WindowAt.Seconds(), score.WorstWindow}, Classes: score.Classes, Houses: score.Houses,
		Deductions: score.Deductions, After: score.After, Crashed: w.crashes, Crashes: len(w.crashes),
		Requests: len(r.Plan.Requests), Tries: len(r.Tries), Handshakes: r.Nodes.Connections, Note: repeatNote,
		Clients: ClientFigures{Outcomes: map[string]int{}, Connections: l.opened, MostOpen: l.mostOpen}, Breaks: []Break{},
	}
	if u := w.scenario.Traffic.Users; w.scenario.Traffic.closed() {
		rep.Note = fmt.Sprintf("A closed loop: %d users, each of whom thinks for %v in the mean, asks, and waits for the end. They ask less "+
			"while the service is slow, so its latency looks better than it would from arrivals. ", u.Count, u.Think.D()) + rep.Note
	}
	now := ownUsage()
	rep.Kit = Usage{CPU: now.CPU - began.CPU, MemoryMB: now.MemoryMB}
	for _, p := range w.proxies {
		rep.Proxies = append(rep.Proxies, p.use)
	}
	for _, s := range r.Nodes.Sends {
		if s.Probe {
			rep.Probes++
		} else {
			rep.Attempts++
		}
	}
	for _, e := range r.Nodes.Events {
		if e.State == "fallen" {
			rep.Falls++
		}
	}
	var late []time.Duration
	for _, t := range r.Tries {
		rep.Clients.Outcomes[t.Outcome]++
		late = append(late, t.Late)
	}
	slices.Sort(late)
	rep.GeneratorMs, rep.GeneratorMx = percentile(late, 0.99), percentile(late, 1)
	if most := float64(maxGeneratorDelay) / 1e6; rep.GeneratorMs > most {
		rep.Void = fmt.Sprintf("the machine was too slow for this load: 1 send in 100 was %.0f ms late or more, %.0f ms is the most", rep.GeneratorMs, most)
	}
	rep.addBreaks(Audit(r), start)
	rep.Timeline = timeline(r, start)
	rep.Recovery = recovery(r, rep.Timeline.Seconds)
	rep.Best = best(r, start, rep.Timeline.Seconds)
	return rep
}

// recovery returns the seconds from the last return of nodes that were down to the first window of five seconds in
// which 95% of the service from before they went down is reached again. It returns -1 if there is no such window in
// the run, and nil if no node came back.
func recovery(r Records, seconds []Worth) *float64 {
	const warm, window = 2, 5
	down, back := r.Plan.Length, time.Duration(0)
	for _, e := range r.Plan.Events {
		if e.Node >= 0 && e.Until > 0 && (e.What == "die" || e.What == "vanish") {
			down, back = min(down, e.At), max(back, e.Until)
		}
	}
	share := func(from, to int) (part float64, asked bool) {
		var sum Worth
		for _, w := range seconds[max(0, min(from, len(seconds))):max(0, min(to, len(seconds)))] {
			sum.Asked += w.Asked
			sum.Served += w.Served
		}
		return sum.share(), sum.Asked > 0
	}
	before := int(down / time.Second)
	if back == 0 || before <= warm {
		return nil
	}
	usual, asked := share(warm, before)
	if !asked {
		return nil
	}
	never, first := -1.0, int((back+time.Second-1)/time.Second)
	for at := first; at+window <= len(seconds); at++ {
		if part, asked := share(at, at+window); asked && part >= 0.95*usual {
			s := float64(at) - back.Seconds()
			return &s
		}
	}
	return &never
}

// addBreaks counts the violations, and stores the first of them with times relative to the start of the traffic.
func (rep *Report) addBreaks(breaks []Break, start time.Duration) {
	for _, b := range breaks {
		switch b.Rule {
		case RuleLost:
			rep.Rules.Lost++
		case RuleDuplicated:
			rep.Rules.Duplicated++
		case RuleDrains:
			rep.Rules.Drains++
		case RuleCold:
			rep.Rules.Cold++
		case RuleSettings:
			rep.Rules.Settings++
		}
		if len(rep.Breaks) < maxBreaks {
			b.At -= start
			if b.Since != 0 {
				b.Since -= start
			}
			rep.Breaks = append(rep.Breaks, b)
		}
	}
}

// OK reports whether all rules were kept and no proxy crashed.
func (rep *Report) OK() bool { return rep.Rules.Kept() && rep.Crashes == 0 }

func timeline(r Records, start time.Duration) Timeline {
	n := int((r.Plan.Length + time.Second - 1) / time.Second)
	t := Timeline{Seconds: make([]Worth, n), Latency: map[string][]Percentile{}}
	end := make([]string, len(r.Plan.Requests))
	took := make([]time.Duration, len(end))
	for _, y := range r.Tries {
		if end[y.Request] != Served {
			end[y.Request], took[y.Request] = y.Outcome, y.Ended-start-r.Plan.Requests[y.Request].At-y.Writing
		}
	}
	times := make([][][]time.Duration, len(r.Scenario.Classes)) // by class, by two seconds
	for i := range times {
		times[i] = make([][]time.Duration, (n+1)/2)
	}
	for i, q := range r.Plan.Requests {
		c := r.Scenario.Classes[q.Class]
		worth := c.Worth
		if q.Over {
			worth *= r.Scenario.Traffic.OverWorth
		}
		s := &t.Seconds[int(q.At/time.Second)]
		s.Asked += worth
		switch {
		case end[i] == Served && took[i] <= c.Aim.D():
			s.Served += worth
		case end[i] == Served:
			s.Late += worth
		case end[i] == Refused:
			s.Refused += worth
		default:
			s.Failed += worth
		}
		if end[i] == Served {
			k := int(q.At / (2 * time.Second))
			times[q.Class][k] = append(times[q.Class][k], took[i])
		}
	}
	for i, c := range r.Scenario.Classes {
		for k, list := range times[i] {
			slices.Sort(list)
			if len(list) > 0 {
				t.Latency[c.Name] = append(t.Latency[c.Name], Percentile{float64(2*k) + 1, percentile(list, .5), percentile(list, .95), percentile(list, .99)})
			}
		}
	}
	t.Nodes = nodeLines(r, start, n)
	for i, f := range r.Scenario.Faults {
		m := Mark{What: f.describe(), FromS: f.At.D().Seconds(), ToS: r.Plan.Length.Seconds()}
		last := f.At.D()
		for _, e := range r.Plan.Events {
			if e.Fault == i && e.Proxy >= 0 && e.At > last {
				last = e.At
			}
		}
		if f.For > 0 {
			m.ToS = min(m.ToS, (f.At + f.For).D().Seconds())
			if strings.HasPrefix(f.What, "kill") || strings.HasPrefix(f.What, "term") {
				m.ToS = min(r.Plan.Length.Seconds(), (last + f.For.D()).Seconds())
			}
		}
		t.Faults = append(t.Faults, m)
	}
	for _, j := range r.Scenario.Traffic.Jumps {
		t.Faults = append(t.Faults, Mark{What: fmt.Sprintf("traffic x %g", j.Times), FromS: j.At.D().Seconds(), ToS: (j.At + j.For).D().Seconds()})
	}
	for _, l := range r.Lives {
		m := Mark{What: fmt.Sprintf("%s %s", proxyName(l.Proxy), l.How), FromS: (l.Start - start).Seconds(), ToS: r.Plan.Length.Seconds()}
		if l.End != 0 {
			m.ToS = min(m.ToS, (l.End - start).Seconds())
		}
		m.FromS = max(m.FromS, 0)
		t.Proxies = append(t.Proxies, m)
	}
	return t
}

// describe returns a short description of a fault, for the charts.
func (f Fault) describe() string {
	what := f.What
	switch {
	case f.Share > 0:
		what += fmt.Sprintf(" %.0f%% of nodes", f.Share*100)
	case f.Nodes > 0:
		what += fmt.Sprintf(" %d nodes", f.Nodes)
	case len(f.Proxies) > 0:
		what += " " + strings.Trim(strings.Join(strings.Fields(fmt.Sprint(f.Proxies)), ","), "[]")
	}
	switch {
	case f.Times > 0:
		what += fmt.Sprintf(" x %g", f.Times)
	case f.Taken > 0:
		what += fmt.Sprintf(" %.0f%%", f.Taken*100)
	case f.Rate > 0:
		what += fmt.Sprintf(" %.0f%%", f.Rate*100)
	}
	if f.Known == "start" {
		what += " (old list)"
	}
	return what
}

func nodeLines(r Records, start time.Duration, n int) []NodeLine {
	lines := make([]NodeLine, len(r.Plan.Nodes))
	index := map[string]int{}
	for i, p := range r.Plan.Nodes {
		lines[i] = NodeLine{
			ID: p.ID, Zone: p.Zone, Kind: p.Kind, Speed: float64(p.Permille) / 1000,
			State: make([]string, n), Share: make([]float64, n),
		}
		index[p.ID] = i
	}
	for _, s := range r.Nodes.Samples {
		if k := int((s.At - start) / time.Second); s.At >= start && k < n {
			line := &lines[index[s.Node]]
			if line.State[k] == "" || s.State != "up" {
				line.State[k] = s.State
			}
		}
	}
	all := make([]float64, n)
	for _, s := range r.Nodes.Sends {
		k := int((s.Whole - start) / time.Second)
		if s.Probe || s.Effect == standin.TurnedAway || s.Whole < start || k >= n {
			continue
		}
		lines[index[s.Node]].Share[k]++
		all[k]++
	}
	for i := range lines {
		for k := range all {
			if all[k] > 0 {
				lines[i].Share[k] /= all[k]
			}
		}
	}
	return lines
}

// Write writes report.json and report.html to a folder.
func (rep *Report) Write(dir string) error {
	data, err := json.MarshalIndent(rep, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	page, err := rep.HTML()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), page, 0o644)
}

// ReadReport reads a folder's report.json.
func ReadReport(dir string) (*Report, error) {
	path := filepath.Join(dir, "report.json")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rep Report
	if err := json.Unmarshal(data, &rep); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &rep, nil
}

// sorted returns a map's keys in order.
func sorted[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Text returns the report as text for a terminal.
func (rep *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, %s: service %.3f", rep.Scenario, rep.Seed, rep.Proxy, rep.Service)
	fmt.Fprintf(&b, "  (%.3f with the operators' deductions)\n", rep.After)
	fmt.Fprintf(&b, "  whole %.3f   worst 10 s %.3f (from %.0f s)   worst class %.3f (%s)   worst house %.3f (%s)\n",
		rep.Parts.Whole, rep.Parts.Window, rep.WorstWindow.FromS, rep.Parts.Class, rep.Parts.WorstClass, rep.Parts.House, rep.Parts.WorstHouse)
	if rep.Best != nil {
		fmt.Fprintf(&b, "  from the first of %d nodes' return at %.0f s on: %.3f of what could have been served\n", rep.Best.Nodes, rep.Best.FromS, rep.Best.Area)
	}
	if rep.Recovery != nil && *rep.Recovery >= 0 {
		fmt.Fprintf(&b, "  back at 95%% of before %.0f s after the nodes' return\n", *rep.Recovery)
	} else if rep.Recovery != nil {
		b.WriteString("  not back at 95% of before within the run\n")
	}
	fmt.Fprintf(&b, "\n  %-14s %9s %8s %8s %8s %8s %8s %8s\n", "class", "requests", "service", "p50 ms", "p95", "p99", "max", "wanted")
	for _, n := range sorted(rep.Classes) {
		c := rep.Classes[n]
		fmt.Fprintf(&b, "  %-14s %9d %8.3f %8.0f %8.0f %8.0f %8.0f %8.0f\n", n, c.Requests, c.Service, c.P50, c.P95, c.P99, c.MostMs, c.AimMs)
	}
	fmt.Fprintf(&b, "\n  %-14s %9s %8s  (within its share)\n", "house", "requests", "service")
	for _, n := range sorted(rep.Houses) {
		h := rep.Houses[n]
		fmt.Fprintf(&b, "  %-14s %9d %8.3f\n", n, h.Requests, h.Service)
	}
	w := rep.Worth
	fmt.Fprintf(&b, "\n  worth asked %.0f: served %.0f, late %.0f, refused %.0f, failed %.0f\n", w.Asked, w.Served, w.Late, w.Refused, w.Failed)
	fmt.Fprintf(&b, "  %d requests, %d tries, %d attempts, %d handshakes, %d probes, %d nodes fell over\n",
		rep.Requests, rep.Tries, rep.Attempts, rep.Handshakes, rep.Probes, rep.Falls)
	cpu, mem := 0.0, 0.0
	for _, p := range rep.Proxies {
		cpu += p.CPU
		mem = max(mem, p.MemoryMB)
	}
	fmt.Fprintf(&b, "  proxies: %.1f s of CPU together, %.0f MB at most; kit: %.1f s, %.0f MB; sends late by %.1f ms at p99\n",
		cpu, mem, rep.Kit.CPU, rep.Kit.MemoryMB, rep.GeneratorMs)
	fmt.Fprintf(&b, "  schedule %s\n\n", rep.Schedule)
	for _, c := range rep.Crashed {
		fmt.Fprintf(&b, "  CRASH %s\n", c)
	}
	for i, k := range rep.Breaks {
		if i == 10 {
			fmt.Fprintf(&b, "  and more: see breaks in report.json\n")
			break
		}
		fmt.Fprintf(&b, "  BROKEN %s\n", k)
	}
	if rep.Void != "" {
		fmt.Fprintf(&b, "  VOID: %s\n", rep.Void)
	}
	if rep.OK() {
		b.WriteString("  all four rules kept\n")
	} else {
		fmt.Fprintf(&b, "  rules broken: lost %d, duplicated %d, drains %d, cold %d, settings %d; crashes %d\n",
			rep.Rules.Lost, rep.Rules.Duplicated, rep.Rules.Drains, rep.Rules.Cold, rep.Rules.Settings, rep.Crashes)
	}
	return b.String()
}
