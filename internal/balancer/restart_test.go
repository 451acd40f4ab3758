package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
)

// All proxies restart within one second with the same learned state, in which the same backends look best: they must
// not all choose these. No backend gets more of their first requests than two random choices give the best backend of
// the zone, nor of their first few requests more than twice its share. The test counts over many such fleets, as a
// single one varies too much.
func TestProxiesWithSameStateChooseDifferently(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.Instances = 12
	source := newTrainedBalancer(t, cfg, 8, 400, 0)
	now := source.now
	s := learnedStateOf(source, now)
	if len(s.Backends) < 6 {
		t.Fatalf("the learned state has %d backends, want 6 or more", len(s.Backends))
	}
	const fleets = 40
	for first, part := range map[int]float64{1: 2.0 / 4, 4: 2.0 / 8} { // requests of each proxy, all sent before any answer
		got := map[BackendID]int{}
		for i := range fleets * cfg.Instances {
			one := cfg
			one.Rank = i % cfg.Instances
			h := &recorder{}
			b, err := New(one, uint64(1000+i), h)
			if err != nil {
				t.Fatal(err)
			}
			b.Start(now)
			b.OnMembership(now, Membership{Kind: MembershipFull, Version: 1, Backends: list(8)})
			b.Restore(now, 300*milli, s)
			h.take()
			for i := range first {
				b.OnRequest(now+time.Duration(i)*milli, Request{ID: RequestID(i + 1), Class: 0, Deadline: now + second})
			}
			for _, a := range h.take("send") {
				got[a.to]++
			}
		}
		all, most := 0, 0
		for _, n := range got {
			all, most = all+n, max(most, n)
		}
		n := float64(fleets * cfg.Instances * first)
		if chance := 3 * math.Sqrt(n*part*(1-part)); float64(all) < n || float64(most) > n*part+chance {
			t.Errorf("%d requests each: attempts by backend are %v, want %.0f at most", first, got, n*part+chance)
		}
	}
}

// newTrainedBalancer returns a Balancer that has had so many requests, 5 ms apart. All but the first unanswered ones
// were answered after 40 ms.
func newTrainedBalancer(t *testing.T, cfg Config, backends, requests, unanswered int) *Balancer {
	b, host := newBalancer(t, cfg, backends)
	now := 5 * second
	for i := range requests {
		now += 5 * milli
		b.OnRequest(now, Request{ID: RequestID(i + 1), Class: 0, Deadline: now + second})
		for _, a := range host.take("send") {
			if i >= unanswered {
				b.OnAttemptEnd(now+40*milli, Outcome{ID: a.id, Attempt: 0, Backend: a.to, Result: OK, Took: 40 * milli, Final: true})
			}
		}
	}
	b.now = now
	return b
}

// The mean delay of a request is restored rather than taken from the first request, and without the previous process's
// guesses. If that process had no answers, the mean remains a guess.
func TestMeanDelayIsRestored(t *testing.T) {
	t.Parallel()
	for _, unanswered := range []int{0, 3, 40} {
		source := newTrainedBalancer(t, testConfig(), 2, 40, unanswered)
		b, _ := newBalancer(t, testConfig(), 2)
		b.Restore(source.now, 300*milli, learnedStateOf(source, source.now))
		want := average{source.meanWindow, source.knownDelay.mean}
		if unanswered == 40 {
			want = average{}
		}
		if b.knownDelay != want || b.meanDelay() != source.meanDelay() {
			t.Errorf("%d unanswered: %v and %.1f were restored, want %v and %.1f", unanswered, b.knownDelay, b.meanDelay(), want, source.meanDelay())
		}
	}
}

// A proxy restarts every 300 ms, each time with the learned state of the previous process. The state must not grow, no
// backend may stay ejected forever, and the state must be neither lost nor made to look newer.
func TestRestartLoop(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	b, host := newBalancer(t, cfg, 6)
	now := 5 * second
	id := RequestID(0)
	play := func(span time.Duration, bad BackendID) {
		for end := now + span; now < end; {
			now += 4 * milli
			id++
			b.OnRequest(now, Request{ID: id, Class: 0, Deadline: now + second})
			for _, a := range host.take("send", "probe") {
				r := OK
				if a.to == bad {
					r = ConnectFailed
				}
				if a.verb == "probe" {
					b.OnHealthCheck(now, HealthCheckResult{Backend: a.to, Result: r, Took: milli})
					continue
				}
				b.OnAttemptEnd(now+2*milli, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: r, Took: 2 * milli, Final: r == OK})
			}
		}
	}
	play(3*second, 3)
	first := learnedStateOf(b, now)
	for range 40 {
		s := learnedStateOf(b, now)
		now += 50 * milli
		h := &recorder{}
		next, err := New(cfg, uint64(now), h)
		if err != nil {
			t.Fatal(err)
		}
		next.Start(now)
		next.OnMembership(now, Membership{Kind: MembershipFull, Version: 1, Backends: list(6)})
		next.Restore(now, 50*milli, s)
		b, host = next, h
		play(250*milli, 0) // the failing backend has recovered
	}
	last := learnedStateOf(b, now)
	if len(last.Backends) > 6 || last.Common.MeanWindow > first.Common.MeanWindow+1e4 {
		t.Errorf("%d backends, %v requests", len(last.Backends), last.Common.MeanWindow)
	}
	i := slices.IndexFunc(last.Backends, func(k learnedstate.Backend) bool { return k.ID == 3 })
	if i < 0 || !last.Backends[i].Healthy || last.Backends[i].EjectedFor > 0 || last.Backends[i].LastOK > 3*second {
		t.Errorf("backend 3, which failed twelve seconds ago, has not recovered: %+v", last.Backends)
	}
}

