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

// leasedEngine is an engine whose settings hold under a lease, on a clock of the test's.
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

// leaseHistory is a random history of calls, ends of attempts, new settings and expired leases, with what was written
// in it.
type leaseHistory struct {
	*leasedEngine
	seed                    uint64
	rng                     *rand.Rand
	choices                 []balancer.Config // of settings
	whileValid, afterExpiry balancer.Config
	calls                   []*clientCall
	runs                    map[*Call]int
	checked                 int // of the carrier's started attempts
	counts                  *writeCounts
}

// writeCounts are over all histories: attempts that were written, those that the permit kept back, those of a call that
// had run before, and those without a lease.
type writeCounts struct{ written, keptBack, again, expired int }

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

// step lets the next thing happen.
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
	case 4: // the process is stopped; nobody has told the engine
		h.now += time.Duration(h.rng.IntN(4)) * time.Second
	default:
		h.endAttempt(t)
	}
}

// checkStarted holds that without a lease no attempt is started for a call that may have run.
func (h *leaseHistory) checkStarted(t *testing.T) {
	t.Helper()
	for ; h.checked < len(h.carrier.started); h.checked++ {
		if a := h.carrier.started[h.checked]; h.lease.Expired() && !a.ended && h.runs[a.Call] > 0 {
			t.Fatalf("seed %d: without a lease another attempt is begun at what may have run", h.seed)
		}
	}
}

// endAttempt writes one of the attempts where its permit allows it, and ends it.
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
		h.counts.keptBack++
		h.Dispatch(func() { a.End(AttemptEnd{Result: balancer.NotSent}) })
		return
	}
	h.counts.written++
	h.checkWritten(t, a)
	h.runs[a.Call]++
	if h.runs[a.Call] > 1 {
		h.counts.again++
	}
	h.Dispatch(func() {
		a.End(AttemptEnd{Result: []balancer.Result{balancer.Error, balancer.Reset, balancer.OK}[h.rng.IntN(3)]})
	})
}

// checkWritten holds that the settings of this moment allow what is written.
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
		t.Fatalf("seed %d: written for a class that is gone", h.seed)
	case a.Index >= inForce.Caps.MaxAttempts:
		t.Fatalf("seed %d: attempt %d of %d is written, lease expired %v", h.seed, a.Index+1, inForce.Caps.MaxAttempts, expired)
	case h.runs[a.Call] > 0 && (inForce.Classes[class].Effect == balancer.Unsafe || inForce.Classes[class].NeverRerun):
		t.Fatalf("seed %d: a %s that may have run is written again, lease expired %v", h.seed, inForce.Classes[class].Name, expired)
	}
}

// Whatever comes in whatever order (calls, attempts that end in every way, new settings, leases that expire, a process
// that was stopped between the decision and the first byte): no attempt is written that the settings of that moment
// forbid. What they forbid is stated here once more, in the plainest way.
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
				t.Fatalf("seed %d: %d answers", seed, len(c.answers))
			}
		}
	}
	t.Logf("%+v", counts)
	if counts.written == 0 || counts.keptBack == 0 || counts.again == 0 || counts.expired == 0 {
		t.Error("the histories show nothing")
	}
}

// A lease costs a call no allocation.
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
		t.Errorf("%.1f allocations a call with a lease, %.1f without", with, without)
	}
}

// The engine's part of a request without and with a lease, in turn: what counts is the ratio, in one run.
func BenchmarkLease(b *testing.B) {
	plain := newManualEngine(b, ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2"))
	l := newLeasedEngine(b)
	l.lease.Clock = func() time.Duration { // as the fleet's
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
			b.Fatal(err)
		}
		return time.Duration(now.Nano())
	}
	l.reconfigure(b, testutil.Module(b), withoutRetries(testutil.Module(b)))
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
		for i, s := range []*manualEngine{plain, l.manualEngine} {
			began := time.Now()
			for range 100 {
				one(s)
			}
			took[i] += time.Since(began)
		}
	}
	b.ReportMetric(float64(took[1])/float64(took[0]), "with/without")
}
