package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/process/learnedstate"
)

// learnedStateOf exports all that a balancer has learned.
func learnedStateOf(b *Balancer, now time.Duration) *learnedstate.State {
	s := b.LearnedState(now)
	ids := b.LearnedBackends()
	slices.Sort(ids)
	for _, id := range ids {
		k, _ := b.LearnedBackend(now, id)
		s.Backends = append(s.Backends, k)
	}
	return &s
}

// forEachValue calls each with every number and boolean within v, and its path.
func forEachValue(v reflect.Value, path string, each func(path string, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Float64, reflect.Int64, reflect.Int, reflect.Bool:
		each(path, v)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			forEachValue(v.Index(i), fmt.Sprintf("%s[%d]", path, i), each)
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				forEachValue(v.Field(i), path+"."+f.Name, each)
			}
		}
	}
}

// restorable returns a state in which any single field can be changed and is then restored.
func restorable(t *testing.T, cfg Config, now time.Duration) *learnedstate.State {
	t.Helper()
	b, _ := newBalancer(t, cfg, 2)
	for i := range b.delayModels {
		for range 10 {
			b.delayModels[i].add(0, 40)
		}
	}
	b.meanWindow, b.meanExpectedDelay, b.meanWork = 10, 40, 40
	for _, x := range b.targets {
		x.lastOK, x.warmupStarted, x.warmupTokensAt, x.warmupTokens = now-second, now-2*second, now, -40
	}
	return learnedStateOf(b, now)
}

// setValue sets the value at a path of a state to one derived from x, and returns it.
func setValue(s *learnedstate.State, path string, x float64) (set float64) {
	forEachValue(reflect.ValueOf(s).Elem(), "", func(p string, v reflect.Value) {
		if p != path {
			return
		}
		switch v.Kind() {
		case reflect.Float64:
			v.SetFloat(x)
		case reflect.Int64:
			v.SetInt(int64(x * float64(100*milli)))
		case reflect.Int:
			v.SetInt(int64(x * 8))
		case reflect.Bool:
			v.SetBool(!v.Bool())
		}
		set = valueOf(v)
	})
	return set
}

// isRestored tells whether the value that setValue sets at a path is exported unchanged by the process that restored
// it.
func isRestored(t *testing.T, cfg Config, now time.Duration, path string, x float64) bool {
	t.Helper()
	s := restorable(t, cfg, now)
	want := setValue(s, path, x)
	b, _ := newBalancer(t, cfg, 2)
	b.Restore(now, 0, s)
	got := math.NaN()
	forEachValue(reflect.ValueOf(learnedStateOf(b, now)).Elem(), "", func(p string, v reflect.Value) {
		if p == path {
			got = valueOf(v)
		}
	})
	return math.Abs(got-want) <= 1e-9*math.Abs(want)
}

// Each field of the learned state is restored: the next process exports the value that it was given.
func TestEveryFieldIsRestored(t *testing.T) {
	const now = 100 * second
	cfg := testConfig()
	cfg.Instances, cfg.Tenants = 1, []Tenant{{Name: "a", TrafficShare: 1}}
	// Identifiers, which are not learned.
	others := map[string]bool{".Backends[0].ID": true, ".Backends[1].ID": true}
	checked := 0
	forEachValue(reflect.ValueOf(restorable(t, cfg, now)).Elem(), "", func(path string, _ reflect.Value) {
		if others[path] || strings.HasPrefix(path, ".Connections") {
			return
		}
		checked++
		// One of these is within every field's bounds.
		for _, x := range []float64{0.25, 1.5, 12.5, -0.25} {
			if isRestored(t, cfg, now, path, x) {
				return
			}
		}
		t.Errorf("%s is not restored", path)
	})
	if checked < 100 {
		t.Errorf("only %d fields were checked", checked)
	}
}

func valueOf(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Float64:
		return v.Float()
	case reflect.Bool:
		return map[bool]float64{true: 1}[v.Bool()]
	}
	return float64(v.Int())
}

// Learned state ages: sums decay, ejections end, starts move further into the past, and a backend that has started
// since counts as a new one.
func TestLearnedStateAges(t *testing.T) {
	const now, away = 100 * second, 3 * second
	from, _ := newBalancer(t, testConfig(), 3)
	for _, x := range from.targets {
		x.lastOK, x.ejectedUntil, x.warmupStarted = now-second, now+away-milli, now-19*second
		x.delays.Add(8, now, from.decayTime)
		x.answers.Add(4, now, from.decayTime)
	}
	s := learnedStateOf(from, now)
	to, _ := newBalancer(t, testConfig(), 0)
	all := list(3)
	all[2].Started = now + away - second
	to.OnMembership(now+away, Membership{Kind: MembershipFull, Backends: all})
	to.Restore(now+away, away, s)
	a, c := to.byID[1], to.byID[3]
	left := 4 * math.Exp(-away.Seconds()/to.decayTime.Seconds())
	if n := a.answers.Value(now+away, to.decayTime); math.Abs(n-left) > 1e-9 {
		t.Errorf("%v of 4 answers are left, want %v", n, left)
	}
	if !to.isHealthy(a) {
		t.Error("a backend is still ejected after the end of its ejection")
	}
	if _, warming := to.warmupCapacity(a); warming {
		t.Error("a backend that started 22 s ago counts as warming")
	}
	if _, warming := to.warmupCapacity(c); !warming || c.answers.Value(now+away, to.decayTime) > 0 {
		t.Error("a backend that has started since keeps the state from before its start")
	}
}

