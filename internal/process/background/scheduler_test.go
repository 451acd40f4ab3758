package background

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"marlreel/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = time.Millisecond

// simulation is what jobs did in simulated time.
type simulation struct {
	s          *Scheduler
	now        time.Duration
	runs       map[ID]int
	last       map[ID]time.Duration // begin of the last run
	worst      map[ID]time.Duration // longest between two begins
	spent      []spending
	maxRunning int
}

type spending struct {
	at   time.Duration
	used time.Duration
}

// simulate runs jobs of true costs, each on a core of its own, for a time.
func simulate(s *Scheduler, costs map[ID]time.Duration, until time.Duration, busy func(now time.Duration) bool) *simulation {
	p := &simulation{s: s, runs: map[ID]int{}, last: map[ID]time.Duration{}, worst: map[ID]time.Duration{}}
	ends := map[ID]time.Duration{}
	for p.now < until {
		if busy != nil {
			s.SetOverloaded(busy(p.now))
		}
		for id, at := range ends {
			if at <= p.now {
				delete(ends, id)
				p.spent = append(p.spent, spending{p.now, costs[id]})
				s.OnRunEnded(p.now, id, costs[id], false)
			}
		}
		for _, id := range s.StartDue(p.now) {
			if n := p.runs[id]; n > 0 {
				p.worst[id] = max(p.worst[id], p.now-p.last[id])
			}
			p.runs[id]++
			p.last[id] = p.now
			ends[id] = p.now + costs[id]
		}
		p.maxRunning = max(p.maxRunning, len(ends))
		p.now += ms
	}
	return p
}

// Over any span jobs take no more than their share of it, what can be saved up, and the last run of each; never
// more than so many at once; and each that may run does, however busy the others keep the budget.
func TestShareConcurrencyAndStarvation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Cores: rapid.Float64Range(0.01, 0.3).Draw(t, "share"), Burst: time.Duration(rapid.IntRange(1, 100).Draw(t, "burst")) * ms, MaxRunning: rapid.IntRange(1, 3).Draw(t, "most")}
		r := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		s := New(cfg, 0, r.Float64)
		costs, specs := map[ID]time.Duration{}, map[ID]Spec{}
		wants, sum := 0.0, time.Duration(0)
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			spec := Spec{
				Name: fmt.Sprint("j", i), Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Interval: time.Duration(rapid.IntRange(20, 2000).Draw(t, "every")) * ms,
				EstimatedCost: time.Duration(rapid.IntRange(0, 50).Draw(t, "thought")) * ms, MaxDuration: time.Hour,
			}
			id := s.Add(0, spec)
			costs[id], specs[id] = time.Duration(rapid.IntRange(1, 50).Draw(t, "true cost"))*ms, spec
			wants += costs[id].Seconds() / spec.Interval.Seconds()
			sum += costs[id]
		}
		const until = 20 * time.Second
		p := simulate(s, costs, until, nil)
		for i := range p.spent {
			used := time.Duration(0)
			for _, x := range p.spent[i:] {
				used += x.used
				if most := time.Duration(float64(x.at-p.spent[i].at)*cfg.Cores) + cfg.Burst + 2*sum; used > most {
					t.Fatalf("%v used from %v to %v, %v is the most", used, p.spent[i].at, x.at, most)
				}
			}
		}
		if p.maxRunning > cfg.MaxRunning {
			t.Fatalf("%d at once", p.maxRunning)
		}
		// Nothing starves: where more is wanted than there is, all wait by the same factor, about, and get their
		// turn within a few rounds of all of them.
		over := max(1, wants/cfg.Cores)
		round := time.Duration(float64(sum+cfg.Burst) / cfg.Cores)
		for _, spec := range specs {
			round += spec.Interval
		}
		for id, spec := range specs {
			if gap := max(p.worst[id], until-p.last[id]); gap > 4*round+time.Duration(4*over*float64(spec.Interval+costs[id])) {
				t.Fatalf("%s (every %v, priority %d) waited for %v, a round is %v; wanted %.2f of a core, there is %.2f", spec.Name, spec.Interval, spec.Priority, gap, round, wants, cfg.Cores)
			}
		}
	})
}

