package balancer

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// blackout is a day on which all machines and all proxies lose power together and come back, the machines warming up, with
// every client calling again.
func blackout(t testing.TB, seed uint64, proxies int, load float64, thin bool) (w *stormSimulation, area float64, back time.Duration) {
	t.Helper()
	d := stormScenario{
		seed: seed, backends: 12, proxies: proxies, load: load, retries: 4, backoff: 400 * milli, followRatio: 1, retryAfter: true,
		dies: 12 * second, back: 20 * second, length: 50 * second, failedRatio: 1, stormingTenant: -1, policy: marlreelPolicy,
	}
	w = newStormSimulation(t, d)
	for i := range proxies {
		w.in(d.dies-w.now, func() { w.restart(i, slices.Clone(w.listed)) }) // what it held is lost; it is dark until power is back
		w.in(d.back+time.Duration(w.rng.IntN(2000))*milli-w.now, func() { w.restart(i, slices.Clone(w.listed)) })
	}
	if thin { // a third of the machines stay dark
		for i := range 4 {
			w.in(d.back+2100*milli-w.now, func() { w.down[i] = true; w.announce(i, Gone) })
		}
	}
	w.run()
	// What could have been served: by the machines' true curves, the requests with the most value for their work first.
	worth := 0.0
	for i, s := range stormShares {
		worth += s * w.cfg.Classes[i].Value
	}
	var best, served float64
	for s := 21; s < 48; s++ {
		asked := w.seconds[s].offered
		room := 0.0
		for i := range w.machines {
			if thin && i < 4 {
				continue
			}
			age := time.Duration(s)*second + second/2 - d.back - second
			share := min(1, 0.32+0.68*max(0, float64(age)/float64(8*second)))
			room += 2 * []float64{1.3, 0.95, 0.7}[i%3] * share * 1000
		}
		best += bestWorth(w, asked/worth, room)
		served += w.seconds[s].served
	}
	back = -1
	for s := 21; s < 44; s++ {
		var a, b float64
		for k := s; k < s+3; k++ {
			a, b = a+w.seconds[k].offered, b+w.seconds[k].served
		}
		if b >= 0.95*a*w.service(4*second, 12*second) {
			back = time.Duration(s)*second - d.back
			break
		}
	}
	return w, served / best, back
}

// bestWorth is what so many mean requests are worth at most, with so much room for work (ms).
func bestWorth(w *stormSimulation, requests, room float64) float64 {
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
		n := min(requests*stormShares[c], room/w.work[c])
		room -= n * w.work[c]
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
				var areas []float64
				falls, twice, worst := 0, 0, time.Duration(0)
				for seed := range uint64(4) {
					w, a, back := blackout(t, seed, proxies, load, thin)
					areas = append(areas, a)
					falls, twice = falls+w.overloads, twice+w.ranTwice
					if back < 0 {
						back = 99 * second
					}
					worst = max(worst, back)
				}
				slices.Sort(areas)
				fmt.Printf("| %d | %.2f | %v | %.3f | %.3f | %v | %d | %d |\n", proxies, load, thin, (areas[1]+areas[2])/2, areas[0], worst, falls, twice)
			}
		}
	}
}

// After a power loss, with nothing warm to compare with, what warming machines are sent grows by what they answer: none
// is overloaded, no unsafe request runs twice, and three quarters of what could have been served is.
func TestBlackout(t *testing.T) {
	t.Parallel()
	for _, proxies := range []int{3, 12} {
		sum := 0.0
		for seed := range uint64(3) {
			w, area, _ := blackout(t, 40+seed, proxies, 0.6, false)
			if sum += area; w.overloads > 0 || w.ranTwice > 0 {
				t.Errorf("%d proxies, seed %d: %d machines overloaded, %d unsafe requests run twice", proxies, seed, w.overloads, w.ranTwice)
			}
		}
		if sum/3 < 0.76 {
			t.Errorf("%d proxies: %.3f of what could have been served", proxies, sum/3)
		}
	}
}
