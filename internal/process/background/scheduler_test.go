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

// simulation records the runs of jobs in simulated time.
type simulation struct {
	s          *Scheduler
	now        time.Duration
	runs       map[ID]int
	last       map[ID]time.Duration // start of the last run
	worst      map[ID]time.Duration // longest gap between two starts
	spent      []spending
	maxRunning int
}

type spending struct {
	at   time.Duration
	used time.Duration
}

// simulate runs jobs with the given actual costs until a time, each on its own core.
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

// In any period, jobs use no more CPU time than their share plus the burst and the last run of each. The concurrency
// limit holds, and no job starves, however much of the budget the others use.
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
					t.Fatalf("%v used from %v to %v, limit %v", used, p.spent[i].at, x.at, most)
				}
			}
		}
		if p.maxRunning > cfg.MaxRunning {
			t.Fatalf("%d jobs ran at once", p.maxRunning)
		}
		// No job starves: when the demand exceeds the budget, all intervals stretch by about the same factor, and each
		// job runs within a few rounds of all jobs.
		over := max(1, wants/cfg.Cores)
		round := time.Duration(float64(sum+cfg.Burst) / cfg.Cores)
		for _, spec := range specs {
			round += spec.Interval
		}
		for id, spec := range specs {
			if gap := max(p.worst[id], until-p.last[id]); gap > 4*round+time.Duration(4*over*float64(spec.Interval+costs[id])) {
				t.Fatalf("%s (interval %v, priority %d) waited for %v, a round is %v; demand %.2f of a core, budget %.2f", spec.Name, spec.Interval, spec.Priority, gap, round, wants, cfg.Cores)
			}
		}
	})
}

// Due jobs start by priority; during overload and shutdown only Urgent jobs start.
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
			t.Fatal("no next start")
		}
	}
	costs := map[ID]time.Duration{idle: 10 * ms, usual: 10 * ms, soon: 10 * ms}
	p := simulate(New(Config{Cores: 0.1, Burst: 10 * ms, MaxRunning: 1}, 0, func() float64 { return 0.5 }), costs, time.Second, nil)
	if len(p.runs) != 0 {
		t.Error("jobs ran that were never added")
	}
	s = New(Config{Cores: 0.1, Burst: 50 * ms, MaxRunning: 2}, 0, rand.New(rand.NewPCG(1, 2)).Float64)
	for _, x := range []Priority{Idle, Normal, Urgent} {
		s.Add(0, Spec{Name: fmt.Sprint(x), Priority: x, Interval: 200 * ms, EstimatedCost: ms})
	}
	all := map[ID]time.Duration{1: ms, 2: ms, 3: ms}
	p = simulate(s, all, 60*time.Second, func(time.Duration) bool { return true })
	if p.runs[1]+p.runs[2] != 0 || p.runs[3] < 200 {
		t.Errorf("runs in a minute of overload: %v", p.runs)
	}
	if lines := strings.Join(s.TakeLogLines(), "\n"); strings.Contains(lines, "overdue") {
		t.Errorf("a job that may not start was logged as overdue: %s", lines)
	}
	s.SetOverloaded(false)
	if got := s.StartDue(61 * time.Second); len(got) < 2 {
		t.Errorf("started after the overload: %v", got)
	}
	if running := s.Drain(); len(running) != 2 {
		t.Errorf("jobs to cancel at the drain: %v", running)
	}
	s.OnRunEnded(62*time.Second, 1, 0, false)
	s.OnRunEnded(62*time.Second, 2, 0, false)
	if got := s.StartDue(100 * time.Second); len(got) > 1 || len(got) == 1 && got[0] != 3 {
		t.Errorf("started during the drain: %v", got)
	}
}

// A run that exceeds MaxDuration is logged once, stops counting as running and is not started again. A failing job
// backs off. A job that costs more than Burst still runs, and the others wait until its debt is paid.
func TestExceedingFailingAndExpensiveJobs(t *testing.T) {
	t.Parallel()
	s := New(Config{Cores: 0.1, Burst: 20 * ms, MaxRunning: 1}, 0, func() float64 { return 0.5 })
	never := s.Add(0, Spec{Name: "never", Priority: Urgent, Interval: 100 * ms, EstimatedCost: ms, MaxDuration: 300 * ms})
	other := s.Add(0, Spec{Name: "other", Priority: Idle, Interval: 100 * ms, EstimatedCost: ms})
	if got := s.StartDue(60 * ms); len(got) != 1 || got[0] != never {
		t.Fatalf("%v", got)
	}
	if got := s.StartDue(200 * ms); len(got) != 0 {
		t.Errorf("started beyond MaxRunning: %v", got)
	}
	if got := s.StartDue(400 * ms); len(got) != 1 || got[0] != other || !strings.Contains(strings.Join(s.TakeLogLines(), ""), "never has run for 340ms, longer than its limit of 300ms") {
		t.Errorf("started beside a run that exceeded its limit: %v", got)
	}
	s.OnRunEnded(401*ms, other, ms, false)
	for now := 500 * ms; now < 5*time.Second; now += 50 * ms {
		for _, id := range s.StartDue(now) {
			if id == never {
				t.Fatal("a job started while it was running")
			}
			s.OnRunEnded(now+ms, id, ms, false)
		}
	}
	if lines := s.TakeLogLines(); len(lines) != 0 {
		t.Errorf("logged again: %v", lines)
	}
	s.OnRunEnded(5*time.Second, never, time.Second, false) // a second of CPU time takes ten seconds to accrue
	if got := s.StartDue(6 * time.Second); len(got) != 0 {
		t.Errorf("started while in debt: %v", got)
	}
	if got := s.StartDue(16 * time.Second); len(got) == 0 {
		t.Error("nothing started after the debt was paid")
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
		t.Errorf("a failing job with an interval of 0.1 s and a backoff of up to 8 intervals ran %d times in ten seconds", fails)
	}
}

// Jobs of processes that start together run at different times.
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
			t.Errorf("%d of 100 processes started their job within 0.1 s of %v", n, at*100*ms)
		}
	}
}

// A panic in a job counts as an error and doesn't affect other jobs. A drain cancels running jobs, and a job that
// ignores its context delays the shutdown by no more than the grace period.
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
		return good.Load() > 20 && bad.Load() > 2 && strings.Contains(lines.String(), "panics: panic: by mistake") && strings.Contains(lines.String(), "fails: no such thing")
	})
	r.Drain()
	testutil.Receive(t, called, "the cancellation of the long job")
	after := good.Load()
	time.Sleep(50 * ms)
	if n := good.Load(); n > after+1 {
		t.Errorf("%d runs during the drain", n-after)
	}
	stop()
	testutil.Receive(t, ended, "the end")
	if !strings.Contains(lines.String(), "jobs are still running after the grace period") {
		t.Errorf("%s", lines.String())
	}
	close(release)
	r.running.Wait()
}

// The cost of a run is the CPU time of its thread, not elapsed time.
func TestCostIsCPUTime(t *testing.T) {
	used, err := runMeasured(t.Context(), func(context.Context) error { time.Sleep(300 * ms); return nil })
	if err != nil || used > 200*ms {
		t.Errorf("sleeping used %v of CPU time (error: %v)", used, err)
	}
}
