package connections

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newTestKeepAlive() *KeepAlive {
	return NewKeepAlive(KeepAliveConfig{Suspension: 10 * time.Second, MaxSuspension: 30 * time.Second, SuspensionOfAll: 3 * time.Second, MaxBackends: 3, QuickShare: 0.03, QuickRest: 2})
}

// A backend that sends a surplus answer is suspended for a time that doubles while it does it again, up to the bound,
// and begins anew after it was well for as long.
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
		{150 * time.Second, 10 * time.Second, true}, // well for 40 s
	} {
		if length, began := k.RecordSurplus(step.at, 1); length != step.length || began != step.began {
			t.Errorf("at %v: %v, %v, want %v, %v", step.at, length, began, step.length, step.began)
		}
		if k.Reusable(step.at, 1) || k.Reusable(step.at+step.length-1, 1) || !k.Reusable(step.at+step.length, 1) {
			t.Errorf("at %v: the suspension doesn't last %v", step.at, step.length)
		}
	}
}

// A suspension that begins suspends all for a short time, in which others are found out; one that goes on doesn't.
func TestNewSuspensionSuspendsAll(t *testing.T) {
	k := newTestKeepAlive()
	k.RecordSurplus(0, 1)
	if k.Reusable(2*time.Second, 9) || !k.Reusable(3*time.Second, 9) {
		t.Error("the others are not suspended for 3 s")
	}
	k.RecordSurplus(4*time.Second, 1)
	if !k.Reusable(5*time.Second, 9) {
		t.Error("a suspension that goes on suspends the others anew")
	}
	k.RecordSurplus(6*time.Second, 2)
	if k.Reusable(8*time.Second, 9) || k.Reusable(13*time.Second, 1) || k.Reusable(15*time.Second, 2) || !k.Reusable(15*time.Second, 1) {
		t.Error("each suspension is its backend's own after that")
	}
	k.Forget(2)
	if !k.Reusable(15*time.Second, 2) {
		t.Error("a backend that left is still suspended")
	}
}

// What is kept is bounded: the suspension that ends first gives way.
func TestSuspensionsAreBounded(t *testing.T) {
	k := newTestKeepAlive()
	for id := range uint32(50) {
		k.RecordSurplus(time.Duration(id)*time.Millisecond, id)
	}
	if len(k.suspended) != 3 || k.suspended[49] == nil || k.suspended[47] == nil {
		t.Errorf("kept: %v", k.suspended)
	}
}

// About the configured share of usual answers counts as quick, whatever their times are, and an answer that comes at once
// does.
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
			t.Errorf("%s: after an answer that came at once the connection rests for %v", name, rest)
		}
	}
}

// Of no more backends than the bound answer times are followed.
func TestAnswerTimesAreBounded(t *testing.T) {
	k := newTestKeepAlive()
	for id := range uint32(50) {
		k.RecordAnswer(id, time.Millisecond)
	}
	if len(k.answers) != 3 {
		t.Errorf("%d are kept", len(k.answers))
	}
	k.Forget(1)
	if len(k.answers) != 2 {
		t.Error("a backend that left is still followed")
	}
}
