package agree

import (
	"fmt"
	"testing"
	"time"
)

// founded is a fleet of three keepers that has decided its first version.
func founded(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(seed, 3, 3)
	for range 200 {
		s.run(s.now + 50*time.Millisecond)
		all := true
		for _, p := range s.procs {
			_, some := p.keeper.View().Newest()
			all = all && some && p.member.Valid(p.clock())
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

// A keeper whose disk was set back must not speak for what it said since: with it and one that was away there is a
// majority that has lost what was decided.
func TestDiskSetBack(t *testing.T) {
	for seed := range uint64(20) {
		s := founded(t, seed)
		b, c := s.procs[1], s.procs[2]
		s.run(s.now + 2*within)
		old := b.disk
		c.dead = true // it is away while the others decide
		s.propose(s.procs[0], int(seed))
		s.run(s.now + 2*within)
		if s.procs[0].keeper.View().latest() != 2 {
			t.Fatalf("seed %d: version 2 is not decided", seed)
		}
		b.dead = true
		b.disk = old
		s.run(s.now + time.Second)
		b.start() // its disk is from before version 2
		s.run(s.now + 2*time.Second)
		s.procs[0].dead = true
		c.start()
		s.run(s.now + 3*within)
		for _, p := range []*proc{b, c} {
			if p.keeper != nil && p.keeper.Leads() {
				t.Fatalf("seed %d: %s leads with a log that has lost version 2", seed, p.name)
			}
		}
	}
}

// A keeper that could not keep an entry must not have acknowledged it: it dies with its disk full, comes back, and
// with one that was away must not make a majority that has lost what was decided.
func TestDiskThatFails(t *testing.T) {
	for seed := range uint64(20) {
		s := founded(t, seed)
		s.run(s.now + 2*within)
		a, b, c := s.procs[0], s.procs[1], s.procs[2]
		if !a.keeper.Leads() {
			continue
		}
		c.dead = true
		b.full = true
		s.propose(a, int(seed))
		s.run(s.now + within)
		if a.keeper.View().latest() == 2 {
			t.Fatalf("seed %d: version 2 is decided, and only one keeper has it on its disk", seed)
		}
	}
}

// One that led, was stopped, and wakes up cut off from the other keepers, grants nothing to a member that still asks it.
func TestWokenLeaderGrantsNothing(t *testing.T) {
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
		for n := range 40 { // until the two that are left have one who leads, and it decides
			if s.procs[3].member.View().latest() >= 2 {
				break
			}
			s.propose(s.procs[3], int(seed)*100+n)
			s.run(s.now + 500*time.Millisecond)
		}
		s.run(s.now + 2*within) // it is long decided
		if s.procs[3].member.View().latest() < 2 {
			t.Fatalf("seed %d: nothing was decided while the leader was stopped", seed)
		}
		for range 100 { // it wakes at different moments of the member's asking
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

// However fast versions are proposed, two neighbouring ones at most are in use.
func TestVersionsFollowOneAnother(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 9, 3)
		s.run(4 * time.Second)
		s.slow = 400 * time.Millisecond
		for n := range 400 {
			s.propose(s.procs[3+n%6], int(seed)*1000+n)
			s.run(s.now + 60*time.Millisecond)
		}
		if s.broken != "" {
			t.Fatalf("seed %d: %s", seed, s.broken)
		}
		if n := s.procs[0].keeper.View().latest(); n < 4 {
			t.Fatalf("seed %d: %d versions were decided: nothing is shown", seed, n)
		}
	}
}
