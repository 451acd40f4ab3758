package staleness

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/process/learnedstate"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// A clock that was set must not make a state look more recent: an age that cannot be known is an error.
func TestAge(t *testing.T) {
	t.Parallel()
	at := func(wall time.Duration, boot string, up time.Duration) Timestamp {
		return Timestamp{noon.Add(wall), boot, up}
	}
	for name, c := range map[string]struct {
		then, now Timestamp
		want      time.Duration // -1 is an error
	}{
		"same boot":                         {at(0, "a", time.Hour), at(time.Minute, "a", time.Hour+time.Minute), time.Minute},
		"same boot, wall clock set back":    {at(0, "a", time.Hour), at(-time.Hour, "a", time.Hour+time.Minute), time.Minute},
		"same boot, wall clock set forward": {at(0, "a", time.Hour), at(24*time.Hour, "a", time.Hour+time.Minute), time.Minute},
		"machine rebooted":                  {at(0, "a", time.Hour), at(5*time.Minute, "b", time.Minute), 5 * time.Minute},
		"rebooted, wall clock set back":     {at(0, "a", time.Hour), at(-time.Second, "b", time.Minute), -1},
		"same boot, earlier uptime":         {at(0, "a", time.Hour), at(time.Minute, "a", time.Minute), -1},
		"no uptime":                         {at(0, "", 0), at(time.Second, "", 0), time.Second},
		"no timestamp":                      {Timestamp{}, at(0, "b", time.Minute), -1},
	} {
		got, err := Age(c.then, c.now)
		if c.want < 0 && err == nil || c.want >= 0 && (err != nil || got != c.want) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

// An older state weighs less, down to nothing, and a crash halves the weight. Limits stay between those that the
// backends had, no ejection gets longer, and no budget grows.
func TestDiscount(t *testing.T) {
	t.Parallel()
	cfg := Config{MaxAge: 10 * time.Minute, HalfLife: 30 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		positive := rapid.Float64Range(0, 1e4)
		s := &learnedstate.State{
			Common:  learnedstate.Common{RetryTokens: positive.Draw(t, "retries"), MeanWindow: positive.Draw(t, "over")},
			Classes: []learnedstate.Class{{Name: "bid", DelayFit: [5]float64{positive.Draw(t, "n"), 3, 4, 5, 6}, DelayTail: [3]float64{9, 2, 1}, Served: 7}},
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "backends") {
			_ = i
			s.Backends = append(s.Backends, learnedstate.Backend{
				ConcurrencyLimit: positive.Draw(t, "limit"), Answers: positive.Draw(t, "answers"),
				EjectedFor: time.Duration(rapid.IntRange(0, 1e10).Draw(t, "ejected")), EjectionDuration: time.Duration(rapid.IntRange(0, 1e10).Draw(t, "hold")),
				WarmupTokens: rapid.Float64Range(-1e3, 1e3).Draw(t, "tokens"),
			})
		}
		a := time.Duration(rapid.Int64Range(0, int64(cfg.MaxAge)).Draw(t, "age"))
		b := a + time.Duration(rapid.Int64Range(0, int64(cfg.MaxAge-a)).Draw(t, "longer"))
		young, old, crashed := Discount(cfg, s, a, false), Discount(cfg, s, b, false), Discount(cfg, s, a, true)
		if old.Classes[0].DelayFit[0] > young.Classes[0].DelayFit[0] || crashed.Classes[0].DelayFit[0] > young.Classes[0].DelayFit[0]*0.5+1e-9 || young.Classes[0].DelayFit[0] > s.Classes[0].DelayFit[0] {
			t.Fatalf("young %v, old %v, crashed %v of %v", young.Classes[0].DelayFit, old.Classes[0].DelayFit, crashed.Classes[0].DelayFit, s.Classes[0].DelayFit)
		}
		low, high := math.Inf(1), 0.0
		for i := range s.Backends {
			if v := s.Backends[i].ConcurrencyLimit; v > 0 {
				low, high = min(low, v), max(high, v)
			}
		}
		for i, k := range old.Backends {
			was := s.Backends[i]
			if k.EjectedFor != 0 || k.EjectionDuration > was.EjectionDuration || k.WarmupTokens > 0 || k.WarmupTokens > was.WarmupTokens || k.Answers > was.Answers || k.ConcurrencyLimit > 0 && (k.ConcurrencyLimit < low-1e-6 || k.ConcurrencyLimit > high+1e-6) {
				t.Fatalf("backend %+v, discounted from %+v", k, was)
			}
		}
		if young.Common.RetryTokens > s.Common.RetryTokens || Discount(cfg, s, cfg.MaxAge+1, false) != nil || Discount(cfg, s, -1, false) != nil {
			t.Fatal("a budget grew, or a state that is too old or from the future was accepted")
		}
	})
}
