package machine

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func plain() Config { return Config{Cores: 2, Speed: 1, Slots: 4, Queue: 2} }

// run gives the ends of all that happens until a time.
func run(m *Machine, until time.Duration) []Ended {
	m.Advance(until)
	return m.Take()
}

func endsAt(t *testing.T, got []Ended, want ...Ended) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("ends %+v, want %+v", got, want)
	}
	for i, w := range want {
		g := got[i]
		if g.ID != w.ID || g.Why != w.Why || g.Ran != w.Ran || (g.At-w.At).Abs() > 2*time.Microsecond {
			t.Errorf("end %d is %+v, want %+v", i, g, w)
		}
	}
}

// Three jobs of 60 ms on two cores get two thirds of a core each: 90 ms. A job
// alone uses one core and no more.
func TestCoresAreShared(t *testing.T) {
	m := New(plain(), 0, true)
	for id := range uint64(3) {
		if v := m.Offer(0, id, Job{Work: 60 * ms}); v != Taken {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	endsAt(t, run(m, time.Second), Ended{0, 90 * ms, Done, true}, Ended{1, 90 * ms, Done, true}, Ended{2, 90 * ms, Done, true})
	m.Offer(time.Second, 3, Job{Work: 60 * ms})
	endsAt(t, run(m, 2*time.Second), Ended{3, 1060 * ms, Done, true})
}

// The first job runs alone for 30 ms, then three share: of its 60 ms 30 are left,
// at two thirds 45 ms more; the others have 30 of 60 left then and two cores.
func TestSharesChangeWithTheCrowd(t *testing.T) {
	m := New(plain(), 0, true)
	m.Offer(0, 1, Job{Work: 60 * ms})
	m.Offer(30*ms, 2, Job{Work: 60 * ms})
	m.Offer(30*ms, 3, Job{Work: 60 * ms})
	endsAt(t, run(m, time.Second), Ended{1, 75 * ms, Done, true}, Ended{2, 105 * ms, Done, true}, Ended{3, 105 * ms, Done, true})
}

// A wait holds a slot and no core. Four slots, two places to wait, the seventh is turned away.
func TestSlotsAndQueue(t *testing.T) {
	m := New(plain(), 0, true)
	for id := range uint64(6) {
		if v := m.Offer(0, id, Job{Work: 10 * ms, Wait: 50 * ms}); v != Taken {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	if v := m.Offer(0, 6, Job{Work: 10 * ms}); v != QueueFull {
		t.Errorf("the seventh: %v", v)
	}
	if m.Held() != 6 || m.InWork() != 4 {
		t.Errorf("held %d, in work %d", m.Held(), m.InWork())
	}
	// Four wait 50 ms, then share two cores: 20 ms. The other two follow: 50 + 10.
	got := run(m, time.Second)
	if len(got) != 6 || (got[3].At-70*ms).Abs() > ms || (got[5].At-130*ms).Abs() > ms {
		t.Errorf("ends %+v", got)
	}
	if v := m.Offer(2*time.Second, 7, Job{Work: ms, Until: time.Second}); v != TooLate {
		t.Errorf("one that is over: %v", v)
	}
}

// One in the queue has not run when it is cancelled, and its place is free then.
func TestCancelAndExpiry(t *testing.T) {
	cfg := plain()
	cfg.Cores, cfg.Slots, cfg.Queue = 1, 1, 1
	m := New(cfg, 0, true)
	m.Offer(0, 1, Job{Work: 100 * ms, Until: 40 * ms})
	m.Offer(0, 2, Job{Work: 100 * ms})
	if m.Cancel(10*ms, 2) {
		t.Error("one that waited is said to have run")
	}
	m.Offer(10*ms, 3, Job{Work: 100 * ms, Until: 20 * ms})
	endsAt(t, run(m, 30*ms), Ended{3, 20 * ms, Expired, false})
	endsAt(t, run(m, time.Second), Ended{1, 40 * ms, Expired, true})
	m.Offer(time.Second, 4, Job{Work: 100 * ms})
	if !m.Cancel(1010*ms, 4) {
		t.Error("one in work is said not to have run")
	}
}

// From 0.32 to 1 over 8 s: after 4 s it can do 0.66. The first second of a core
// gives 0.32 + 0.68/16 = 0.3625 s of work, so that much work takes a second.
func TestColdStart(t *testing.T) {
	cfg := plain()
	cfg.Cold = Cold{From: 0.32, For: 8 * time.Second}
	m := New(cfg, time.Second, false)
	for at, want := range map[time.Duration]float64{time.Second: 0.32, 5 * time.Second: 0.66, 9 * time.Second: 1, time.Minute: 1} {
		if got := m.ColdShare(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("share at %v is %v, want %v", at, got, want)
		}
	}
	m.Offer(time.Second, 1, Job{Work: 362500 * time.Microsecond})
	endsAt(t, run(m, 3*time.Second), Ended{1, 2 * time.Second, Done, true})
	// The whole of the cold start gives 8 x 0.66 = 5.28 s; a core's second more is warm.
	m.Restart(10*time.Second, false)
	m.Offer(10*time.Second, 2, Job{Work: 6280 * ms})
	endsAt(t, run(m, time.Minute), Ended{2, 19 * time.Second, Done, true})
}

// 2 cores at 0.32 can do 0.64 a second; 2.5 times that over 3 s are 4.8 s of work.
func TestFallsOverWhenPushedCold(t *testing.T) {
	cfg := plain()
	cfg.Slots = 100
	cfg.Cold = Cold{From: 0.32, For: 1000 * time.Hour, Multiple: 2.5, Over: 3 * time.Second}
	offer := func(m *Machine, at, work time.Duration, id uint64) Verdict {
		return m.Offer(at, id, Job{Work: work})
	}
	m := New(cfg, 0, false)
	if v := offer(m, 0, 4700*ms, 1); v != Taken {
		t.Fatalf("4.7 s of work: %v", v)
	}
	if v := offer(m, 2*time.Second, 200*ms, 2); v != Down || !m.Fallen() {
		t.Errorf("4.9 s of work in 2 s: %v", v)
	}
	endsAt(t, m.Take(), Ended{1, 2 * time.Second, Fell, true})
	if v := offer(m, time.Hour, ms, 3); v != Down {
		t.Errorf("it came up again by itself: %v", v)
	}
	m.Restart(time.Hour, false)
	if v := offer(m, time.Hour, 4700*ms, 4); v != Taken {
		t.Errorf("after a start: %v", v)
	}
	if v := offer(m, time.Hour+3*time.Second, 200*ms, 5); v != Taken {
		t.Errorf("the first work is out of the window: %v", v)
	}
	warm := New(cfg, 0, true)
	if v := offer(warm, 0, time.Minute, 1); v != Taken {
		t.Errorf("a warm one: %v", v)
	}
}

// Work that is turned away counts against the budget too.
func TestTurnedAwayWorkPresses(t *testing.T) {
	cfg := plain()
	cfg.Slots, cfg.Queue = 1, 0
	cfg.Cold = Cold{From: 0.5, For: time.Hour, Multiple: 2, Over: time.Second}
	m := New(cfg, 0, false) // a budget of 2 s
	m.Offer(0, 1, Job{Work: 500 * ms})
	for id := uint64(2); id <= 4; id++ {
		if v := m.Offer(0, id, Job{Work: 500 * ms}); v != QueueFull {
			t.Fatalf("job %d: %v", id, v)
		}
	}
	if v := m.Offer(0, 5, Job{Work: 500 * ms}); v != Down {
		t.Errorf("past the budget: %v", v)
	}
}

// A neighbour that takes half leaves one core's worth of two; a slowness of 3 thirds the speed.
func TestNeighbourAndSlowness(t *testing.T) {
	m := New(plain(), 0, true)
	m.Neighbour(0, 0.5)
	m.Offer(0, 1, Job{Work: 60 * ms})
	m.Offer(0, 2, Job{Work: 60 * ms})
	m.Advance(60 * ms) // each has had 30 ms
	m.Neighbour(60*ms, 0)
	m.Slow(60*ms, 3)
	endsAt(t, run(m, time.Second), Ended{1, 150 * ms, Done, true}, Ended{2, 150 * ms, Done, true})
}

// 2 cores + 1 x root 2 are 3.41: four held for longer than the window's share turn
// it slow; it comes back when it was idle for a second.
func TestCrowding(t *testing.T) {
	cfg := plain()
	cfg.Slots = 10
	cfg.Crowd = Crowd{At: 1, Over: time.Second, Slower: 2, Rest: time.Second, Below: 0.25, Most: 20 * time.Second}
	m := New(cfg, 0, true)
	for id := range uint64(4) {
		m.Offer(0, id, Job{Work: 2 * time.Second}) // 4 s on two cores
	}
	m.Advance(800 * ms) // a mean of 3.2 over the last second
	if m.Crowded() {
		t.Error("slow before the mean says so")
	}
	m.Advance(950 * ms) // 3.8
	if !m.Crowded() {
		t.Fatal("not slow under a crowd")
	}
	ends := run(m, 20*time.Second)
	if len(ends) != 4 || ends[3].At < 6*time.Second || ends[3].At > 8*time.Second {
		t.Errorf("half the speed from about 0.9 s on ends at about 7.1 s: %+v", ends)
	}
	if m.Crowded() {
		t.Error("still slow long after the last request")
	}
	cfg.Crowd.Most = 2 * time.Second
	m = New(cfg, 0, true)
	for id := range uint64(8) {
		m.Offer(0, id, Job{Work: time.Minute})
	}
	m.Advance(700 * ms)
	was := m.Crowded()
	m.Advance(700*ms + cfg.Crowd.Most + 50*ms)
	if !was || !m.wasCrowded {
		t.Error("eight for 0.7 s are no crowd")
	}
}

func TestBadMachines(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no cores":     func(c *Config) { c.Cores = 0 },
		"no speed":     func(c *Config) { c.Speed = 0 },
		"not a number": func(c *Config) { c.Speed = math.NaN() },
		"no slots":     func(c *Config) { c.Slots = 0 },
		"cold":         func(c *Config) { c.Cold = Cold{From: 1.2, For: time.Second} },
		"budget":       func(c *Config) { c.Cold.Multiple = 2 },
		"crowd":        func(c *Config) { c.Crowd.Slower = 0.5 },
	} {
		c := plain()
		spoil(&c)
		if c.Validate() == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if err := plain().Validate(); err != nil {
		t.Error(err)
	}
}

// Whatever comes in whatever order: each job that was taken ends once, or was
// cancelled, or is held; no more work is done than the cores can do; ends come in
// order; and slots are never exceeded.
func TestAnySequenceKeepsTheBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.2, 3).Draw(t, "speed"),
			Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"),
			Cold:  Cold{From: 0.3, For: 2 * time.Second, Multiple: 3, Over: time.Second},
			Crowd: Crowd{At: 0.5, Over: 300 * ms, Slower: 2, Rest: 200 * ms, Below: 0.5, Most: time.Second},
		}
		m := New(cfg, 0, rapid.Bool().Draw(t, "warm"))
		now, id := time.Duration(0), uint64(0)
		open := map[uint64]time.Duration{} // its work
		done, last := 0.0, time.Duration(0)
		collect := func() {
			for _, e := range m.Take() {
				work, was := open[e.ID]
				if !was {
					t.Fatalf("job %d ended and was not open", e.ID)
				}
				delete(open, e.ID)
				if e.At < last || e.At > now {
					t.Fatalf("an end at %v after one at %v, now %v", e.At, last, now)
				}
				last = e.At
				if e.Why == Done {
					done += work.Seconds()
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200_000).Draw(t, "us")) * time.Microsecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				m.Slow(now, rapid.Float64Range(1, 5).Draw(t, "slow"))
			case 1:
				m.Neighbour(now, rapid.Float64Range(0, 0.9).Draw(t, "share"))
			case 2:
				if id > 0 {
					m.Cancel(now, id)
					collect()
					delete(open, id)
				}
			default:
				id++
				j := Job{
					Work: time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * ms,
					Wait: time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * ms,
				}
				if rapid.Bool().Draw(t, "limit") {
					j.Until = now + time.Duration(rapid.IntRange(1, 400).Draw(t, "until"))*ms
				}
				if m.Offer(now, id, j) == Taken {
					open[id] = j.Work
				}
			}
			m.Advance(now)
			collect()
			if m.InWork() > cfg.Slots || m.Held() > cfg.Slots+cfg.Queue || m.Held() != len(open) {
				t.Fatalf("in work %d, held %d, open %d", m.InWork(), m.Held(), len(open))
			}
		}
		if most := now.Seconds()*float64(cfg.Cores)*cfg.Speed + 1e-6; done > most {
			t.Fatalf("%v s of work were done where %v could be", done, most)
		}
	})
}