// What is more urgent goes first where both wait; in an overload and in a stop nothing else begins.
func TestPriorities(t *testing.T) {
	t.Parallel()
	s := New(Config{Cores: 0.1, Burst: 10 * ms, MaxRunning: 1}, 0, func() float64 { return 0 })
	idle := s.Add(0, Spec{Name: "idle", Priority: Idle, Interval: time.Second, EstimatedCost: 10 * ms})
	usual := s.Add(0, Spec{Name: "usual", Priority: Normal, Interval: time.Second, EstimatedCost: 10 * ms})
	soon := s.Add(0, Spec{Name: "soon", Priority: Urgent, Interval: time.Second, EstimatedCost: 10 * ms})
	now := time.Duration(0)
	for _, want := range []ID{soon, usual, idle} {
		if got := s.StartDue(now); len(got) != 1 || got[0] != want {
			t.Fatalf("at %v: %v, want %d", now, got, want)
		}
		s.OnRunEnded(now+10*ms, want, 10*ms, false)
		if now = s.NextStart(now + 10*ms); now == 0 {
			t.Fatal("nothing comes")
		}
	}
	costs := map[ID]time.Duration{idle: 10 * ms, usual: 10 * ms, soon: 10 * ms}
	p := simulate(New(Config{Cores: 0.1, Burst: 10 * ms, MaxRunning: 1}, 0, func() float64 { return 0.5 }), costs, time.Second, nil)
	if len(p.runs) != 0 {
		t.Error("jobs that nobody added run")
	}
	s = New(Config{Cores: 0.1, Burst: 50 * ms, MaxRunning: 2}, 0, rand.New(rand.NewPCG(1, 2)).Float64)
	for _, x := range []Priority{Idle, Normal, Urgent} {
		s.Add(0, Spec{Name: fmt.Sprint(x), Priority: x, Interval: 200 * ms, EstimatedCost: ms})
	}
	all := map[ID]time.Duration{1: ms, 2: ms, 3: ms}
	p = simulate(s, all, 60*time.Second, func(time.Duration) bool { return true })
	if p.runs[1]+p.runs[2] != 0 || p.runs[3] < 200 {
		t.Errorf("a minute of overload: %v", p.runs)
	}
	if lines := strings.Join(s.TakeLogLines(), "\n"); strings.Contains(lines, "late") {
		t.Errorf("what may not run is late: %s", lines)
	}
	s.SetOverloaded(false)
	if got := s.StartDue(61 * time.Second); len(got) < 2 {
		t.Errorf("after it: %v", got)
	}
	if running := s.Drain(); len(running) != 2 {
		t.Errorf("cancelled at a drain: %v", running)
	}
	s.OnRunEnded(62*time.Second, 1, 0, false)
	s.OnRunEnded(62*time.Second, 2, 0, false)
	if got := s.StartDue(100 * time.Second); len(got) > 1 || len(got) == 1 && got[0] != 3 {
		t.Errorf("in a drain: %v", got)
	}
}

// A job that never ends is said to, counts no more, and is not begun again; one that fails comes less often;
// one that asks for more than can be saved up runs all the same, and the others wait for its debt.
func TestExceedingFailingAndExpensiveJobs(t *testing.T) {
	t.Parallel()
	s := New(Config{Cores: 0.1, Burst: 20 * ms, MaxRunning: 1}, 0, func() float64 { return 0.5 })
	never := s.Add(0, Spec{Name: "never", Priority: Urgent, Interval: 100 * ms, EstimatedCost: ms, MaxDuration: 300 * ms})
	other := s.Add(0, Spec{Name: "other", Priority: Idle, Interval: 100 * ms, EstimatedCost: ms})
	if got := s.StartDue(60 * ms); len(got) != 1 || got[0] != never {
		t.Fatalf("%v", got)
	}
	if got := s.StartDue(200 * ms); len(got) != 0 {
		t.Errorf("two at once: %v", got)
	}
	if got := s.StartDue(400 * ms); len(got) != 1 || got[0] != other || !strings.Contains(strings.Join(s.TakeLogLines(), ""), "never has run for 340ms, and 300ms is the most") {
		t.Errorf("beside one that does not end: %v", got)
	}
	s.OnRunEnded(401*ms, other, ms, false)
	for now := 500 * ms; now < 5*time.Second; now += 50 * ms {
		for _, id := range s.StartDue(now) {
			if id == never {
				t.Fatal("it begins while it runs")
			}
			s.OnRunEnded(now+ms, id, ms, false)
		}
	}
	if lines := s.TakeLogLines(); len(lines) != 0 {
		t.Errorf("said again: %v", lines)
	}
	s.OnRunEnded(5*time.Second, never, time.Second, false) // a second of a core: ten seconds' worth
	if got := s.StartDue(6 * time.Second); len(got) != 0 {
		t.Errorf("in debt: %v", got)
	}
	if got := s.StartDue(16 * time.Second); len(got) == 0 {
		t.Error("after the debt nothing begins")
	}

	s = New(Config{Cores: 1, Burst: time.Second, MaxRunning: 1}, 0, func() float64 { return 0.5 })
	id := s.Add(0, Spec{Name: "fails", Priority: Normal, Interval: 100 * ms})
	fails := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		for range s.StartDue(now) {
			fails++
			s.OnRunEnded(now, id, 0, true)
		}
	}
	if fails < 10 || fails > 18 {
		t.Errorf("one that fails began %d times in ten seconds: every 0.1 s, and up to eight times less often", fails)
	}
}

