package balancer

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"marlreel/internal/standin/machine"
)

// coldDay is a closed loop in which machines start cold among warm ones, and what each is sent is counted.
type coldDay struct {
	seed    uint64
	proxies int
	calls   float64 // mean requests that the settings allow a cold machine in their window at its start
	skew    float64 // of the proxies' traffic: the sigma of a log-normal factor
	load    float64
	at      time.Duration // when machines start, from the loop's beginning
	fresh   bool          // the proxies start when the machines do, and know nothing
	again   bool          // the machines start once more while they are cold
}

const (
	coldMachines = 12
	coldNew      = 3 // of them, that start cold
)

// coldCount is what the day came to.
type coldCount struct {
	over    int     // windows in which a machine was sent more than its budget and chance allow
	windows int     // looked at: one a request
	worst   float64 // of all windows: what was sent beyond the budget, in roots of it
	fair    time.Duration
	served  float64 // share of the worth
	sent    int
}

// coldKind is machines and work by which so many calls are the budget at a start.
type coldKind struct {
	calls  float64
	cores  int
	from   float64
	whole  time.Duration
	window time.Duration
	times  float64 // the work, the aims and the deadlines, of the loop's
}

const coldMultiple = 2.5

var coldKinds = map[float64]coldKind{
	1: {1, 1, 0.12, 21 * second, 2 * second, 25.7}, 4: {4, 1, 0.12, 21 * second, 2 * second, 6.42}, 12: {12, 1, 0.12, 21 * second, 2 * second, 2.14},
	40: {40, 1, 0.32, 9 * second, 3 * second, 2.57}, 200: {200, 2, 0.32, 9 * second, 3 * second, 1.03},
}

// budget is what a machine of a speed bears in its window, in mean requests, at a share of its capacity.
func (k coldKind) budget(speed, share float64) float64 {
	return coldMultiple * share * float64(k.cores) * speed / (0.0222 * k.times) * k.window.Seconds()
}

func (d coldDay) play(t testing.TB) coldCount {
	k := coldKinds[d.calls]
	w := newLoop(t, d.seed, coldMachines, d.proxies, d.load)
	w.cfg.Obligations.OverloadWindow, w.cfg.Obligations.OverloadMultiple = k.window, coldMultiple
	w.cfg.Obligations.WarmupDuration, w.cfg.Obligations.InitialCapacity = k.whole, k.from
	w.rate *= float64(k.cores) / 2 / k.times
	for i := range w.work {
		w.work[i] *= k.times
	}
	for i := range w.cfg.Classes {
		c := &w.cfg.Classes[i]
		for _, at := range []*time.Duration{&c.LatencyTarget, &c.ClientTimeout, &c.IdempotencyWindow} {
			*at = time.Duration(float64(*at) * k.times)
		}
	}
	speeds := []float64{1.3, 0.95, 0.7}
	whole, window := k.whole, k.window
	cold := machine.Cold{From: k.from, For: whole, Multiple: coldMultiple, Over: window}
	for i := range w.machines {
		w.machines[i] = machine.New(machine.Config{Cores: k.cores, Speed: speeds[i%3], Slots: 16, Queue: 40, Cold: cold}, w.now, true)
	}
	for i, p := range w.proxies {
		p.factor = math.Exp(d.skew*w.rng.NormFloat64() - d.skew*d.skew/2)
		one := w.cfg
		one.Rank, one.Zone = i, i%3
		if err := p.b.Reconfigure(w.now, one, nil, func(int) bool { return false }); err != nil {
			t.Fatal(err)
		}
	}
	var sent [coldNew][]time.Duration
	started := [coldNew]time.Duration{}
	var c coldCount
	w.onSent = func(to BackendID) {
		i := int(to) - 1
		if i >= coldNew || started[i] == 0 || w.now-started[i] >= whole {
			return
		}
		sent[i] = append(sent[i], w.now)
		for len(sent[i]) > 0 && w.now-sent[i][0] > window {
			sent[i] = sent[i][1:]
		}
		share := k.from + (1-k.from)*float64(w.now-started[i])/float64(whole)
		budget := k.budget(speeds[i%3], share)
		n := float64(len(sent[i]))
		c.windows++
		c.sent++
		c.worst = max(c.worst, (n-budget)/math.Sqrt(budget))
		if n > budget+2*math.Sqrt(budget)+2 {
			c.over++
		}
	}
	start := func(at time.Duration) {
		w.in(at, func() {
			var all []Backend
			for i := range coldNew {
				w.machines[i].Restart(w.now, false)
				started[i], sent[i] = w.now, nil
				w.listed[i].Started = w.now
				all = append(all, w.listed[i])
			}
			for _, p := range w.proxies {
				// What is sent by who has not been told is nobody's fault: all are told with the start.
				p.b.OnMembership(w.now, Membership{Kind: ListDelta, Version: 2, Backends: all})
			}
			if d.fresh {
				w.takeOver(t, func(_, _ *Balancer) {})
			}
		})
	}
	begin := d.at
	start(d.at)
	if d.again {
		start(d.at + 3*second)
		begin += 3 * second
	}
	w.run(w.now + begin)
	w.reset()
	w.run(w.now + whole + 2*second)
	c.served = w.service(-1)
	// A fair share is half of what the warm machines get each, over a second.
	c.fair = whole
	for at := time.Duration(0); at < whole; at += 250 * milli { // over a second, or as long as 40 requests take
		var mine, theirs float64
		from := second + begin + at
		for class := range 4 {
			for i := 1; i <= coldMachines; i++ {
				n := float64(w.sent(i, class, from, from+second))
				if i <= coldNew {
					mine += n / coldNew
				} else {
					theirs += n / (coldMachines - coldNew)
				}
			}
		}
		if mine >= theirs/2 {
			c.fair = at
			break
		}
	}
	return c
}

