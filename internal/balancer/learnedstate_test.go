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

// learnedStateOf is all that a balancer has learned.
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

// forEachValue calls for each number and truth value within v.
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

// restorable is a state in which every field may be set to another value and restored.
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

// setValue sets the value at a path of a state to one that follows from x, and gives it.
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

// isRestored tells whether a value at a path, if x gives one, is what the next process says of it too.
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

// Each field of the learned state is restored: what one process says of it, the next one says as well.
func TestEveryFieldIsRestored(t *testing.T) {
	const now = 100 * second
	cfg := testConfig()
	cfg.Instances, cfg.Tenants = 1, []Tenant{{Name: "a", TrafficShare: 1}}
	// What is not the balancer's, or no value of its own.
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

// What was learned grows old: sums decay, ejections end, starts lie further back, and what has
// started since is another one.
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
		t.Errorf("%v answers are left of 4, it should be %v", n, left)
	}
	if !to.isHealthy(a) {
		t.Error("an ejection that would be over by now holds")
	}
	if _, warming := to.warmupCapacity(a); warming {
		t.Error("it started 22 s ago, and counts as warming")
	}
	if _, warming := to.warmupCapacity(c); !warming || c.answers.Value(now+away, to.decayTime) > 0 {
		t.Error("one that has started since is taken for the one before")
	}
}

// A process that has had answers itself believes them, and budgets are never more than either
// side has left.
func TestOwnEvidenceStands(t *testing.T) {
	const now = 100 * second
	from, _ := newBalancer(t, testConfig(), 2)
	to, _ := newBalancer(t, testConfig(), 2)
	for _, x := range from.targets {
		x.healthy, x.lastOK, x.warmupStarted, x.warmupTokens = false, now-second, now-second, 30
	}
	from.retryTokens = 9
	to.retryTokens = 2
	mine := to.byID[1]
	mine.answers.Add(1, now, to.decayTime)
	mine.warmupStarted, mine.warmupTokens = now-second, -7
	to.Restore(now, 0, learnedStateOf(from, now))
	if !mine.healthy || to.byID[2].healthy {
		t.Errorf("healthy: %v by own answers, %v by the other's word", mine.healthy, to.byID[2].healthy)
	}
	if mine.warmupTokens > -7 || to.retryTokens != 2 {
		t.Errorf("budgets: %v of warm-up work, %v of retries", mine.warmupTokens, to.retryTokens)
	}
	from.retryTokens = 1
	to.Restore(now, 0, learnedStateOf(from, now))
	if to.retryTokens != 1 {
		t.Errorf("%v retries, the other process has one left", to.retryTokens)
	}
}

// The rules hold over any hand-over, whatever the next process is told: the truth, nothing, or
// nonsense.
func TestObligationsOverHandovers(t *testing.T) {
	for name, tell := range map[string]func(rng *rand.Rand, s *learnedstate.State){
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
				tell(rng, s)
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
			t.Errorf("%s was taken over %d times only", name, taken)
		}
	}
}

// A day on which all proxies are replaced while one node is silent for bids, one is slow and
// one fails all: what is served in the four seconds after it with what was learned, and without.
func TestLearnedStateHelpsTheNextProcess(t *testing.T) {
	const seeds, at = 6, 16 * second
	var with, without []float64
	for seed := range uint64(seeds) {
		for _, remembers := range []bool{false, true} {
			w := newSimulation(t, seed, 9, 3, 0.55)
			w.faults = []fault{
				{class: bid, backends: []int{1}, from: 5 * second, to: time.Hour, unansweredRatio: 1},
				{class: bid, backends: []int{2}, from: 5 * second, to: time.Hour, slowdown: 4},
				{class: lotList, backends: []int{2}, from: 5 * second, to: time.Hour, slowdown: 4},
				{class: pickup, backends: []int{4}, from: 5 * second, to: time.Hour, errorRatio: 1},
			}
			w.run(at)
			w.handOver(t, func(from, to *Balancer) {
				if remembers {
					to.Restore(w.now, 0, learnedStateOf(from, w.now))
				}
			})
			w.reset()
			w.run(at + 4*second)
			if v := w.service(-1); remembers {
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
	t.Logf("served with memory %.3f, without %.3f", mean(with), mean(without))
	if mean(with) < mean(without)+0.01 {
		t.Errorf("memory gains nothing: %v with it, %v without", with, without)
	}
}
