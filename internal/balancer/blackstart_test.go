package balancer

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// blackout simulates a power loss of all machines and all proxies. They return together, the machines have to warm up,
// and all clients retry. It returns the fraction of the possible value that was served from then on, and how long after
// the return the service had recovered; -1 if it had not. With reduced, a third of the machines stay down.
func blackout(t testing.TB, seed uint64, proxies int, load float64, reduced bool) (w *stormSimulation, servedRatio float64, back time.Duration) {
	t.Helper()
	d := stormScenario{
		seed: seed, backends: 12, proxies: proxies, load: load, retries: 4, backoff: 400 * milli, followRatio: 1, retryAfter: true,
		failsAt: 12 * second, returnsAt: 20 * second, length: 50 * second, failedRatio: 1, stormingTenant: -1, policy: marlreelPolicy,
	}
	w = newStormSimulation(t, d)
	for i := range proxies {
		w.after(d.failsAt-w.now, func() { w.restart(i, slices.Clone(w.listed)) }) // its state is lost, and it is down until the power is back
		w.after(d.returnsAt+time.Duration(w.rng.IntN(2000))*milli-w.now, func() { w.restart(i, slices.Clone(w.listed)) })
	}
	if reduced { // a third of the machines stay down
		for i := range 4 {
			w.after(d.returnsAt+2100*milli-w.now, func() { w.down[i] = true; w.announce(i, Gone) })
		}
	}
	w.run()
	// The value that could have been served: by the machines' actual warm-up curves, with the requests in descending
	// order of value per work.
	meanValue := 0.0
	for i, s := range stormShares {
		meanValue += s * w.cfg.Classes[i].Value
	}
	var best, served float64
	for s := 21; s < 48; s++ {
		offered := w.seconds[s].offered
		capacity := 0.0
		for i := range w.machines {
			if reduced && i < 4 {
				continue
			}
			age := time.Duration(s)*second + second/2 - d.returnsAt - second
			share := min(1, 0.32+0.68*max(0, float64(age)/float64(8*second)))
			capacity += 2 * []float64{1.3, 0.95, 0.7}[i%3] * share * 1000
		}
		best += maxValue(w, offered/meanValue, capacity)
		served += w.seconds[s].served
	}
	back = -1
	for s := 21; s < 44; s++ {
		var a, b float64
		for k := s; k < s+3; k++ {
			a, b = a+w.seconds[k].offered, b+w.seconds[k].served
		}
		if b >= 0.95*a*w.service(4*second, 12*second) {
			back = time.Duration(s)*second - d.returnsAt
			break
		}
	}
	return w, served / best, back
}

// maxValue is the most value that so many requests of the usual mix can earn with so much capacity (ms of work).
func maxValue(w *stormSimulation, requests, capacity float64) float64 {
	order := []int{0, 1, 2, 3}
	slices.SortFunc(order, func(a, b int) int {
		x, y := w.cfg.Classes[a].Value/w.work[a], w.cfg.Classes[b].Value/w.work[b]
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	sum := 0.0
	for _, c := range order {
		n := min(requests*stormShares[c], capacity/w.work[c])
		capacity -= n * w.work[c]
		sum += n * w.cfg.Classes[c].Value
	}
	return sum
}

func TestMeasureBlackout(t *testing.T) {
	if os.Getenv("MARLREEL_MEASURE") == "" {
		t.Skip()
	}
	for _, proxies := range []int{3, 6, 30} {
		for _, load := range []float64{0.5, 0.75} {
			for _, thin := range []bool{false, true} {
				var servedRatios []float64
				falls, twice, worst := 0, 0, time.Duration(0)
				for seed := range uint64(4) {
					w, a, back := blackout(t, seed, proxies, load, thin)
					servedRatios = append(servedRatios, a)
					falls, twice = falls+w.overloads, twice+w.ranTwice
					if back < 0 {
						back = 99 * second
					}
					worst = max(worst, back)
				}
				slices.Sort(servedRatios)
				fmt.Printf("| %d | %.2f | %v | %.3f | %.3f | %v | %d | %d |\n", proxies, load, thin, (servedRatios[1]+servedRatios[2])/2, servedRatios[0], worst, falls, twice)
			}
		}
	}
}

// After a power loss there are no warm machines to compare with, so the work sent to warming machines grows with what
// they answer: none is overloaded, no unsafe request runs twice, and three quarters of the possible value is served.
func TestBlackout(t *testing.T) {
	t.Parallel()
	for _, proxies := range []int{3, 12} {
		sum := 0.0
		for seed := range uint64(3) {
			w, servedRatio, _ := blackout(t, 40+seed, proxies, 0.6, false)
			if sum += servedRatio; w.overloads > 0 || w.ranTwice > 0 {
				t.Errorf("%d proxies, seed %d: %d machines overloaded, %d unsafe requests run twice", proxies, seed, w.overloads, w.ranTwice)
			}
		}
		if sum/3 < 0.76 {
			t.Errorf("%d proxies: %.3f of the possible value was served", proxies, sum/3)
		}
	}
}
