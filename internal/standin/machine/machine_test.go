package machine

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testConfig() Config { return Config{Cores: 2, Speed: 1, Slots: 4, Queue: 2} }

// run advances the machine to a time and returns the completions.
func run(m *Machine, until time.Duration) []Completion {
	m.Advance(until)
	return m.TakeCompletions()
}

func checkCompletions(t *testing.T, got []Completion, want ...Completion) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("completions %+v, want %+v", got, want)
	}
	for i, w := range want {
		g := got[i]
		if g.ID != w.ID || g.Outcome != w.Outcome || g.Started != w.Started || (g.At-w.At).Abs() > 2*time.Microsecond {
			t.Errorf("completion %d is %+v, want %+v", i, g, w)
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

// The first job runs alone for 30 ms. Then three jobs share two cores: the first needs
// 45 ms for its remaining 30 ms at two thirds of a core. The others have 30 of their
// 60 ms left then and a core each.
func TestSharesChangeWithConcurrency(t *testing.T) {
	m := New(testConfig(), 0, true)
	m.Submit(0, 1, Job{Work: 60 * ms})
	m.Submit(30*ms, 2, Job{Work: 60 * ms})
	m.Submit(30*ms, 3, Job{Work: 60 * ms})
	checkCompletions(t, run(m, time.Second), Completion{1, 75 * ms, Completed, true}, Completion{2, 105 * ms, Completed, true}, Completion{3, 105 * ms, Completed, true})
}

// A waiting job occupies a slot but no core. With four slots and a queue of two, the seventh job is rejected.
func TestSlotsAndQueue(t *testing.T) {
	m := New(testConfig(), 0, true)
	for id := range uint64(6) {
		if v := m.Submit(0, id, Job{Work: 10 * ms, Wait: 50 * ms}); v != Accepted {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	if v := m.Submit(0, 6, Job{Work: 10 * ms}); v != QueueFull {
		t.Errorf("seventh job: %v, want QueueFull", v)
	}
	if m.Outstanding() != 6 || m.InService() != 4 {
		t.Errorf("outstanding %d, in service %d", m.Outstanding(), m.InService())
	}
	// Four jobs wait 50 ms, then share two cores for 20 ms. The other two then take 50 + 10 ms.
	got := run(m, time.Second)
	if len(got) != 6 || (got[3].At-70*ms).Abs() > ms || (got[5].At-130*ms).Abs() > ms {
		t.Errorf("completions %+v", got)
	}
	if v := m.Submit(2*time.Second, 7, Job{Work: ms, Deadline: time.Second}); v != DeadlinePassed {
		t.Errorf("job with a past deadline: %v, want DeadlinePassed", v)
	}
}

// A job cancelled in the queue has not started, and its place becomes free.
func TestCancelAndExpiry(t *testing.T) {
	cfg := testConfig()
	cfg.Cores, cfg.Slots, cfg.Queue = 1, 1, 1
	m := New(cfg, 0, true)
	m.Submit(0, 1, Job{Work: 100 * ms, Deadline: 40 * ms})
	m.Submit(0, 2, Job{Work: 100 * ms})
	if m.Cancel(10*ms, 2) {
		t.Error("Cancel reports a queued job as started")
	}
	m.Submit(10*ms, 3, Job{Work: 100 * ms, Deadline: 20 * ms})
	checkCompletions(t, run(m, 30*ms), Completion{3, 20 * ms, DeadlineExceeded, false})
	checkCompletions(t, run(m, time.Second), Completion{1, 40 * ms, DeadlineExceeded, true})
	m.Submit(time.Second, 4, Job{Work: 100 * ms})
	if !m.Cancel(1010*ms, 4) {
		t.Error("Cancel reports a running job as not started")
	}
}

// The capacity rises from 0.32 to 1 over 8 s, so it is 0.66 after 4 s. In the first second
// a core does 0.32 + 0.68/16 = 0.3625 s of work, so that much work takes one second.
func TestColdStart(t *testing.T) {
	cfg := testConfig()
	cfg.Warmup = Warmup{InitialCapacity: 0.32, Duration: 8 * time.Second}
	m := New(cfg, time.Second, false)
	for at, want := range map[time.Duration]float64{time.Second: 0.32, 5 * time.Second: 0.66, 9 * time.Second: 1, time.Minute: 1} {
		if got := m.Capacity(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("capacity at %v is %v, want %v", at, got, want)
		}
	}
	m.Submit(time.Second, 1, Job{Work: 362500 * time.Microsecond})
	checkCompletions(t, run(m, 3*time.Second), Completion{1, 2 * time.Second, Completed, true})
	// A core does 8 x 0.66 = 5.28 s of work during the slow start; the remaining second of work is done warm.
	m.Restart(10*time.Second, false)
	m.Submit(10*time.Second, 2, Job{Work: 6280 * ms})
	checkCompletions(t, run(m, time.Minute), Completion{2, 19 * time.Second, Completed, true})
}

// 2 cores at a capacity of 0.32 do 0.64 s of work per second; 2.5 times that over 3 s are 4.8 s of work.
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
		t.Errorf("an hour after the crash: %v, want Unavailable", v)
	}
	m.Restart(time.Hour, false)
	if v := submit(m, time.Hour, 4700*ms, 4); v != Accepted {
		t.Errorf("after a restart: %v, want Accepted", v)
	}
	if v := submit(m, time.Hour+3*time.Second, 200*ms, 5); v != Accepted {
		t.Errorf("with the first work outside the window: %v, want Accepted", v)
	}
	warm := New(cfg, 0, true)
	if v := submit(warm, 0, time.Minute, 1); v != Accepted {
		t.Errorf("a warm machine: %v, want Accepted", v)
	}
}

// Rejected work counts towards the overload window too.
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
		t.Errorf("beyond the overload threshold: %v, want Unavailable", v)
	}
}

// A neighbour that takes half of two cores leaves one core's worth; a slowdown of 3 divides the speed by three.
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

// The threshold is 2 cores + 1 x root 2 = 3.41 outstanding requests: four requests congest the machine once
// their mean over the window exceeds it. It recovers after a second of low utilization.
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
		t.Error("congested before the mean exceeds the threshold")
	}
	m.Advance(950 * ms) // 3.8
	if !m.Congested() {
		t.Fatal("not congested with the mean above the threshold")
	}
	ends := run(m, 20*time.Second)
	if len(ends) != 4 || ends[3].At < 6*time.Second || ends[3].At > 8*time.Second {
		t.Errorf("at half the speed from about 0.9 s on, the last job should complete at about 7.1 s: %+v", ends)
	}
	if m.Congested() {
		t.Error("still congested long after the last request")
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
		t.Error("not congested after 0.7 s with eight requests")
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
			t.Errorf("%s: Validate returned no error", name)
		}
	}
	if err := testConfig().Validate(); err != nil {
		t.Error(err)
	}
}

// modelRun executes a generated sequence of calls and checks the invariants after each.
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
			t.Fatalf("job %d completed but was not open", e.ID)
		}
		delete(r.open, e.ID)
		if e.At < r.lastEnd || e.At > r.now {
			t.Fatalf("completion at %v, previous one at %v, now %v", e.At, r.lastEnd, r.now)
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

// For any sequence of calls: each accepted job completes once, was cancelled, or is outstanding; no more work is done
// than the cores can do; completions are in time order; and the slots are never exceeded.
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
			t.Fatalf("%v s of work were done, more than the possible %v", r.done, most)
		}
	})
}