// restartKind is what a restarted proxy knows.
type restartKind int

const (
	restartEmpty     restartKind = iota // only the membership at its start
	restartRestored                     // also what it had learned two seconds before it was killed
	restartCorrupted                    // the same with health inverted, and limits, delays and budgets drawn at random
)

func (r restartKind) String() string { return [...]string{"nothing", "memory", "false memory"}[r] }

// simulateRestarts simulates a slow machine and one that crashes, returns and warms up. All proxies are killed within a
// second at 20 s, when the crashed machine has just returned.
func simulateRestarts(t testing.TB, seed uint64, proxies int, how restartKind) *stormSimulation {
	t.Helper()
	d := usualStormScenario(seed)
	d.load, d.retries, d.failsAt, d.returnsAt, d.failedRatio, d.length = 0.65, 1, 14*second, 19*second, 0.12, 40*second
	d.proxies = proxies
	w := newStormSimulation(t, d)
	w.after(3*second-w.now, func() { w.machines[seed%9].SetSlowdown(w.now, 5) })
	old := append([]Backend(nil), w.listed...)
	rng := rand.New(rand.NewPCG(seed, 77))
	for i := range w.proxies {
		var s *learnedstate.State
		at := 20*second + time.Duration(i)*second/time.Duration(proxies)
		w.after(at-2*second-w.now, func() { s = learnedStateOf(w.proxies[i].b.(*Balancer), w.now) })
		w.after(at-w.now, func() {
			w.restart(i, old)
			if how == restartEmpty {
				return
			}
			if how == restartCorrupted {
				for k := range s.Backends {
					b := &s.Backends[k]
					b.Healthy, b.ConcurrencyLimit, b.WarmupTokens, b.EjectionDuration = !b.Healthy, 1+40*rng.Float64(), 1e4*rng.Float64(), time.Duration(rng.IntN(5000))*milli
					b.DelayRatios, b.Answers, b.LastOK = b.Answers*rng.Float64()*10, 50*rng.Float64(), 0
				}
				for k := range s.Classes {
					f := 0.2 + 4*rng.Float64()
					s.Classes[k].DelayFit[2] *= f
					s.Classes[k].DelayFit[4] *= f
				}
				s.Common.RetryTokens = 1e6
			}
			s = staleness.Discount(staleness.Config{MaxAge: 600 * second, HalfLife: 30 * second}, s, 2*second, true)
			w.proxies[i].b.(*Balancer).Restore(w.now, 2*second, s)
		})
	}
	return w.run()
}

// The service in the ten seconds after all proxies were killed: MARLREEL_RESTARTS=20 go test -v -run TestRestarts .
// prints the figures of docs/design/memory.md. With three proxies, restored state gains nothing: at some 75 requests a
// second each learns the state again within a second. With many proxies it helps. Corrupted state costs little and
// breaks no obligation.
func TestRestarts(t *testing.T) {
	t.Parallel()
	seeds := 2
	if s := os.Getenv("MARLREEL_RESTARTS"); s != "" {
		var err error
		if seeds, err = strconv.Atoi(s); err != nil || seeds < 2 {
			t.Fatalf("MARLREEL_RESTARTS=%q must be a number of seeds, 2 or more", s)
		}
	}
	var b strings.Builder
	for _, proxies := range []int{3, 24} {
		var figures [3][]float64
		for how := range figures {
			for seed := range seeds {
				w := simulateRestarts(t, uint64(300+seed), proxies, restartKind(how))
				if w.overloads > 0 || w.ranTwice > 0 {
					t.Errorf("%d proxies, %v, seed %d: %d machines were overloaded, %d unsafe requests ran twice", proxies, restartKind(how), seed, w.overloads, w.ranTwice)
				}
				figures[how] = append(figures[how], w.service(20*second, 30*second))
			}
		}
		mean := func(x []float64) (m float64) {
			for _, v := range x {
				m += v / float64(len(x))
			}
			return m
		}
		for how, x := range figures {
			var diffs []float64
			for i := range x {
				diffs = append(diffs, x[i]-figures[restartEmpty][i])
			}
			slices.Sort(diffs)
			sorted := slices.Sorted(slices.Values(x))
			fmt.Fprintf(&b, "| %d | %v | %.3f | %.3f | %+.3f | %+.3f to %+.3f |\n", proxies, restartKind(how), sorted[len(x)/2], sorted[0], diffs[len(x)/2], diffs[0], diffs[len(x)-1])
		}
		if mean(figures[restartRestored]) < mean(figures[restartEmpty])-0.03 || mean(figures[restartCorrupted]) < mean(figures[restartEmpty])-0.08 {
			t.Errorf("the service after a restart is too low:\n%s", b.String())
		}
	}
	t.Log("\n" + b.String())
}
