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

// warmupScenario is a simulation in which machines start among warm ones, and the requests sent to each are counted.
type warmupScenario struct {
	seed         uint64
	proxies      int
	budgetCalls  float64 // mean requests that the settings allow a warming machine in their window at its start
	skew         float64 // sigma of a log-normal factor of the proxies' traffic
	load         float64
	startAt      time.Duration // when machines start, from the beginning of the simulation
	freshProxies bool          // the proxies start at the same time as the machines, without learned state
	startTwice   bool          // the machines restart while they are warming
}

const (
	warmupScenarioMachines = 12
	startedMachines        = 3 // how many of them start in the scenario
)

// warmupResult is the result of a scenario.
type warmupResult struct {
	overBudget  int     // windows in which a machine was sent more than its budget plus an allowance for chance
	windows     int     // number of windows, one for each request
	worstExcess float64 // most that was sent beyond the budget in a window, in square roots of the budget
	fairAfter   time.Duration
	served      float64 // fraction of the value
	sent        int
}

// warmupMachines has the machines and the work for which the budget at a start is so many requests.
type warmupMachines struct {
	calls           float64
	cores           int
	initialCapacity float64
	warmup          time.Duration
	window          time.Duration
	workFactor      float64 // scales the work, the latency targets and the deadlines of the simulation
}

const overloadMultiple = 2.5

var warmupMachinesByCalls = map[float64]warmupMachines{
	1: {1, 1, 0.12, 21 * second, 2 * second, 25.7}, 4: {4, 1, 0.12, 21 * second, 2 * second, 6.42}, 12: {12, 1, 0.12, 21 * second, 2 * second, 2.14},
	40: {40, 1, 0.32, 9 * second, 3 * second, 2.57}, 200: {200, 2, 0.32, 9 * second, 3 * second, 1.03},
}

// budget is how many mean requests a machine of a speed may be sent in its window, at a fraction of its capacity.
func (k warmupMachines) budget(speed, share float64) float64 {
	return overloadMultiple * share * float64(k.cores) * speed / (0.0222 * k.workFactor) * k.window.Seconds()
}

// warmupRun is a running scenario.
type warmupRun struct {
	warmupScenario
	t        testing.TB
	machines warmupMachines
	w        *simulation
	sent     [startedMachines][]time.Duration // within a window
	started  [startedMachines]time.Duration
	result   warmupResult
}

// machineSpeeds are the speeds of the machines, repeated in this order.
var machineSpeeds = [...]float64{1.3, 0.95, 0.7}

func (d warmupScenario) play(t testing.TB) warmupResult {
	t.Helper()
	w := newSimulation(t, d.seed, warmupScenarioMachines, d.proxies, d.load)
	run := &warmupRun{warmupScenario: d, t: t, machines: warmupMachinesByCalls[d.budgetCalls], w: w}
	run.scaleWork()
	run.replaceMachines()
	run.skewProxies()
	w.onSent = run.countSent
	begin := d.startAt
	run.scheduleStart(d.startAt)
	if d.startTwice {
		run.scheduleStart(d.startAt + 3*second)
		begin += 3 * second
	}
	w.run(w.now + begin)
	w.reset()
	w.run(w.now + run.machines.warmup + 2*second)
	run.result.served = w.service(-1)
	run.result.fairAfter = run.fairShareAfter(begin)
	return run.result
}

// scaleWork adapts the simulation's settings, rate, work, targets and deadlines to the machines.
func (r *warmupRun) scaleWork() {
	k, w := r.machines, r.w
	w.cfg.Obligations.OverloadWindow, w.cfg.Obligations.OverloadMultiple = k.window, overloadMultiple
	w.cfg.Obligations.WarmupDuration, w.cfg.Obligations.InitialCapacity = k.warmup, k.initialCapacity
	w.rate *= float64(k.cores) / 2 / k.workFactor
	for i := range w.work {
		w.work[i] *= k.workFactor
	}
	for i := range w.cfg.Classes {
		c := &w.cfg.Classes[i]
		for _, at := range []*time.Duration{&c.LatencyTarget, &c.ClientTimeout, &c.IdempotencyWindow} {
			*at = time.Duration(float64(*at) * k.workFactor)
		}
	}
}

