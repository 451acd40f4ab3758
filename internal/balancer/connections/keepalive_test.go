package connections

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newTestKeepAlive() *KeepAlive {
	return NewKeepAlive(KeepAliveConfig{Suspension: 10 * time.Second, MaxSuspension: 30 * time.Second, SuspensionOfAll: 3 * time.Second, MaxBackends: 3, QuickShare: 0.03, QuickRest: 2})
}

// The suspension of a backend that sends surplus answers doubles if it does so again soon after a suspension, up to the
// bound, and starts again at the initial length after a long enough time without one.
func TestSuspensionDoubles(t *testing.T) {
	k := newTestKeepAlive()
	for _, step := range []struct {
		at, length time.Duration
		began      bool
	}{
		{0, 10 * time.Second, true},
		{5 * time.Second, 10 * time.Second, false},  // until 15 s
		{20 * time.Second, 20 * time.Second, true},  // until 40 s
		{45 * time.Second, 30 * time.Second, true},  // until 75 s
		{80 * time.Second, 30 * time.Second, true},  // until 110 s
		{150 * time.Second, 10 * time.Second, true}, // no surplus answer for 40 s
	} {
		if length, began := k.RecordSurplus(step.at, 1); length != step.length || began != step.began {
			t.Errorf("at %v: length %v, began %v, want %v, %v", step.at, length, began, step.length, step.began)
		}
		if k.Reusable(step.at, 1) || k.Reusable(step.at+step.length-1, 1) || !k.Reusable(step.at+step.length, 1) {
			t.Errorf("at %v: the suspension does not last %v", step.at, step.length)
		}
	}
}

// A new suspension suspends all backends for a short time, in which other affected ones are detected; an extended one
// does not.
func TestNewSuspensionSuspendsAll(t *testing.T) {
	k := newTestKeepAlive()
	k.RecordSurplus(0, 1)
	if k.Reusable(2*time.Second, 9) || !k.Reusable(3*time.Second, 9) {
		t.Error("the other backends are not suspended for 3 s")
	}
	k.RecordSurplus(4*time.Second, 1)
	if !k.Reusable(5*time.Second, 9) {
		t.Error("an extended suspension suspends the other backends again")
	}
	k.RecordSurplus(6*time.Second, 2)
	if k.Reusable(8*time.Second, 9) || k.Reusable(13*time.Second, 1) || k.Reusable(15*time.Second, 2) || !k.Reusable(15*time.Second, 1) {
		t.Error("want all backends suspended for a short time, and then each for its own suspension only")
	}
	k.Forget(2)
	if !k.Reusable(15*time.Second, 2) {
		t.Error("a removed backend is still suspended")
	}
}

// The number of suspensions is bounded: the one that ends first is dropped.
func TestSuspensionsAreBounded(t *testing.T) {
	k := newTestKeepAlive()
	for id := range uint32(50) {
		k.RecordSurplus(time.Duration(id)*time.Millisecond, id)
	}
	if len(k.suspended) != 3 || k.suspended[49] == nil || k.suspended[47] == nil {
		t.Errorf("kept suspensions: %v", k.suspended)
	}
}

// Whatever the distribution of the answer times, about the configured share of usual answers counts as quick, and an
// immediate answer always does.
func TestQuickAnswers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, draw := range map[string]func() time.Duration{
		"uniform":     func() time.Duration { return time.Duration(2e6 + rng.IntN(6e6)) },
		"exponential": func() time.Duration { return time.Duration(rng.ExpFloat64() * 50e6) },
		"two classes": func() time.Duration { return time.Duration(1e6 + 99e6*rng.IntN(2) + rng.IntN(1e5)) },
		"constant":    func() time.Duration { return 10 * time.Millisecond },
	} {
		k := newTestKeepAlive()
		quick := 0
		const warmup, count = 1000, 10000
		for i := range warmup + count {
			if rest := k.RecordAnswer(1, draw()); rest > 0 && i >= warmup {
				quick++
			}
		}
		if share := float64(quick) / count; share > 0.045 {
			t.Errorf("%s: %.3f of the answers count as quick", name, share)
		}
		if rest := k.RecordAnswer(1, 10*time.Microsecond); rest <= 0 || rest > maxQuickRest {
			t.Errorf("%s: after an immediate answer the connection rests for %v", name, rest)
		}
	}
}

// Answer times are tracked for no more backends than the bound.
func TestAnswerTimesAreBounded(t *testing.T) {
	k := newTestKeepAlive()
	for id := range uint32(50) {
		k.RecordAnswer(id, time.Millisecond)
	}
	if len(k.answers) != 3 {
		t.Errorf("answer times of %d backends are kept", len(k.answers))
	}
	k.Forget(1)
	if len(k.answers) != 2 {
		t.Error("the answer times of a removed backend are kept")
	}
}
