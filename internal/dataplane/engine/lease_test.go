package engine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlreel/internal/balancer"
	"marlreel/internal/testutil"
)

// leasedEngine is an engine whose settings have a lease, on a clock that the test sets.
type leasedEngine struct {
	*manualEngine
	now time.Duration // on the lease's clock
}

func newLeasedEngine(t testing.TB) *leasedEngine {
	t.Helper()
	l := &leasedEngine{now: time.Hour}
	l.manualEngine = newManualEngine(t, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"), ready("s-3", "127.0.0.1:3"))
	l.SetLease(&Lease{Clock: func() time.Duration { return l.now }})
	return l
}

func (l *leasedEngine) reconfigure(t testing.TB, whileValid, afterExpiry balancer.Config) {
	t.Helper()
	var err error
	l.Dispatch(func() { err = l.ReconfigureLeased(whileValid, afterExpiry) })
	if err != nil {
		t.Fatal(err)
	}
}

func withoutRetries(c balancer.Config) balancer.Config {
	c.Classes = append([]balancer.Class(nil), c.Classes...)
	for i := range c.Classes {
		c.Classes[i].NeverRerun = true
	}
	return c
}

// leaseHistory is a random history of calls, ends of attempts, new settings and expired leases. It records which
// attempts were written.
type leaseHistory struct {
	*leasedEngine
	seed                    uint64
	rng                     *rand.Rand
	choices                 []balancer.Config // the settings to choose from
	whileValid, afterExpiry balancer.Config
	calls                   []*clientCall
	runs                    map[*Call]int
	checked                 int // how many of the carrier's started attempts checkStarted has checked
	counts                  *writeCounts
}

// writeCounts counts, over all histories, the attempts that were written, those whose permit could not be claimed,
// those written for a call that had run before, and those written with an expired lease.
type writeCounts struct{ written, denied, repeated, expired int }

func newLeaseHistory(t *testing.T, seed uint64, counts *writeCounts) *leaseHistory {
	t.Helper()
	h := &leaseHistory{
		leasedEngine: newLeasedEngine(t), seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), runs: map[*Call]int{}, counts: counts,
	}
	usual := testutil.Module(t)
	h.choices = []balancer.Config{usual, usual, usual}
	h.choices[1].Caps.MaxAttempts = 1
	h.choices[2].Caps.MaxAttempts = 2
	h.choices[2].Classes = usual.Classes[:2]
	h.whileValid, h.afterExpiry = usual, withoutRetries(usual)
	h.reconfigure(t, h.whileValid, h.afterExpiry)
	h.lease.Extend(h.now + time.Minute)
	return h
}

// step performs one random action.
func (h *leaseHistory) step(t *testing.T) {
	t.Helper()
	switch h.rng.IntN(8) {
	case 0, 1:
		h.calls = append(h.calls, h.submit(h.rng.IntN(3), time.Minute))
	case 2:
		h.whileValid = h.choices[h.rng.IntN(3)]
		h.afterExpiry = withoutRetries(h.whileValid)
		h.afterExpiry.Caps.MaxAttempts = min(h.afterExpiry.Caps.MaxAttempts, 2)
		h.reconfigure(t, h.whileValid, h.afterExpiry)
	case 3:
		h.lease.Extend(h.now + time.Duration(h.rng.IntN(3))*time.Second)
	case 4: // the process was stopped for a while, and the engine is not notified
		h.now += time.Duration(h.rng.IntN(4)) * time.Second
	default:
		h.endAttempt(t)
	}
}

// checkStarted checks that no attempt was started with an expired lease for a call that may have run.
func (h *leaseHistory) checkStarted(t *testing.T) {
	t.Helper()
	for ; h.checked < len(h.carrier.started); h.checked++ {
		if a := h.carrier.started[h.checked]; h.lease.Expired() && !a.ended && h.runs[a.Call] > 0 {
			t.Fatalf("seed %d: another attempt of a call that may have run was started with an expired lease", h.seed)
		}
	}
}

