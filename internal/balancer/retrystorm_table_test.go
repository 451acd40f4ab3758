package balancer

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// policyUnderTest is a policy of the table.
type policyUnderTest struct {
	name, colour string
	policy       func(w *stormSimulation, rank int, h Host) decider
}

var stormPolicies = []policyUnderTest{
	{"no control", "#999999", noControl},
	{"retry budget", "#d08020", retryBudget},
	{"adaptive throttling", "#8040a0", adaptiveThrottling},
	{"marlreel", "#107050", marlreelPolicy},
}

// stormKind is a group of rows in the table: how its scenarios differ from the usual one.
type stormKind struct {
	name   string
	change func(d *stormScenario)
}

var stormKinds = []stormKind{
	{"a quarter dies, load 0.6", func(d *stormScenario) { d.load = 0.6 }},
	{"a quarter dies, load 0.75", func(*stormScenario) {}},
	{"a quarter dies, load 0.9", func(d *stormScenario) { d.load = 0.9 }},
	{"a quarter dies, plain machines", func(d *stormScenario) { d.slowWhenOverloaded = false }},
	{"half die, clients told when", func(d *stormScenario) {
		d.failedRatio, d.retries, d.backoff, d.retryAfter = 0.5, 10, 30*milli, true
	}},
	{permanentOverload, func(d *stormScenario) {
		d.load, d.failedRatio, d.retries, d.backoff = 1.1, 0, 10, 30*milli
	}},
}

// permanentOverload has no outage, so no recovery.
const permanentOverload = "load 1.1, ten retries"

// stormResult is the result of one scenario with one policy.
type stormResult struct {
	served, after, recovery float64 // recovery in seconds; below 0: no recovery
	overloads, ranTwice     int
	seconds                 []float64 // service by second
}

// stormTable has the results by kind, policy and seed.
type stormTable struct {
	kinds   []stormKind
	seeds   int
	short   bool
	results [][][]stormResult
}

// The figures of docs/design/storms.md: MARLREEL_STORMS=20 go test -run TestStormTable ./internal/balancer simulates so
// many seeds of each kind with each policy, and writes docs/design/storms-table.md and the plots. Without the variable,
// the test simulates one short scenario and writes nothing.
func TestStormTable(t *testing.T) {
	table := &stormTable{kinds: stormKinds[1:2], seeds: 1, short: true}
	if s := os.Getenv("MARLREEL_STORMS"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			t.Fatalf("MARLREEL_STORMS=%q must be a number of seeds, 2 or more", s)
		}
		table = &stormTable{kinds: stormKinds, seeds: n}
	}
	table.play(t)
	table.check(t)
	text := table.markdown()
	t.Log(text)
	if table.short {
		return
	}
	docs := filepath.Join("..", "..", "docs")
	if err := os.WriteFile(filepath.Join(docs, "design", "storms-table.md"), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	for k := range table.kinds {
		path := filepath.Join(docs, "img", fmt.Sprintf("storm-%d.svg", k+1))
		if err := os.WriteFile(path, table.plot(k), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// play simulates all scenarios, as many at once as there are processors.
func (s *stormTable) play(t *testing.T) {
	t.Helper()
	s.results = make([][][]stormResult, len(s.kinds))
	var jobs sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for k := range s.kinds {
		s.results[k] = make([][]stormResult, len(stormPolicies))
		for p := range stormPolicies {
			s.results[k][p] = make([]stormResult, s.seeds)
			for seed := range s.seeds {
				jobs.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					s.results[k][p][seed] = s.playOne(t, k, p, seed)
				})
			}
		}
	}
	jobs.Wait()
}

func (s *stormTable) playOne(t *testing.T, kind, policy, seed int) stormResult {
	t.Helper()
	d := usualStormScenario(uint64(100 + seed)) // other seeds than in the tests
	if s.short {
		d.length = 30 * second
	}
	s.kinds[kind].change(&d)
	d.policy = stormPolicies[policy].policy
	w := newStormSimulation(t, d).run()
	r := stormResult{
		served: w.service(4*second, d.length), after: w.service(d.returnsAt, d.length), recovery: -1,
		overloads: w.overloads, ranTwice: w.ranTwice,
	}
	if got := w.recovery(); d.failedRatio > 0 && got < d.length-d.returnsAt {
		r.recovery = got.Seconds()
	}
	for at := second; at < d.length.Truncate(second); at += second {
		r.seconds = append(r.seconds, w.service(at, at+second))
	}
	return r
}

// check asserts that marlreel overloads no machine and runs no unsafe request twice.
func (s *stormTable) check(t *testing.T) {
	t.Helper()
	for k, kind := range s.kinds {
		for p, policy := range stormPolicies {
			for _, r := range s.results[k][p] {
				if policy.name == "marlreel" && (r.overloads > 0 || r.ranTwice > 0) {
					t.Errorf("%s: %d machines were overloaded, %d unsafe requests ran twice", kind.name, r.overloads, r.ranTwice)
				}
			}
		}
	}
}

// spreadOf returns the median, the minimum and the maximum of a metric.
func spreadOf(rs []stormResult, metric func(stormResult) float64) (mid, low, high float64) {
	var x []float64
	for _, r := range rs {
		x = append(x, metric(r))
	}
	slices.Sort(x)
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2, x[0], x[len(x)-1]
}

func (s *stormTable) markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d seeds of each; medians, and the worst in brackets. Served: share of the worth asked for from 4 s on. Back: seconds from the\nmachines' return to 95%% of before.\n\n", s.seeds)
	b.WriteString("| days | policy | served | after the return | back | not back | cold machines pushed over |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for k, kind := range s.kinds {
		for p, policy := range stormPolicies {
			rs := s.results[k][p]
			served, servedLow, _ := spreadOf(rs, func(r stormResult) float64 { return r.served })
			after, afterLow, _ := spreadOf(rs, func(r stormResult) float64 { return r.after })
			recovered, missing, overloads := summarizeRecovery(kind.name, rs)
			fmt.Fprintf(&b, "| %s | %s | %.3f (%.3f) | %.3f (%.3f) | %s | %s | %d |\n", kind.name, policy.name, served, servedLow, after, afterLow, recovered, missing, overloads)
		}
	}
	return b.String()
}

