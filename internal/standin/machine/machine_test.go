package machine

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testConfig() Config { return Config{Cores: 2, Speed: 1, Slots: 4, Queue: 2} }

// run gives the ends of all that happens until a time.
func run(m *Machine, until time.Duration) []Completion {
	m.Advance(until)
	return m.TakeCompletions()
}

func checkCompletions(t *testing.T, got []Completion, want ...Completion) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("ends %+v, want %+v", got, want)
	}
	for i, w := range want {
		g := got[i]
		if g.ID != w.ID || g.Outcome != w.Outcome || g.Started != w.Started || (g.At-w.At).Abs() > 2*time.Microsecond {
			t.Errorf("end %d is %+v, want %+v", i, g, w)
		}
	}
}

// Three jobs of 60 ms on two cores get two thirds of a core each: 90 ms. A job
// alone uses one core and no more.
func TestCoresAreShared(t *testing.T) {
	m := New(testConfig(), 0, true)
	for id := range uint64(3) {
		if v := m.Submit(0, id, Job{Work: 60 * ms}); v != Accepted {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	checkCompletions(t, run(m, time.Second), Completion{0, 90 * ms, Completed, true}, Completion{1, 90 * ms, Completed, true}, Completion{2, 90 * ms, Completed, true})
	m.Submit(time.Second, 3, Job{Work: 60 * ms})
	checkCompletions(t, run(m, 2*time.Second), Completion{3, 1060 * ms, Completed, true})
}

// The first job runs alone for 30 ms, then three share: of its 60 ms 30 are left,
// at two thirds 45 ms more; the others have 30 of 60 left then and two cores.
func TestSharesChangeWithConcurrency(t *testing.T) {
	m := New(testConfig(), 0, true)
	m.Submit(0, 1, Job{Work: 60 * ms})
	m.Submit(30*ms, 2, Job{Work: 60 * ms})
	m.Submit(30*ms, 3, Job{Work: 60 * ms})
	checkCompletions(t, run(m, time.Second), Completion{1, 75 * ms, Completed, true}, Completion{2, 105 * ms, Completed, true}, Completion{3, 105 * ms, Completed, true})
}

// A wait holds a slot and no core. Four slots, two places to wait, the seventh is turned away.
func TestSlotsAndQueue(t *testing.T) {
	m := New(testConfig(), 0, true)
	for id := range uint64(6) {
		if v := m.Submit(0, id, Job{Work: 10 * ms, Wait: 50 * ms}); v != Accepted {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	if v := m.Submit(0, 6, Job{Work: 10 * ms}); v != QueueFull {
		t.Errorf("the seventh: %v", v)
	}
	if m.Outstanding() != 6 || m.InService() != 4 {
		t.Errorf("outstanding %d, in service %d", m.Outstanding(), m.InService())
	}
	// Four wait 50 ms, then share two cores: 20 ms. The other two follow: 50 + 10.
	got := run(m, time.Second)
	if len(got) != 6 || (got[3].At-70*ms).Abs() > ms || (got[5].At-130*ms).Abs() > ms {
		t.Errorf("ends %+v", got)
	}
	if v := m.Submit(2*time.Second, 7, Job{Work: ms, Deadline: time.Second}); v != DeadlinePassed {
		t.Errorf("one that is over: %v", v)
	}
}

// One in the queue has not run when it is cancelled, and its place is free then.
func TestCancelAndExpiry(t *testing.T) {
	cfg := testConfig()
	cfg.Cores, cfg.Slots, cfg.Queue = 1, 1, 1
	m := New(cfg, 0, true)
	m.Submit(0, 1, Job{Work: 100 * ms, Deadline: 40 * ms})
	m.Submit(0, 2, Job{Work: 100 * ms})
	if m.Cancel(10*ms, 2) {
		t.Error("one that waited is said to have run")
	}
	m.Submit(10*ms, 3, Job{Work: 100 * ms, Deadline: 20 * ms})
	checkCompletions(t, run(m, 30*ms), Completion{3, 20 * ms, DeadlineExceeded, false})
	checkCompletions(t, run(m, time.Second), Completion{1, 40 * ms, DeadlineExceeded, true})
	m.Submit(time.Second, 4, Job{Work: 100 * ms})
	if !m.Cancel(1010*ms, 4) {
		t.Error("one in work is said not to have run")
	}
}

// From 0.32 to 1 over 8 s: after 4 s it can do 0.66. The first second of a core
// gives 0.32 + 0.68/16 = 0.3625 s of work, so that much work takes a second.
func TestColdStart(t *testing.T) {
	cfg := testConfig()
	cfg.Warmup = Warmup{InitialCapacity: 0.32, Duration: 8 * time.Second}
	m := New(cfg, time.Second, false)
	for at, want := range map[time.Duration]float64{time.Second: 0.32, 5 * time.Second: 0.66, 9 * time.Second: 1, time.Minute: 1} {
		if got := m.Capacity(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("share at %v is %v, want %v", at, got, want)
		}
	}
	m.Submit(time.Second, 1, Job{Work: 362500 * time.Microsecond})
	checkCompletions(t, run(m, 3*time.Second), Completion{1, 2 * time.Second, Completed, true})
	// The whole of the cold start gives 8 x 0.66 = 5.28 s; a core's second more is warm.
	m.Restart(10*time.Second, false)
	m.Submit(10*time.Second, 2, Job{Work: 6280 * ms})
	checkCompletions(t, run(m, time.Minute), Completion{2, 19 * time.Second, Completed, true})
}

// 2 cores at 0.32 can do 0.64 a second; 2.5 times that over 3 s are 4.8 s of work.
func TestOverloadWhileWarmingUpCrashes(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 100
	cfg.Warmup = Warmup{InitialCapacity: 0.32, Duration: 1000 * time.Hour, OverloadMultiple: 2.5, OverloadWindow: 3 * time.Second}
	submit := func(m *Machine, at, work time.Duration, id uint64) Admission {
		return m.Submit(at, id, Job{Work: work})
	}
	m := New(cfg, 0, false)
	if v := submit(m, 0, 4700*ms, 1); v != Accepted {
		t.Fatalf("4.7 s of work: %v", v)
	}
	if v := submit(m, 2*time.Second, 200*ms, 2); v != Unavailable || !m.Crashed() {
		t.Errorf("4.9 s of work in 2 s: %v", v)
	}
	checkCompletions(t, m.TakeCompletions(), Completion{1, 2 * time.Second, Killed, true})
	if v := submit(m, time.Hour, ms, 3); v != Unavailable {
		t.Errorf("it came up again by itself: %v", v)
	}
	m.Restart(time.Hour, false)
	if v := submit(m, time.Hour, 4700*ms, 4); v != Accepted {
		t.Errorf("after a start: %v", v)
	}
	if v := submit(m, time.Hour+3*time.Second, 200*ms, 5); v != Accepted {
		t.Errorf("the first work is out of the window: %v", v)
	}
	warm := New(cfg, 0, true)
	if v := submit(warm, 0, time.Minute, 1); v != Accepted {
		t.Errorf("a warm one: %v", v)
	}
}

// Work that is turned away counts against the budget too.
func TestRejectedWorkCountsTowardsOverload(t *testing.T) {
	cfg := testConfig()
	cfg.Slots, cfg.Queue = 1, 0
	cfg.Warmup = Warmup{InitialCapacity: 0.5, Duration: time.Hour, OverloadMultiple: 2, OverloadWindow: time.Second}
	m := New(cfg, 0, false) // a budget of 2 s
	m.Submit(0, 1, Job{Work: 500 * ms})
	for id := uint64(2); id <= 4; id++ {
		if v := m.Submit(0, id, Job{Work: 500 * ms}); v != QueueFull {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	if v := m.Submit(0, 5, Job{Work: 500 * ms}); v != Unavailable {
		t.Errorf("past the budget: %v", v)
	}
}

// A neighbour that takes half leaves one core's worth of two; a slowness of 3 thirds the speed.
func TestNeighbourAndSlowdown(t *testing.T) {
	m := New(testConfig(), 0, true)
	m.SetNeighbour(0, 0.5)
	m.Submit(0, 1, Job{Work: 60 * ms})
	m.Submit(0, 2, Job{Work: 60 * ms})
	m.Advance(60 * ms) // each has had 30 ms
	m.SetNeighbour(60*ms, 0)
	m.SetSlowdown(60*ms, 3)
	checkCompletions(t, run(m, time.Second), Completion{1, 150 * ms, Completed, true}, Completion{2, 150 * ms, Completed, true})
}

// 2 cores + 1 x root 2 are 3.41: four held for longer than the window's share turn
// it slow; it comes back when it was idle for a second.
func TestCongestion(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 10
	cfg.Congestion = Congestion{Headroom: 1, Window: time.Second, Slowdown: 2, RecoveryWindow: time.Second, RecoveryUtilization: 0.25, MaxDuration: 20 * time.Second}
	m := New(cfg, 0, true)
	for id := range uint64(4) {
		m.Submit(0, id, Job{Work: 2 * time.Second}) // 4 s on two cores
	}
	m.Advance(800 * ms) // a mean of 3.2 over the last second
	if m.Congested() {
		t.Error("slow before the mean says so")
	}
	m.Advance(950 * ms) // 3.8
	if !m.Congested() {
		t.Fatal("not slow under a crowd")
	}
	ends := run(m, 20*time.Second)
	if len(ends) != 4 || ends[3].At < 6*time.Second || ends[3].At > 8*time.Second {
		t.Errorf("half the speed from about 0.9 s on ends at about 7.1 s: %+v", ends)
	}
	if m.Congested() {
		t.Error("still slow long after the last request")
	}
	cfg.Congestion.MaxDuration = 2 * time.Second
	m = New(cfg, 0, true)
	for id := range uint64(8) {
		m.Submit(0, id, Job{Work: time.Minute})
	}
	m.Advance(700 * ms)
	was := m.Congested()
	m.Advance(700*ms + cfg.Congestion.MaxDuration + 50*ms)
	if !was || !m.congestion.occurred {
		t.Error("eight for 0.7 s are no crowd")
	}
}

func TestValidate(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no cores":     func(c *Config) { c.Cores = 0 },
		"no speed":     func(c *Config) { c.Speed = 0 },
		"not a number": func(c *Config) { c.Speed = math.NaN() },
		"no slots":     func(c *Config) { c.Slots = 0 },
		"cold":         func(c *Config) { c.Warmup = Warmup{InitialCapacity: 1.2, Duration: time.Second} },
		"budget":       func(c *Config) { c.Warmup.OverloadMultiple = 2 },
		"crowd":        func(c *Config) { c.Congestion.Slowdown = 0.5 },
	} {
		c := testConfig()
		spoil(&c)
		if c.Validate() == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if err := testConfig().Validate(); err != nil {
		t.Error(err)
	}
}

// modelRun plays a drawn sequence of calls and checks the invariants after each.
type modelRun struct {
	machine *Machine
	now     time.Duration
	lastID  uint64
	open    map[uint64]time.Duration // work of the jobs that were accepted and have not ended
	done    float64                  // seconds of completed work
	lastEnd time.Duration
}

func (r *modelRun) collect(t *rapid.T) {
	for _, e := range r.machine.TakeCompletions() {
		work, open := r.open[e.ID]
		if !open {
			t.Fatalf("job %d ended and was not open", e.ID)
		}
		delete(r.open, e.ID)
		if e.At < r.lastEnd || e.At > r.now {
			t.Fatalf("an end at %v after one at %v, now %v", e.At, r.lastEnd, r.now)
		}
		r.lastEnd = e.At
		if e.Outcome == Completed {
			r.done += work.Seconds()
		}
	}
}

func (r *modelRun) submit(t *rapid.T) {
	r.lastID++
	j := Job{
		Work: time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * ms,
		Wait: time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * ms,
	}
	if rapid.Bool().Draw(t, "limit") {
		j.Deadline = r.now + time.Duration(rapid.IntRange(1, 400).Draw(t, "deadline"))*ms
	}
	if r.machine.Submit(r.now, r.lastID, j) == Accepted {
		r.open[r.lastID] = j.Work
	}
}

func (r *modelRun) step(t *rapid.T) {
	r.now += time.Duration(rapid.IntRange(0, 200_000).Draw(t, "us")) * time.Microsecond
	switch rapid.IntRange(0, 9).Draw(t, "call") {
	case 0:
		r.machine.SetSlowdown(r.now, rapid.Float64Range(1, 5).Draw(t, "slowdown"))
	case 1:
		r.machine.SetNeighbour(r.now, rapid.Float64Range(0, 0.9).Draw(t, "share"))
	case 2:
		if r.lastID > 0 {
			r.machine.Cancel(r.now, r.lastID)
			r.collect(t)
			delete(r.open, r.lastID)
		}
	default:
		r.submit(t)
	}
	r.machine.Advance(r.now)
	r.collect(t)
}

// Whatever is called in whatever order: each job that was accepted ends once, or was cancelled, or is outstanding; no
// more work is done than the cores can do; completions come in order; and slots are never exceeded.
func TestAnySequenceKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.2, 3).Draw(t, "speed"),
			Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"),
			Warmup: Warmup{InitialCapacity: 0.3, Duration: 2 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second},
			Congestion: Congestion{
				Headroom: 0.5, Window: 300 * ms, Slowdown: 2, RecoveryWindow: 200 * ms, RecoveryUtilization: 0.5, MaxDuration: time.Second,
			},
		}
		r := modelRun{machine: New(cfg, 0, rapid.Bool().Draw(t, "warm")), open: map[uint64]time.Duration{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(t)
			if m := r.machine; m.InService() > cfg.Slots || m.Outstanding() > cfg.Slots+cfg.Queue || m.Outstanding() != len(r.open) {
				t.Fatalf("in service %d, outstanding %d, open %d", m.InService(), m.Outstanding(), len(r.open))
			}
		}
		if most := r.now.Seconds()*float64(cfg.Cores)*cfg.Speed + 1e-6; r.done > most {
			t.Fatalf("%v s of work were done where %v could be", r.done, most)
		}
	})
}