// Proxies that start together don't act in step.
func TestStartsAreSpread(t *testing.T) {
	t.Parallel()
	begins := map[time.Duration]int{}
	for n := range 100 {
		s := New(Config{Cores: 1, Burst: time.Second, MaxRunning: 1}, 0, rand.New(rand.NewPCG(uint64(n), 1)).Float64)
		s.Add(0, Spec{Name: "j", Priority: Normal, Interval: time.Second, EstimatedCost: ms})
		for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
			for _, id := range s.StartDue(now) {
				begins[now/(100*ms)]++
				s.OnRunEnded(now, id, ms, false)
			}
		}
	}
	for at, n := range begins {
		if n > 30 {
			t.Errorf("%d of 100 begin within 0.1 s at %v", n, at*100*ms)
		}
	}
}

// The runner: jobs run, a panic is an error and ends nobody else, a drain cancels what runs, and a job that
// does not heed it holds the end up for the grace period alone.
func TestRunnerStopsJobs(t *testing.T) {
	var lines testutil.LockedLog
	var mu sync.Mutex
	r := NewRunner(Config{Cores: 1, Burst: time.Second, MaxRunning: 4}, func(format string, v ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&lines, format+"\n", v...)
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); r.Run(ctx, 200*ms) }()
	var good, bad atomic.Int64
	r.Add(Spec{Name: "good", Priority: Normal, Interval: 5 * ms}, func(context.Context) error { good.Add(1); return nil })
	r.Add(Spec{Name: "panics", Priority: Normal, Interval: 5 * ms}, func(context.Context) error { bad.Add(1); panic("by mistake") })
	r.Add(Spec{Name: "fails", Priority: Normal, Interval: 5 * ms}, func(context.Context) error { return errors.New("no such thing") })
	called, release := make(chan struct{}), make(chan struct{})
	r.Add(Spec{Name: "long", Priority: Idle, Interval: 5 * ms, MaxDuration: time.Hour}, func(ctx context.Context) error {
		<-ctx.Done()
		select {
		case <-called:
		default:
			close(called)
		}
		<-release
		return ctx.Err()
	})
	testutil.Eventually(t, "runs of all", func() bool {
		return good.Load() > 20 && bad.Load() > 2 && strings.Contains(lines.String(), "panics: it panicked: by mistake") && strings.Contains(lines.String(), "fails: no such thing")
	})
	r.Drain()
	testutil.Receive(t, called, "the cancellation of the long one")
	after := good.Load()
	time.Sleep(50 * ms)
	if n := good.Load(); n > after+1 {
		t.Errorf("%d runs in a drain", n-after)
	}
	stop()
	testutil.Receive(t, ended, "the end")
	if !strings.Contains(lines.String(), "a job does not end") {
		t.Errorf("%s", lines.String())
	}
	close(release)
	r.running.Wait()
}

// A run's cost is its thread's time, not the clock's.
func TestCostIsCPUTime(t *testing.T) {
	used, err := runMeasured(t.Context(), func(context.Context) error { time.Sleep(300 * ms); return nil })
	if err != nil || used > 200*ms {
		t.Errorf("sleeping took %v of a core (%v)", used, err)
	}
}
