package balancer

import "testing"

// A proxy that starts with its old list alone: a node on it that is gone costs a failed connect or two before
// probes and attempts have it out, and the new list, when it comes, makes no node that stayed look cold.
func TestStaleMembershipCostsLittle(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	for seed := range uint64(20) {
		h := &recorder{}
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		now := 5 * second
		b.Start(now)
		b.OnMembership(now, Membership{Kind: ListCached, Version: 7, Backends: list(10)})
		gone := map[BackendID]int{2: 0, 5: 0, 9: 0}
		attempts := map[RequestID]int{}
		served := 0
		for i := range 400 {
			now += 5 * milli
			id := RequestID(i + 1)
			b.OnRequest(now, Request{ID: id, Class: 0, Deadline: now + second})
			for acts := h.take("send", "probe"); len(acts) > 0; acts = h.take("send", "probe") {
				for _, a := range acts {
					_, dead := gone[a.to]
					r := OK
					if dead {
						r = ConnectFailed
					}
					if a.verb == "probe" {
						b.OnHealthCheck(now, HealthCheckResult{Backend: a.to, Result: r, Took: milli})
						continue
					}
					if dead {
						gone[a.to]++
					} else {
						served++
					}
					n := attempts[a.id]
					attempts[a.id]++
					b.OnAttemptEnd(now, Outcome{ID: a.id, Attempt: n, Backend: a.to, Result: r, Took: milli, Final: r == OK})
				}
			}
		}
		for id, n := range gone {
			if n > 3 {
				t.Errorf("seed %d: %d attempts went to node %d, which is gone", seed, n, id)
			}
		}
		if served < 395 {
			t.Errorf("seed %d: %d of 400 served", seed, served)
		}
		b.OnMembership(now, Membership{Kind: ListFull, Version: 9, Backends: list(10)})
		for _, x := range b.targets {
			if _, dead := gone[x.ID]; !dead && x.warmupStarted > 0 {
				t.Errorf("seed %d: node %d looks cold with the new list", seed, x.ID)
			}
		}
	}
}