// endAttempt picks a random attempt, writes it if its permit can be claimed, and ends it.
func (h *leaseHistory) endAttempt(t *testing.T) {
	t.Helper()
	if len(h.carrier.started) == 0 {
		return
	}
	a := h.carrier.started[h.rng.IntN(len(h.carrier.started))]
	if a.ended || !a.Permit.Available() {
		return
	}
	if !a.Permit.TryClaim() {
		h.counts.denied++
		h.Dispatch(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
		return
	}
	h.counts.written++
	h.checkWritten(t, a)
	h.runs[a.Call]++
	if h.runs[a.Call] > 1 {
		h.counts.repeated++
	}
	h.Dispatch(func() {
		a.End(AttemptEnd{Result: []balancer.Result{balancer.Error, balancer.Reset, balancer.OK}[h.rng.IntN(3)]})
	})
}

// checkWritten checks that the settings in force allow the attempt that is written.
func (h *leaseHistory) checkWritten(t *testing.T, a *Attempt) {
	t.Helper()
	inForce, expired := h.whileValid, h.lease.Expired()
	if expired {
		inForce = h.afterExpiry
		h.counts.expired++
	}
	class := slices.IndexFunc(inForce.Classes, func(c balancer.Class) bool { return c.Name == h.classes.Name(a.Call.Class) })
	switch {
	case class < 0:
		t.Fatalf("seed %d: an attempt of a removed class is written", h.seed)
	case a.Index >= inForce.Caps.MaxAttempts:
		t.Fatalf("seed %d: attempt %d of at most %d is written, lease expired %v", h.seed, a.Index+1, inForce.Caps.MaxAttempts, expired)
	case h.runs[a.Call] > 0 && (inForce.Classes[class].Effect == balancer.Unsafe || inForce.Classes[class].NeverRerun):
		t.Fatalf("seed %d: a request of class %s that may have run is written again, lease expired %v", h.seed, inForce.Classes[class].Name, expired)
	}
}

// Checks that no attempt is written that the settings in force forbid, in random histories of calls, attempts that end
// in different ways, new settings, leases that expire, and a process that was stopped between the decision on an
// attempt and its first byte. The rules are stated here a second time, in the simplest way.
func TestNothingIsWrittenAgainstSettingsInForce(t *testing.T) {
	t.Parallel()
	var counts writeCounts
	for seed := range uint64(300) {
		h := newLeaseHistory(t, seed, &counts)
		for range 60 {
			h.checkStarted(t)
			h.step(t)
		}
		for _, c := range h.calls {
			if len(c.answers) > 1 {
				t.Fatalf("seed %d: %d answers to one call", seed, len(c.answers))
			}
		}
	}
	t.Logf("%+v", counts)
	if counts.written == 0 || counts.denied == 0 || counts.repeated == 0 || counts.expired == 0 {
		t.Error("the histories do not cover every case: a count is 0")
	}
}

// A lease adds no allocations to a call.
func TestLeaseAllocatesNothing(t *testing.T) {
	count := func(l *manualEngine) float64 {
		return testing.AllocsPerRun(200, func() {
			l.submit(0, time.Minute)
			a := l.carrier.started[len(l.carrier.started)-1]
			a.Permit.TryClaim()
			l.Dispatch(func() { a.End(AttemptEnd{Result: balancer.OK}) })
			l.carrier.started = l.carrier.started[:0]
		})
	}
	plain := newManualEngine(t, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"), ready("s-3", "127.0.0.1:3"))
	l := newLeasedEngine(t)
	l.reconfigure(t, testutil.Module(t), withoutRetries(testutil.Module(t)))
	l.lease.Extend(l.now + time.Hour)
	without, with := count(plain), count(l.manualEngine)
	if with > without+0.5 {
		t.Errorf("%.1f allocations per call with a lease, %.1f without", with, without)
	}
}

// BenchmarkLease measures the engine's share of a request without and with a lease, alternately. Its result is the
// ratio of the two within one run.
func BenchmarkLease(b *testing.B) {
	plain := newManualEngine(b, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"))
	l := newLeasedEngine(b)
	l.lease.Clock = func() time.Duration { // like the clock of leases in a fleet
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
			b.Fatal(err)
		}
		return time.Duration(now.Nano())
	}
	l.reconfigure(b, testutil.Module(b), withoutRetries(testutil.Module(b)))
	l.lease.Extend(l.lease.Clock() + time.Hour)
	var took [2]time.Duration
	runCall := func(s *manualEngine) {
		s.submit(0, time.Minute)
		a := s.carrier.started[0]
		a.Permit.TryClaim()
		s.Dispatch(func() { a.End(AttemptEnd{Result: balancer.OK}) })
		s.carrier.started = s.carrier.started[:0]
	}
	for b.Loop() {
		for i, s := range []*manualEngine{plain, l.manualEngine} {
			startedAt := time.Now()
			for range 100 {
				runCall(s)
			}
			took[i] += time.Since(startedAt)
		}
	}
	b.ReportMetric(float64(took[1])/float64(took[0]), "with/without")
}
