package agree

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// founded returns a fleet of three keepers that has decided its first version.
func founded(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(seed, 3, 3)
	for range 200 {
		s.run(s.now + 50*time.Millisecond)
		all := true
		for _, p := range s.procs {
			_, exists := p.keeper.View().Newest()
			all = all && exists && p.member.Valid(p.clock())
		}
		if all {
			return s
		}
	}
	t.Fatal("the fleet is not founded")
	return nil
}

func (s *sim) propose(by *proc, n int) {
	s.send(by, Send{by.member.Target(), Message{Propose: &Change{Kind: "propose", ID: fmt.Sprint("d", n), Base: by.member.View().latest(), Text: fmt.Sprintf(`{"d":%d}`, n), By: by.name}}})
}

// A keeper whose disk was restored from an old copy must not vote: with a keeper that was down it would form a majority
// that has lost a decided version.
func TestDiskSetBack(t *testing.T) {
	for seed := range uint64(20) {
		s := founded(t, seed)
		b, c := s.procs[1], s.procs[2]
		s.run(s.now + 2*within)
		old := b.disk
		c.down = true // it is down while the others decide
		s.propose(s.procs[0], int(seed))
		s.run(s.now + 2*within)
		if s.procs[0].keeper.View().latest() != 2 {
			t.Fatalf("seed %d: version 2 is not decided", seed)
		}
		b.down = true
		b.disk = old
		s.run(s.now + time.Second)
		b.start() // its disk is from before version 2
		s.run(s.now + 2*time.Second)
		s.procs[0].down = true
		c.start()
		s.run(s.now + 3*within)
		for _, p := range []*proc{b, c} {
			if p.keeper != nil && p.keeper.Leads() {
				t.Fatalf("seed %d: %s is the leader with a log that has lost version 2", seed, p.name)
			}
		}
	}
}

// A keeper that failed to store an entry must not acknowledge it: otherwise it stops as its disk is full, restarts, and
// with a keeper that was down forms a majority that has lost a decided version.
func TestDiskThatFails(t *testing.T) {
	for seed := range uint64(20) {
		s := founded(t, seed)
		s.run(s.now + 2*within)
		a, b, c := s.procs[0], s.procs[1], s.procs[2]
		if !a.keeper.Leads() {
			continue
		}
		c.down = true
		b.full = true
		s.propose(a, int(seed))
		s.run(s.now + within)
		if a.keeper.View().latest() == 2 {
			t.Fatalf("seed %d: version 2 is decided, but only one keeper has it on its disk", seed)
		}
	}
}

// A leader that was stopped and resumes while partitioned from the other keepers grants no lease to a member that still
// asks it.
func TestPartitionedLeaderGrantsNothing(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 5, 3)
		s.run(4 * time.Second)
		old, member := s.procs[0], s.procs[4]
		if !old.keeper.Leads() || !member.member.Valid(member.clock()) {
			t.Fatalf("seed %d: the fleet is not founded", seed)
		}
		s.run(s.now + 2*within)
		for _, x := range []int{0, 4} {
			for _, y := range []int{1, 2, 3} {
				s.cut[[2]int{x, y}], s.cut[[2]int{y, x}] = true, true
			}
		}
		old.frozen = true
		s.run(s.now + time.Second)
		for n := range 40 { // until the two remaining keepers have elected a leader that decides
			if s.procs[3].member.View().latest() >= 2 {
				break
			}
			s.propose(s.procs[3], int(seed)*100+n)
			s.run(s.now + 500*time.Millisecond)
		}
		s.run(s.now + 2*within) // longer than any lease on the replaced state lasts
		if s.procs[3].member.View().latest() < 2 {
			t.Fatalf("seed %d: nothing was decided while the leader was stopped", seed)
		}
		for range 100 { // it resumes at different times relative to the member's renewals
			old.thaw()
			s.run(s.now + 13*time.Millisecond)
			old.frozen = true
			s.run(s.now + 140*time.Millisecond)
		}
		if s.broken != "" {
			t.Fatalf("seed %d: %s", seed, s.broken)
		}
	}
}