// summarizeRecovery returns the columns on recovery, and how many machines were overloaded.
func summarizeRecovery(kind string, rs []stormResult) (recovered, missing string, overloads int) {
	notRecovered := 0
	recoveries := make([]stormResult, 0, len(rs))
	for _, r := range rs {
		overloads += r.overloads
		if r.recovery < 0 {
			notRecovered++
		} else {
			recoveries = append(recoveries, r)
		}
	}
	if kind == permanentOverload {
		return "", "", overloads
	}
	missing = fmt.Sprintf("%d of %d", notRecovered, len(rs))
	if len(recoveries) > 0 {
		mid, _, high := spreadOf(recoveries, func(r stormResult) float64 { return r.recovery })
		recovered = fmt.Sprintf("%.0f s (%.0f s)", mid, high)
	}
	return recovered, missing, overloads
}

// plot draws the median fraction of value served with each policy, by the second of first arrival.
func (s *stormTable) plot(kind int) []byte {
	const wide, high, left, top = 600, 200, 40, 24
	var svg bytes.Buffer
	length := len(s.results[kind][0][0].seconds)
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">`+"\n", wide+left+130, high+top+30)
	fmt.Fprintf(&svg, `<text x="%d" y="14">%s: share of worth served, by second; median of %d seeds</text>`+"\n", left, s.kinds[kind].name, s.seeds)
	for i := range 5 {
		y := top + high*i/4
		fmt.Fprintf(&svg, `<line x1="%d" x2="%d" y1="%d" y2="%d" stroke="#ddd"/><text x="8" y="%d">%.2f</text>`+"\n", left, left+wide, y, y, y+4, 1-float64(i)/4)
	}
	for at := 0; at <= length; at += 10 {
		fmt.Fprintf(&svg, `<text x="%d" y="%d">%d s</text>`+"\n", left+wide*at/length, top+high+16, at)
	}
	for p, policy := range stormPolicies {
		fmt.Fprintf(&svg, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, policy.colour)
		for at := range length {
			mid, _, _ := spreadOf(s.results[kind][p], func(r stormResult) float64 { return r.seconds[at] })
			fmt.Fprintf(&svg, "%.1f,%.1f ", left+float64(wide*(at+1))/float64(length), top+high*(1-mid))
		}
		fmt.Fprintf(&svg, `"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", left+wide+8, top+20+16*p, policy.colour, policy.name)
	}
	svg.WriteString("</svg>\n")
	return svg.Bytes()
}
