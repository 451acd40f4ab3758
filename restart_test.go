package marlreel

import (
	"slices"
	"testing"
	"time"

	"marlreel/internal/learnt"
)

// All proxies start again in one second, with memories of one minute, in which the same backends looked best:
// they must not all choose alike. No backend has more than twice its part of the first requests.
func TestMemoriesOfOneMinuteDontChooseAlike(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.Instances = 12
	teacher, host := newBalancer(t, cfg, 8)
	now := 5 * second
	for i := range 400 {
		now += 5 * milli
		teacher.Request(now, Request{ID: RequestID(i + 1), Class: 0, Deadline: now + second})
		for _, a := range host.take("send") {
			teacher.Outcome(now+40*milli, Outcome{ID: a.id, Attempt: 0, Backend: a.to, Result: OK, Took: 40 * milli, Final: true})
		}
	}
	s := memoryOf(teacher, now)
	if len(s.Backends) < 6 {
		t.Fatalf("it knows %d backends", len(s.Backends))
	}
	for _, first := range []int{1, 4} { // requests of each proxy, all of which are out before any answer
		got := map[BackendID]int{}
		for rank := range cfg.Instances {
			one := cfg
			one.Rank = rank
			h := &recorder{}
			b, err := New(one, uint64(1000+rank), h)
			if err != nil {
				t.Fatal(err)
			}
			b.Start(now)
			b.Membership(now, Membership{Kind: ListFull, Version: 1, Backends: list(8)})
			b.Restore(now, 300*milli, s)
			h.take()
			for i := range first {
				b.Request(now+time.Duration(i)*milli, Request{ID: RequestID(i + 1), Class: 0, Deadline: now + second})
			}
			for _, a := range h.take("send") {
				got[a.to]++
			}
		}
		all, most := 0, 0
		for _, n := range got {
			all, most = all+n, max(most, n)
		}
		if fair := float64(all) / 8; all < cfg.Instances*first || float64(most) > 2*fair+2 {
			t.Errorf("%d requests each: %v", first, got)
		}
	}
}

// A proxy that starts anew every 300 ms, each time with the memory of the life before: nothing grows, nobody
// is kept out for ever, and what was learnt is neither lost nor made younger.
func TestARestartLoop(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	b, host := newBalancer(t, cfg, 6)
	now := 5 * second
	id := RequestID(0)
	live := func(span time.Duration, bad BackendID) {
		for end := now + span; now < end; {
			now += 4 * milli
			id++
			b.Request(now, Request{ID: id, Class: 0, Deadline: now + second})
			for _, a := range host.take("send", "probe") {
				r := OK
				if a.to == bad {
					r = ConnectFailed
				}
				if a.verb == "probe" {
					b.Probed(now, ProbeResult{Backend: a.to, Result: r, Took: milli})
					continue
				}
				b.Outcome(now+2*milli, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: r, Took: 2 * milli, Final: r == OK})
			}
		}
	}
	live(3*second, 3)
	first := memoryOf(b, now)
	for range 40 {
		s := memoryOf(b, now)
		now += 50 * milli
		h := &recorder{}
		next, err := New(cfg, uint64(now), h)
		if err != nil {
			t.Fatal(err)
		}
		next.Start(now)
		next.Membership(now, Membership{Kind: ListFull, Version: 1, Backends: list(6)})
		next.Restore(now, 50*milli, s)
		b, host = next, h
		live(250*milli, 0) // the bad one is well by now
	}
	last := memoryOf(b, now)
	if len(last.Backends) > 6 || last.Common.Over > first.Common.Over+1e4 {
		t.Errorf("%d backends, %v requests", len(last.Backends), last.Common.Over)
	}
	i := slices.IndexFunc(last.Backends, func(k learnt.Backend) bool { return k.ID == 3 })
	if i < 0 || !last.Backends[i].Healthy || last.Backends[i].Ejected > 0 || last.Backends[i].LastOK > 3*second {
		t.Errorf("the one that was bad twelve seconds ago: %+v", last.Backends)
	}
}