// However fast versions are proposed, at most two consecutive ones are in use.
func TestAtMostTwoVersionsInUse(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 9, 3)
		s.run(4 * time.Second)
		s.extraDelay = 400 * time.Millisecond
		for n := range 400 {
			s.propose(s.procs[3+n%6], int(seed)*1000+n)
			s.run(s.now + 60*time.Millisecond)
		}
		if s.broken != "" {
			t.Fatalf("seed %d: %s", seed, s.broken)
		}
		if n := s.procs[0].keeper.View().latest(); n < 4 {
			t.Fatalf("seed %d: only %d versions were decided: the test shows nothing", seed, n)
		}
	}
}

// A member whose agree-within differs from the keepers' gets no lease.
func TestMemberWithOtherWithinGetsNoLease(t *testing.T) {
	s := newSim(5, 5, 3)
	odd := s.procs[4]
	odd.cfg.Within = 4 * within
	odd.down = true
	s.run(time.Second)
	odd.start()
	for range 200 {
		s.run(s.now + 100*time.Millisecond)
		if odd.member.Valid(odd.clock()) {
			t.Fatal("the member with another agree-within has a lease")
		}
	}
	if !s.procs[3].member.Valid(s.procs[3].clock()) || s.broken != "" {
		t.Error("the member with the same agree-within has no lease:", s.broken)
	}
}

// While all keepers are down for ten minutes, no proxy has a lease; once they are back, all proxies agree again.
func TestKeepersDownForTenMinutes(t *testing.T) {
	s := newSim(3, 30, 3)
	s.run(6 * time.Second)
	s.propose(s.procs[20], 1)
	s.run(s.now + 2*within)
	for _, k := range s.procs[:3] {
		k.down = true
	}
	s.run(s.now + within)
	leased := func() (n int) {
		for _, p := range s.procs {
			if !p.down && p.member.Valid(p.clock()) {
				n++
			}
		}
		return n
	}
	for range 60 {
		s.run(s.now + 10*time.Second)
		if n := leased(); n != 0 {
			t.Fatalf("%d processes have a lease while all keepers are down", n)
		}
	}
	for _, k := range s.procs[:3] {
		k.start()
	}
	s.run(s.now + 2*within)
	s.propose(s.procs[7], 2)
	s.run(s.now + 3*within)
	if n := leased(); n != 30 || s.broken != "" || s.procs[29].held.latest() != 3 {
		t.Errorf("%d of 30 have a lease, on version %d; %s", n, s.procs[29].held.latest(), s.broken)
	}
}

// TestMeasureSimulated prints how soon up to 300 proxies use a new version, and by kind of fault for how long any proxy
// used a replaced state. It runs if MARLREEL_MEASURE is 1.
func TestMeasureSimulated(t *testing.T) {
	if os.Getenv("MARLREEL_MEASURE") == "" {
		t.Skip("MARLREEL_MEASURE is not set")
	}
	for _, n := range []int{3, 9, 30, 300} {
		s := newSim(11, n, 3)
		s.run(15 * time.Second)
		began := s.now
		s.propose(s.procs[n-1], 1)
		for all := false; !all && s.now < began+time.Minute; {
			s.run(s.now + 20*time.Millisecond)
			all = true
			for _, p := range s.procs {
				all = all && p.held != nil && p.held.Open == 2 && p.member.Valid(p.clock())
			}
		}
		fmt.Printf("| %d | %.2f s |\n", n, (s.now - began).Seconds())
	}
	for _, kind := range []string{"stop", "leader", "split", "one-way", "weather", "kill", "no-keepers", "older", "full"} {
		longest := time.Duration(0)
		for seed := range uint64(40) {
			s := newSim(seed, 9, 3)
			rng := rand.New(rand.NewPCG(seed, 9))
			for i := range 12 {
				f := fault{At: 40 + 20*i + rng.IntN(15), Kind: "propose", A: rng.IntN(9), B: rng.IntN(9)}
				s.after(time.Duration(f.At)*100*time.Millisecond, func() { s.play(f) })
				if i%3 == 0 {
					g := fault{At: f.At - 3 + rng.IntN(6), Kind: kind, A: rng.IntN(9), B: rng.IntN(9), For: 20 + rng.IntN(60)}
					s.after(time.Duration(g.At)*100*time.Millisecond, func() { s.play(g) })
				}
			}
			s.run(42 * time.Second)
			if s.broken != "" {
				t.Fatal(kind, seed, s.broken)
			}
			longest = max(longest, s.longest)
		}
		fmt.Printf("| %s | %.2f s of %v |\n", kind, longest.Seconds(), within)
	}
}
