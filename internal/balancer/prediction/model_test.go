package prediction

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// actualDelays draws the actual delays of attempts, which differ from the estimates by a bias and a spread.
type actualDelays struct {
	rng       *rand.Rand
	bias, dev float64
}

func (w *actualDelays) took(estimate float64) float64 {
	return estimate * math.Exp(w.bias+w.dev*w.rng.NormFloat64())
}

// recordAttempts records n attempts in a model, each given up at limit; recordTimeouts says whether those that were
// given up are recorded.
func (w *actualDelays) recordAttempts(m *Model, n int, limit float64, recordTimeouts bool) {
	for range n {
		estimate := 50 + 400*w.rng.Float64()
		if took := w.took(estimate); took <= limit {
			m.RecordOutcome(0, estimate, took, true)
		} else if recordTimeouts {
			m.RecordOutcome(0, estimate, limit, false)
		}
	}
}

// For any bias of the estimates, the predicted probabilities match the actual frequencies, although the slowest
// attempts were given up.
func TestProbabilitiesAreCalibrated(t *testing.T) {
	for seed, w := range []actualDelays{{bias: 0, dev: 0.7}, {bias: -0.8, dev: 0.7}, {bias: 0.7, dev: 0.5}, {bias: 0, dev: 0.35}, {bias: 0.3, dev: 1}} {
		w.rng = rand.New(rand.NewPCG(uint64(seed), 1))
		m := New(1)
		w.recordAttempts(m, 1500, 700, true)
		for _, left := range []float64{100, 250, 500} {
			const n, estimate = 4000, 250.0
			inTime := 0
			for range n {
				if w.took(estimate) <= left {
					inTime++
				}
			}
			if got, want := m.SuccessProbability(0, estimate, left), float64(inTime)/n; math.Abs(got-want) > 0.12 {
				t.Errorf("bias %v, dev %v: a predicted probability of %.2f for an estimate of %v within %v, and an actual frequency of %.2f", w.bias, w.dev, got, estimate, left, want)
			}
		}
	}
}

// Timeouts are evidence: without them, slow attempts look fast.
func TestTimeoutsAreCensoredObservations(t *testing.T) {
	const limit = 200 // half of all attempts are slower
	probability := func(recordTimeouts bool) float64 {
		w := &actualDelays{rand.New(rand.NewPCG(3, 1)), 0, 0.7}
		m := New(1)
		w.recordAttempts(m, 2000, limit, recordTimeouts)
		return m.SuccessProbability(0, 400, 400)
	}
	if with, without := probability(true), probability(false); math.Abs(with-0.5) > 0.1 || without < with+0.1 {
		t.Errorf("half of the attempts are answered in time; predicted %.2f, and %.2f if timeouts are not recorded", with, without)
	}
}

func TestProbabilityInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, anyFloat := New(2), rapid.Float64()
		for range rapid.IntRange(0, 50).Draw(t, "outcomes") {
			m.RecordOutcome(1, anyFloat.Draw(t, "estimate"), anyFloat.Draw(t, "took"), rapid.Bool().Draw(t, "answered"))
		}
		some := rapid.Float64Range(0.1, 1e5)
		estimate, left, more := some.Draw(t, "e"), some.Draw(t, "left"), some.Draw(t, "more")
		p := m.SuccessProbability(1, estimate, left)
		if !(p >= 0 && p <= 1) {
			t.Fatalf("probability %v, want 0 to 1", p)
		}
		if later := m.SuccessProbability(1, estimate, left+more); later < p {
			t.Fatalf("probability %v within %v, but %v within %v", p, left, later, left+more)
		}
		if slower := m.SuccessProbability(1, estimate+more, left); slower > p {
			t.Fatalf("probability %v for an estimate of %v, but %v for one of %v", p, estimate, slower, estimate+more)
		}
		if m.SuccessProbability(0, 100, 100) != New(1).SuccessProbability(0, 100, 100) {
			t.Fatal("outcomes of one class count for another")
		}
	})
}

func TestExpectedUtilityAndWorthwhile(t *testing.T) {
	p := Costs{Waste: 0.25, CrossZone: 0.08}
	for _, c := range []struct {
		s                    Attempt
		want                 float64
		worthwhile, hopeless bool
	}{
		{Attempt{Utility: 1, Work: 1, SuccessProbability: 1}, 1, true, false},
		{Attempt{Utility: 1, Work: 1, SuccessProbability: 0}, -0.25, false, true},
		{Attempt{Utility: 0.2, Work: 2, SuccessProbability: 0.5}, 0.1 - 0.25, false, true},
		{Attempt{Utility: 1, Work: 1, SuccessProbability: 1, CrossZone: true}, 0.92, true, false},
		{Attempt{Utility: 0.1, Work: 0.1, SuccessProbability: 1, CrossZone: true}, 0.02, false, false}, // worthwhile in its own zone
		{Attempt{Utility: 0, Work: 1, SuccessProbability: 1}, 0, true, false},                          // it costs nothing
	} {
		if got := p.ExpectedUtility(c.s); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%+v: %v, want %v", c.s, got, c.want)
		}
		if worthwhile, hopeless := p.IsWorthwhile(c.s, 0.3); worthwhile != c.worthwhile || hopeless != c.hopeless {
			t.Errorf("%+v: worthwhile %v, hopeless %v", c.s, worthwhile, hopeless)
		}
	}
}

func BenchmarkSuccessProbability(b *testing.B) {
	m := New(1)
	m.RecordOutcome(0, 100, 120, true)
	b.ReportAllocs()
	for range b.N {
		m.SuccessProbability(0, 100, 150)
	}
}

// The mean of the tail is that of the textbook's formula, also where it is computed in another way.
func TestNormalTailMean(t *testing.T) {
	const first, last, step, tolerance = -8.0, 6.0, 0.0013, 1e-13
	for z := first; z <= last; z += step {
		got, want := normalTailMean(z), math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)/(math.Erfc(z/math.Sqrt2)/2)
		if math.Abs(got-want) > tolerance*want {
			t.Fatalf("beyond %v the mean is %v, want %v", z, got, want)
		}
	}
}