// coldDays plays a day with many seeds and sums up.
type coldDays struct {
	days, over, windows int
	worst               float64
	fair                time.Duration
	served              float64
}

func (d coldDay) seeds(t testing.TB, from, to uint64) (sum coldDays) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := from
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				mu.Lock()
				d := d
				d.seed = next
				next++
				mu.Unlock()
				if d.seed >= to {
					return
				}
				c := d.play(t)
				mu.Lock()
				if c.over > 0 {
					sum.days++
				}
				sum.over, sum.windows, sum.worst = sum.over+c.over, sum.windows+c.windows, max(sum.worst, c.worst)
				sum.fair, sum.served = sum.fair+c.fair/time.Duration(to-from), sum.served+c.served/float64(to-from)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sum
}

// Whatever the number of processes, the size of the budget, the skew of their traffic and what they know: no cold
// machine is sent more in any window than its budget and what chance may add, by all of them together. And it still
// gets enough to serve while it is cold.
func TestTheRampHoldsForTheFleet(t *testing.T) {
	var all coldDays
	for _, proxies := range []int{1, 3, 10, 30} {
		for _, calls := range []float64{1, 4, 12} {
			for _, d := range []coldDay{{}, {skew: 1}, {fresh: true}, {again: true}, {load: 1.3}} {
				d.proxies, d.calls, d.load, d.at = proxies, calls, max(d.load, 0.7), 12*second
				c := d.seeds(t, 0, 3)
				if c.over > 0 {
					t.Errorf("%d proxies, a budget of %.0f calls, %+v: %d of %d windows over, %.1f roots at worst", proxies, calls, d, c.over, c.windows, c.worst)
				}
				if want := 0.6 * min(1, 1/d.load); c.served < want {
					t.Errorf("%d proxies, a budget of %.0f calls, %+v: %.2f served, want %.2f", proxies, calls, d, c.served, want)
				}
				all.windows, all.worst = all.windows+c.windows, max(all.worst, c.worst)
			}
		}
	}
	t.Logf("%d windows, %.1f roots of the budget beyond it at worst", all.windows, all.worst)
}

// A budget's debt begins with the start that makes it, however long the machine had been warm: what is saved up or paid
// back in that time was no cold budget.
func TestADebtBeginsWithTheStart(t *testing.T) {
	w := newLoop(t, 1, coldMachines, 10, 0.7)
	w.run(w.now + 40*second)
	w.machines[0].Restart(w.now, false)
	w.listed[0].Started = w.now
	debts := map[*target]float64{}
	for _, p := range w.proxies {
		p.b.OnMembership(w.now, Membership{Kind: ListDelta, Version: 2, Backends: w.listed[:1]})
		for _, m := range p.b.targets {
			if m.ID == w.listed[0].ID {
				debts[m] = m.warmupTokens
			}
		}
	}
	if len(debts) != 10 {
		t.Fatalf("%d of 10 proxies have it", len(debts))
	}
	const after = 50 * milli
	w.run(w.now + after)
	for m, debt := range debts {
		if most := m.warmupRate * (after + 20*milli).Seconds(); m.warmupTokens > debt+most {
			t.Errorf("a debt of %.2f ms is %.2f after %v, and %.2f is paid back a second", debt, m.warmupTokens, after, m.warmupRate)
		}
	}
}

// some gives those of all that an environment variable names, or all of them.
func some(name string, all ...float64) (chosen []float64) {
	for word := range strings.FieldsSeq(os.Getenv(name)) {
		if n, err := strconv.ParseFloat(word, 64); err == nil {
			chosen = append(chosen, n)
		}
	}
	if len(chosen) == 0 {
		return all
	}
	return chosen
}

// TestMeasureCold prints the table of docs/design/rare-moments.md: MARLREEL_MEASURE is the seeds of each kind, and
// MARLREEL_PROXIES, MARLREEL_CALLS and MARLREEL_LOADS name some of the numbers there.
func TestMeasureCold(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("MARLREEL_MEASURE"))
	if seeds == 0 {
		t.Skip()
	}
	fmt.Println("| load | proxies | calls | skew | kind | days over | windows over | worst, roots | fair share after | served |")
	for _, load := range some("MARLREEL_LOADS", 0.7, 1.3) {
		for _, n := range some("MARLREEL_PROXIES", 1, 3, 10, 20, 30, 300) {
			for _, calls := range some("MARLREEL_CALLS", 1, 4, 12, 40, 200) {
				proxies := int(n)
				for _, d := range []coldDay{{}, {skew: 1}, {fresh: true}, {again: true}} {
					d.proxies, d.calls, d.load, d.at = proxies, calls, load, 12*second
					c := d.seeds(t, 0, uint64(seeds))
					kind := map[bool]string{true: "fresh"}[d.fresh] + map[bool]string{true: "again"}[d.again]
					fmt.Printf("| %.1f | %d | %.0f | %.0f | %s | %d of %d | %d of %d | %.1f | %v | %.3f |\n", load, proxies, calls, d.skew, kind, c.days, seeds, c.over, c.windows, c.worst,
						c.fair.Round(10*milli), c.served)
				}
			}
		}
	}
}