// A process keeps its own evidence over restored state, and no budget is larger than what either process has left.
func TestRestoreKeepsOwnEvidence(t *testing.T) {
	const now = 100 * second
	from, _ := newBalancer(t, testConfig(), 2)
	to, _ := newBalancer(t, testConfig(), 2)
	for _, x := range from.targets {
		x.healthy, x.lastOK, x.warmupStarted, x.warmupTokens = false, now-second, now-second, 30
	}
	from.retryTokens = 9
	to.retryTokens = 2
	own := to.byID[1]
	own.answers.Add(1, now, to.decayTime)
	own.warmupStarted, own.warmupTokens = now-second, -7
	to.Restore(now, 0, learnedStateOf(from, now))
	if !own.healthy || to.byID[2].healthy {
		t.Errorf("healthy: %v by own answers, %v by restored state", own.healthy, to.byID[2].healthy)
	}
	if own.warmupTokens > -7 || to.retryTokens != 2 {
		t.Errorf("budgets: %v ms of warm-up work, %v retries", own.warmupTokens, to.retryTokens)
	}
	from.retryTokens = 1
	to.Restore(now, 0, learnedStateOf(from, now))
	if to.retryTokens != 1 {
		t.Errorf("%v retries are left, the other process has one left", to.retryTokens)
	}
}

// The obligations hold across any handover, whether the restored state is correct or corrupt.
func TestObligationsOverHandovers(t *testing.T) {
	for name, corrupt := range map[string]func(rng *rand.Rand, s *learnedstate.State){
		"the truth": func(*rand.Rand, *learnedstate.State) {},
		"nonsense": func(rng *rand.Rand, s *learnedstate.State) {
			signs := rng.IntN(4) == 0
			forEachValue(reflect.ValueOf(s).Elem(), "", func(path string, v reflect.Value) {
				if len(path) > 3 && path[len(path)-3:] == ".ID" || rng.IntN(3) > 0 {
					return
				}
				x := rng.NormFloat64() * math.Pow(10, float64(rng.IntN(9)-3))
				if !signs {
					x = math.Abs(x)
				}
				switch v.Kind() {
				case reflect.Float64:
					v.SetFloat(x)
				case reflect.Int64:
					v.SetInt(int64(x * float64(second)))
				case reflect.Int:
					v.SetInt(int64(math.Abs(x)))
				case reflect.Bool:
					v.SetBool(rng.IntN(2) == 0)
				}
			})
		},
	} {
		taken := 0
		for seed := range uint64(40) {
			broken := playRandomScenario(t, seed, func(rng *rand.Rand, now time.Duration, from, to *Balancer) {
				s := learnedStateOf(from, now)
				corrupt(rng, s)
				if s.Check() == nil {
					taken++
					to.Restore(now, time.Duration(rng.IntN(300))*milli, s)
				}
			})
			for _, b := range broken {
				t.Errorf("%s, seed %d: %s", name, seed, b)
			}
			if t.Failed() {
				return
			}
		}
		if taken < 30 {
			t.Errorf("%s: the state was restored only %d times", name, taken)
		}
	}
}

// All proxies are replaced while one backend does not answer bids, one is slow and one fails all pickups. The service
// in the next four seconds must be better with restored state than without.
func TestLearnedStateHelpsTheNextProcess(t *testing.T) {
	const seeds, at = 6, 16 * second
	var with, without []float64
	for seed := range uint64(seeds) {
		for _, restored := range []bool{false, true} {
			w := newSimulation(t, seed, 9, 3, 0.55)
			w.faults = []fault{
				{class: bid, backends: []int{1}, from: 5 * second, to: time.Hour, unansweredRatio: 1},
				{class: bid, backends: []int{2}, from: 5 * second, to: time.Hour, slowdown: 4},
				{class: lotList, backends: []int{2}, from: 5 * second, to: time.Hour, slowdown: 4},
				{class: pickup, backends: []int{4}, from: 5 * second, to: time.Hour, errorRatio: 1},
			}
			w.run(at)
			w.handOver(t, func(from, to *Balancer) {
				if restored {
					to.Restore(w.now, 0, learnedStateOf(from, w.now))
				}
			})
			w.reset()
			w.run(at + 4*second)
			if v := w.service(-1); restored {
				with = append(with, v)
			} else {
				without = append(without, v)
			}
		}
	}
	mean := func(v []float64) (sum float64) {
		for _, x := range v {
			sum += x / float64(len(v))
		}
		return sum
	}
	t.Logf("service with restored state %.3f, without %.3f", mean(with), mean(without))
	if mean(with) < mean(without)+0.01 {
		t.Errorf("restored state gains nothing: service %v with it, %v without", with, without)
	}
}