func (r *warmupRun) replaceMachines() {
	k := r.machines
	warmup := machine.Warmup{InitialCapacity: k.initialCapacity, Duration: k.warmup, OverloadMultiple: overloadMultiple, OverloadWindow: k.window}
	for i := range r.w.machines {
		cfg := machine.Config{Cores: k.cores, Speed: machineSpeeds[i%3], Slots: 16, Queue: 40, Warmup: warmup}
		r.w.machines[i] = machine.New(cfg, r.w.now, true)
	}
}

// skewProxies draws a random factor of the traffic for each proxy.
func (r *warmupRun) skewProxies() {
	for i, p := range r.w.proxies {
		p.factor = math.Exp(r.skew*r.w.rng.NormFloat64() - r.skew*r.skew/2)
		one := r.w.cfg
		one.Rank, one.Zone = i, i%3
		if err := p.b.Reconfigure(r.w.now, one, nil, noneRemoved); err != nil {
			r.t.Fatal(err)
		}
	}
}

// countSent compares the requests that a warming machine was sent within the window with its budget.
func (r *warmupRun) countSent(to BackendID) {
	k, now, i := r.machines, r.w.now, int(to)-1
	if i >= startedMachines || r.started[i] == 0 || now-r.started[i] >= k.warmup {
		return
	}
	r.sent[i] = append(r.sent[i], now)
	for len(r.sent[i]) > 0 && now-r.sent[i][0] > k.window {
		r.sent[i] = r.sent[i][1:]
	}
	share := k.initialCapacity + (1-k.initialCapacity)*float64(now-r.started[i])/float64(k.warmup)
	budget := k.budget(machineSpeeds[i%3], share)
	n := float64(len(r.sent[i]))
	r.result.windows++
	r.result.sent++
	r.result.worstExcess = max(r.result.worstExcess, (n-budget)/math.Sqrt(budget))
	if n > budget+2*math.Sqrt(budget)+2 {
		r.result.overBudget++
	}
}

// scheduleStart starts the first machines after a time. All proxies are told immediately, so that none sends more only
// because it does not know about the start.
func (r *warmupRun) scheduleStart(after time.Duration) {
	w := r.w
	w.after(after, func() {
		var all []Backend
		for i := range startedMachines {
			w.machines[i].Restart(w.now, false)
			r.started[i], r.sent[i] = w.now, nil
			w.listed[i].Started = w.now
			all = append(all, w.listed[i])
		}
		for _, p := range w.proxies {
			p.b.OnMembership(w.now, Membership{Kind: MembershipDelta, Version: 2, Backends: all})
		}
		if r.freshProxies {
			w.handOver(r.t, func(_, _ *Balancer) {})
		}
	})
}

// fairShareAfter is how long after the start the started machines get half as many requests each as the warm ones,
// within a second.
func (r *warmupRun) fairShareAfter(begin time.Duration) time.Duration {
	for at := time.Duration(0); at < r.machines.warmup; at += 250 * milli {
		var warming, warm float64
		from := second + begin + at
		for class := range 4 {
			for i := 1; i <= warmupScenarioMachines; i++ {
				n := float64(r.w.sent(i, class, from, from+second))
				if i <= startedMachines {
					warming += n / startedMachines
				} else {
					warm += n / (warmupScenarioMachines - startedMachines)
				}
			}
		}
		if warming >= warm/2 {
			return at
		}
	}
	return r.machines.warmup
}

// warmupSummary sums up the results of a scenario with many seeds.
type warmupSummary struct {
	scenarios, over, windows int
	worstExcess              float64
	fairAfter                time.Duration
	served                   float64
}

func (d warmupScenario) playSeeds(t testing.TB, from, to uint64) (sum warmupSummary) {
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
				if c.overBudget > 0 {
					sum.scenarios++
				}
				sum.over, sum.windows, sum.worstExcess = sum.over+c.overBudget, sum.windows+c.windows, max(sum.worstExcess, c.worstExcess)
				sum.fairAfter, sum.served = sum.fairAfter+c.fairAfter/time.Duration(to-from), sum.served+c.served/float64(to-from)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sum
}

