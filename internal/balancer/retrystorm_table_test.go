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
	"time"
)

// The figures of docs/design/storms.md: MARLREEL_STORMS=20 go test -run TestStormTable . plays so many
// seeds of each kind under each policy, and writes docs/design/storms-table.md and the plots. Without it
// one seed is played, short, and nothing is written.
func TestStormTable(t *testing.T) {
	seeds, write := 1, false
	if s := os.Getenv("MARLREEL_STORMS"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			t.Fatalf("MARLREEL_STORMS=%q: a number of seeds from 2 on is needed", s)
		}
		seeds, write = n, true
	}
	policies := []struct {
		name, colour string
		policy       func(w *stormSimulation, rank int, h Host) decider
	}{
		{"no control", "#999999", noControl},
		{"retry budget", "#d08020", retryBudget},
		{"adaptive throttling", "#8040a0", adaptiveThrottling},
		{"marlreel", "#107050", marlreelPolicy},
	}
	kinds := []struct {
		name   string
		change func(d *stormScenario)
	}{
		{"a quarter dies, load 0.6", func(d *stormScenario) { d.load = 0.6 }},
		{"a quarter dies, load 0.75", func(*stormScenario) {}},
		{"a quarter dies, load 0.9", func(d *stormScenario) { d.load = 0.9 }},
		{"a quarter dies, plain machines", func(d *stormScenario) { d.slowWhenCrowded = false }},
		{"half die, clients told when", func(d *stormScenario) { d.failedRatio, d.retries, d.backoff, d.retryAfter = 0.5, 10, 30*milli, true }},
		{"load 1.1, ten retries", func(d *stormScenario) { d.load, d.failedRatio, d.retries, d.backoff = 1.1, 0, 10, 30*milli }},
	}
	if !write {
		kinds = kinds[1:2]
	}
	type played struct {
		served, after, recovery float64
		falls, twice            int
		seconds                 []float64
	}
	results := make([][][]played, len(kinds))
	var jobs sync.WaitGroup
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for k := range kinds {
		results[k] = make([][]played, len(policies))
		for p := range policies {
			results[k][p] = make([]played, seeds)
			for seed := range seeds {
				jobs.Go(func() {
					room <- struct{}{}
					defer func() { <-room }()
					d := usualStormScenario(uint64(100 + seed)) // not those that the tests are held to
					if !write {
						d.length = 30 * second
					}
					kinds[k].change(&d)
					d.policy = policies[p].policy
					w := newStormSimulation(t, d).run()
					r := played{served: w.service(4*second, d.length), after: w.service(d.back, d.length), recovery: -1, falls: w.overloads, twice: w.ranTwice}
					if got := w.recovery(); d.failedRatio > 0 && got < d.length-d.back {
						r.recovery = got.Seconds()
					}
					for s := 1; s < int(d.length/second); s++ {
						r.seconds = append(r.seconds, w.service(time.Duration(s)*second, time.Duration(s+1)*second))
					}
					results[k][p][seed] = r
				})
			}
		}
	}
	jobs.Wait()
	var b strings.Builder
	fmt.Fprintf(&b, "%d seeds of each; medians, and the worst in brackets. Served: share of the worth asked for from 4 s on. Back: seconds from the\nmachines' return to 95%% of before.\n\n", seeds)
	b.WriteString("| days | policy | served | after the return | back | not back | cold machines pushed over |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	median := func(rs []played, of func(played) float64) (mid, low, high float64) {
		var x []float64
		for _, r := range rs {
			x = append(x, of(r))
		}
		slices.Sort(x)
		return (x[(len(x)-1)/2] + x[len(x)/2]) / 2, x[0], x[len(x)-1]
	}
	for k, kind := range kinds {
		for p, policy := range policies {
			rs := results[k][p]
			served, servedLow, _ := median(rs, func(r played) float64 { return r.served })
			after, afterLow, _ := median(rs, func(r played) float64 { return r.after })
			never, falls := 0, 0
			back := make([]played, 0, len(rs))
			for _, r := range rs {
				falls += r.falls
				if r.recovery < 0 {
					never++
				} else {
					back = append(back, r)
				}
				if policy.name == "marlreel" && (r.falls > 0 || r.twice > 0) {
					t.Errorf("%s: %d machines fell over, %d unsafe requests ran twice", kind.name, r.falls, r.twice)
				}
			}
			recovered, missing := "", ""
			if results[k][0][0].seconds != nil && kind.name != "load 1.1, ten retries" {
				missing = fmt.Sprintf("%d of %d", never, len(rs))
				if len(back) > 0 {
					mid, _, high := median(back, func(r played) float64 { return r.recovery })
					recovered = fmt.Sprintf("%.0f s (%.0f s)", mid, high)
				}
			}
			fmt.Fprintf(&b, "| %s | %s | %.3f (%.3f) | %.3f (%.3f) | %s | %s | %d |\n", kind.name, policy.name, served, servedLow, after, afterLow, recovered, missing, falls)
		}
	}
	if t.Log(b.String()); !write {
		return
	}
	if err := os.WriteFile(filepath.Join("docs", "design", "storms-table.md"), []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	// A plot for each of the storms proper: the median share of worth served, by the second of first arrival.
	for k, kind := range kinds {
		var svg bytes.Buffer
		const wide, high, left, top = 600, 200, 40, 24
		length := len(results[k][0][0].seconds)
		fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">`+"\n", wide+left+130, high+top+30)
		fmt.Fprintf(&svg, `<text x="%d" y="14">%s: share of worth served, by second; median of %d seeds</text>`+"\n", left, kind.name, seeds)
		for i := range 5 {
			y := top + high*i/4
			fmt.Fprintf(&svg, `<line x1="%d" x2="%d" y1="%d" y2="%d" stroke="#ddd"/><text x="8" y="%d">%.2f</text>`+"\n", left, left+wide, y, y, y+4, 1-float64(i)/4)
		}
		for s := 0; s <= length; s += 10 {
			fmt.Fprintf(&svg, `<text x="%d" y="%d">%d s</text>`+"\n", left+wide*s/length, top+high+16, s)
		}
		for p, policy := range policies {
			fmt.Fprintf(&svg, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, policy.colour)
			for s := range length {
				mid, _, _ := median(results[k][p], func(r played) float64 { return r.seconds[s] })
				fmt.Fprintf(&svg, "%.1f,%.1f ", left+float64(wide*(s+1))/float64(length), top+high*(1-mid))
			}
			fmt.Fprintf(&svg, `"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", left+wide+8, top+20+16*p, policy.colour, policy.name)
		}
		svg.WriteString("</svg>\n")
		if err := os.WriteFile(filepath.Join("docs", "img", fmt.Sprintf("storm-%d.svg", k+1)), svg.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
