package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlreel/internal/balancer"
	"marlreel/internal/testutil"
)

// leasedEngine is an engine whose settings hold under a lease, on a clock of the test's.
func leasedEngine(t testing.TB) (*manualEngine, *time.Duration, func(inForce, strict balancer.Config)) {
	now := time.Hour
	l := newManualEngine(t, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"), ready("s-3", "127.0.0.1:3"))
	l.SetLease(&Lease{Clock: func() time.Duration { return now }})
	return l, &now, func(inForce, strict balancer.Config) {
		t.Helper()
		var err error
		l.Dispatch(func() { err = l.ReconfigureLeased(inForce, strict) })
		if err != nil {
			t.Fatal(err)
		}
	}
}

func withoutRetries(c balancer.Config) balancer.Config {
	c.Classes = append([]balancer.Class(nil), c.Classes...)
	for i := range c.Classes {
		c.Classes[i].NeverRerun = true
	}
	return c
}

// Whatever comes in whatever order (calls, attempts that end in every way, new settings, leases that run out, a
// process that was stopped between the decision and the first byte): no attempt is written that the rules of that
// moment forbid. What they forbid is stated here once more, in the plainest way.
func TestNothingIsWrittenByRulesThatAreOver(t *testing.T) {
	t.Parallel()
	written, kept, again, woken := 0, 0, 0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l, now, rule := leasedEngine(t)
		usual := testutil.Module(t)
		settings := []balancer.Config{usual, usual, usual}
		settings[1].Caps.MaxAttempts = 1
		settings[2].Caps.MaxAttempts = 2
		settings[2].Classes = usual.Classes[:2]
		inForce, strict := usual, withoutRetries(usual)
		rule(inForce, strict)
		l.lease.Extend(*now + time.Minute)
		var calls []*clientCall
		ran, seen := map[*Call]int{}, 0
		for range 60 {
			for ; seen < len(l.carrier.started); seen++ {
				if a := l.carrier.started[seen]; l.lease.Expired() && !a.ended && ran[a.Call] > 0 {
					t.Fatalf("seed %d: without a lease another attempt is begun at what may have run", seed)
				}
			}
			switch rng.IntN(8) {
			case 0, 1:
				calls = append(calls, l.submit(rng.IntN(3), time.Minute))
			case 2:
				inForce = settings[rng.IntN(3)]
				strict = withoutRetries(inForce)
				strict.Caps.MaxAttempts = min(strict.Caps.MaxAttempts, 2)
				rule(inForce, strict)
			case 3:
				l.lease.Extend(*now + time.Duration(rng.IntN(3))*time.Second)
			case 4: // the process is stopped; nobody has told the engine
				*now += time.Duration(rng.IntN(4)) * time.Second
			default:
				if len(l.carrier.started) == 0 {
					continue
				}
				a := l.carrier.started[rng.IntN(len(l.carrier.started))]
				if a.ended || !a.Permit.Available() {
					continue
				}
				if a.Permit.TryClaim() {
					written++
					by, lapsed := inForce, l.lease.Expired()
					if lapsed {
						by, woken = strict, woken+1
					}
					class := -1
					for i, c := range by.Classes {
						if c.Name == l.classes.Name(a.Call.Class) {
							class = i
						}
					}
					switch {
					case class < 0:
						t.Fatalf("seed %d: written for a class that is gone", seed)
					case a.Index >= by.Caps.MaxAttempts:
						t.Fatalf("seed %d: attempt %d of %d is written, lapsed %v", seed, a.Index+1, by.Caps.MaxAttempts, lapsed)
					case ran[a.Call] > 0 && (by.Classes[class].Effect == balancer.Unsafe || by.Classes[class].NeverRerun):
						t.Fatalf("seed %d: a %s that may have run is written again, lapsed %v", seed, by.Classes[class].Name, lapsed)
					}
					ran[a.Call]++
					if ran[a.Call] > 1 {
						again++
					}
					l.Dispatch(func() {
						a.End(AttemptEnd{Result: []balancer.Result{balancer.Error, balancer.Reset, balancer.OK}[rng.IntN(3)]})
					})
				} else {
					kept++
					l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
				}
			}
		}
		for _, c := range calls {
			if len(c.answers) > 1 {
				t.Fatalf("seed %d: %d answers", seed, len(c.answers))
			}
		}
	}
	t.Logf("%d written, %d of them without a lease, %d again; %d were kept back at the last moment", written, woken, again, kept)
	if written == 0 || kept == 0 || again == 0 || woken == 0 {
		t.Error("the histories show nothing")
	}
}

// A lease costs a call no allocation.
func TestALeaseAllocatesNothing(t *testing.T) {
	count := func(l *manualEngine) float64 {
		n := 0
		return testing.AllocsPerRun(200, func() {
			c := l.submit(0, time.Minute)
			a := l.carrier.started[len(l.carrier.started)-1]
			a.Permit.TryClaim()
			l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.OK}) })
			l.carrier.started = l.carrier.started[:0]
			_ = c
			n++
		})
	}
	plain := newManualEngine(t, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"), ready("s-3", "127.0.0.1:3"))
	l, now, rule := leasedEngine(t)
	rule(testutil.Module(t), withoutRetries(testutil.Module(t)))
	l.lease.Extend(*now + time.Hour)
	without, with := count(plain), count(l)
	if with > without+0.5 {
		t.Errorf("%.1f allocations a call with a lease, %.1f without", with, without)
	}
}

// The engine's part of a request without and with a lease, in turn: what counts is the ratio, in one run.
func BenchmarkLease(b *testing.B) {
	plain := newManualEngine(b, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"))
	l, _, rule := leasedEngine(b)
	l.lease.Clock = func() time.Duration { // as the fleet's
		var t unix.Timespec
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
		return time.Duration(t.Nano())
	}
	rule(testutil.Module(b), withoutRetries(testutil.Module(b)))
	l.lease.Extend(l.lease.Clock() + time.Hour)
	var took [2]time.Duration
	one := func(s *manualEngine) {
		s.submit(0, time.Minute)
		a := s.carrier.started[0]
		a.Permit.TryClaim()
		s.Dispatch(func() { a.End(AttemptEnd{Result: balancer.OK}) })
		s.carrier.started = s.carrier.started[:0]
	}
	for b.Loop() {
		for i, s := range []*manualEngine{plain, l} {
			began := time.Now()
			for range 100 {
				one(s)
			}
			took[i] += time.Since(began)
		}
	}
	b.ReportMetric(float64(took[1])/float64(took[0]), "with/without")
}