// All proxies together never send a warming machine more in any window than its budget plus an allowance for chance,
// whatever their number, the size of the budget, the skew of their traffic and their learned state. The machine still
// gets a useful amount of work while it is warming.
func TestWarmupBudgetHoldsOverAllProxies(t *testing.T) {
	var all warmupSummary
	for _, proxies := range []int{1, 3, 10, 30} {
		for _, calls := range []float64{1, 4, 12} {
			for _, d := range []warmupScenario{{}, {skew: 1}, {freshProxies: true}, {startTwice: true}, {load: 1.3}} {
				d.proxies, d.budgetCalls, d.load, d.startAt = proxies, calls, max(d.load, 0.7), 12*second
				c := d.playSeeds(t, 0, 3)
				if c.over > 0 {
					t.Errorf("%d proxies, a budget of %.0f requests, %+v: %d of %d windows over budget, %.1f roots at worst", proxies, calls, d, c.over, c.windows, c.worstExcess)
				}
				if want := 0.6 * min(1, 1/d.load); c.served < want {
					t.Errorf("%d proxies, a budget of %.0f requests, %+v: %.2f served, want %.2f", proxies, calls, d, c.served, want)
				}
				all.windows, all.worstExcess = all.windows+c.windows, max(all.worstExcess, c.worstExcess)
			}
		}
	}
	t.Logf("%d windows, the worst is %.1f roots of the budget over it", all.windows, all.worstExcess)
}

// The initial debt of a warm-up budget counts from the start of the machine, however long the machine was warm before:
// tokens must not accumulate for that time.
func TestWarmupDebtBeginsWithTheStart(t *testing.T) {
	w := newSimulation(t, 1, warmupScenarioMachines, 10, 0.7)
	w.run(w.now + 40*second)
	w.machines[0].Restart(w.now, false)
	w.listed[0].Started = w.now
	debts := map[*target]float64{}
	for _, p := range w.proxies {
		p.b.OnMembership(w.now, Membership{Kind: MembershipDelta, Version: 2, Backends: w.listed[:1]})
		for _, m := range p.b.targets {
			if m.ID == w.listed[0].ID {
				debts[m] = m.warmupTokens
			}
		}
	}
	if len(debts) != 10 {
		t.Fatalf("%d of 10 proxies have a debt for the machine", len(debts))
	}
	const after = 50 * milli
	w.run(w.now + after)
	for m, debt := range debts {
		if most := m.warmupRate * (after + 20*milli).Seconds(); m.warmupTokens > debt+most {
			t.Errorf("a debt of %.2f ms is %.2f ms after %v, at a rate of %.2f ms a second", debt, m.warmupTokens, after, m.warmupRate)
		}
	}
}

// chosenValues returns the numbers in an environment variable, or all if there are none.
func chosenValues(name string, all ...float64) (chosen []float64) {
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

// TestMeasureWarmup prints the table of docs/design/rare-moments.md: MARLREEL_MEASURE is the seeds of each kind, and
// MARLREEL_PROXIES, MARLREEL_CALLS and MARLREEL_LOADS name some of the numbers there.
func TestMeasureWarmup(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("MARLREEL_MEASURE"))
	if seeds == 0 {
		t.Skip()
	}
	fmt.Println("| load | proxies | calls | skew | kind | days over | windows over | worst, roots | fair share after | served |")
	for _, load := range chosenValues("MARLREEL_LOADS", 0.7, 1.3) {
		for _, n := range chosenValues("MARLREEL_PROXIES", 1, 3, 10, 20, 30, 300) {
			for _, calls := range chosenValues("MARLREEL_CALLS", 1, 4, 12, 40, 200) {
				proxies := int(n)
				for _, d := range []warmupScenario{{}, {skew: 1}, {freshProxies: true}, {startTwice: true}} {
					d.proxies, d.budgetCalls, d.load, d.startAt = proxies, calls, load, 12*second
					c := d.playSeeds(t, 0, uint64(seeds))
					kind := map[bool]string{true: "fresh"}[d.freshProxies] + map[bool]string{true: "again"}[d.startTwice]
					fmt.Printf("| %.1f | %d | %.0f | %.0f | %s | %d of %d | %d of %d | %.1f | %v | %.3f |\n", load, proxies, calls, d.skew, kind, c.scenarios, seeds, c.over, c.windows, c.worstExcess,
						c.fairAfter.Round(10*milli), c.served)
				}
			}
		}
	}
}
