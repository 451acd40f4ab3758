package balancer

import (
	"testing"
	"time"
)

// staleMembership is a proxy with a stale membership, in which some backends are gone.
type staleMembership struct {
	b              *Balancer
	h              *recorder
	now            time.Duration
	attemptsAtGone map[BackendID]int // by gone backend
	attempts       map[RequestID]int
	served         int
}

// respond ends all attempts and health checks, also those that their results cause.
func (w *staleMembership) respond() {
	for acts := w.h.take("send", "probe"); len(acts) > 0; acts = w.h.take("send", "probe") {
		for _, a := range acts {
			w.end(a)
		}
	}
}

func (w *staleMembership) end(a action) {
	_, gone := w.attemptsAtGone[a.to]
	result := OK
	if gone {
		result = ConnectFailed
	}
	if a.verb == "probe" {
		w.b.OnHealthCheck(w.now, HealthCheckResult{Backend: a.to, Result: result, Took: milli})
		return
	}
	if gone {
		w.attemptsAtGone[a.to]++
	} else {
		w.served++
	}
	n := w.attempts[a.id]
	w.attempts[a.id]++
	w.b.OnAttemptEnd(w.now, Outcome{ID: a.id, Attempt: n, Backend: a.to, Result: result, Took: milli, Final: !gone})
}

// A proxy starts with only a stale membership. A gone backend costs one or two failed connections before health checks
// and attempts eject it, and the new membership must not make the other backends look newly started.
func TestStaleMembershipCostsLittle(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := &staleMembership{
			h: &recorder{}, now: 5 * second, attemptsAtGone: map[BackendID]int{2: 0, 5: 0, 9: 0}, attempts: map[RequestID]int{},
		}
		var err error
		w.b, err = New(testConfig(), seed, w.h)
		if err != nil {
			t.Fatal(err)
		}
		w.b.Start(w.now)
		w.b.OnMembership(w.now, Membership{Kind: MembershipCached, Version: 7, Backends: list(10)})
		for i := range 400 {
			w.now += 5 * milli
			w.b.OnRequest(w.now, Request{ID: RequestID(i + 1), Class: 0, Deadline: w.now + second})
			w.respond()
		}
		for id, n := range w.attemptsAtGone {
			if n > 3 {
				t.Errorf("seed %d: %d attempts went to backend %d, which is gone", seed, n, id)
			}
		}
		if w.served < 395 {
			t.Errorf("seed %d: %d of 400 served", seed, w.served)
		}
		w.b.OnMembership(w.now, Membership{Kind: MembershipFull, Version: 9, Backends: list(10)})
		for _, x := range w.b.targets {
			if _, gone := w.attemptsAtGone[x.ID]; !gone && x.warmupStarted > 0 {
				t.Errorf("seed %d: backend %d counts as started with the new membership", seed, x.ID)
			}
		}
	}
}
