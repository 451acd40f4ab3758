package goodput

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// goalValue computes the goal by its definition, to compare the marginal utility with.
func goalValue(g Goal, l *Tracker) float64 {
	worstRatio := func(list []tally) float64 {
		low := 1.0
		for i := range list {
			low = min(low, list[i].successRatio())
		}
		return low
	}
	return (g.Total+g.WorstWindow)*l.total.successRatio() + g.WorstClass*worstRatio(l.classes) + g.WorstTenant*worstRatio(l.tenants)
}

// hasClearWorst reports whether one entry is served clearly worse than all others.
func hasClearWorst(list []tally) bool {
	ratios := []float64{}
	for i := range list {
		ratios = append(ratios, list[i].successRatio())
	}
	slices.Sort(ratios)
	return ratios[1]-ratios[0] > worstTolerance
}

// The marginal utility is the slope of the goal where one class and one tenant are clearly the worst.
func TestMarginalUtilityIsTheSlopeOfTheGoal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Goal{Total: 0.6, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.1}
		l := New(g, 3, 2)
		worstClass, worstTenant := rapid.IntRange(0, 2).Draw(t, "class"), rapid.IntRange(0, 1).Draw(t, "tenant")
		for c := range 3 {
			for n := range 2 {
				offered := rapid.Float64Range(10, 1000).Draw(t, "offered")
				ratio := 0.95
				if c == worstClass {
					ratio -= 0.3
				}
				if n == worstTenant {
					ratio -= 0.2
				}
				l.Record(c, n, offered, offered*ratio)
			}
		}
		if !hasClearWorst(l.classes) || !hasClearWorst(l.tenants) {
			t.Skip("no class, or no tenant, is clearly the worst")
		}
		class, tenant := rapid.IntRange(0, 2).Draw(t, "of class"), rapid.IntRange(0, 1).Draw(t, "of tenant")
		before, marginal := goalValue(g, l), l.MarginalUtility(class, tenant, 1)
		const unit = 1e-3
		l.Record(class, tenant, 0, unit)
		if slope := (goalValue(g, l) - before) / unit; math.Abs(slope-marginal) > 1e-6*marginal {
			t.Fatalf("marginal utility %v, the goal rises by %v", marginal, slope)
		}
	})
}

func TestDecayKeepsRatiosAndUnknownClassesCountForTheTotal(t *testing.T) {
	l := New(Goal{Total: 1, WorstTenant: 1}, 1, 1)
	l.Record(0, 7, 10, 5) // no such tenant
	l.Decay(0.5)
	if l.total != (tally{5, 2.5}) || l.classes[0] != l.total || l.tenants[0] != (tally{}) {
		t.Errorf("tracker after the decay: %+v", l)
	}
	if got := l.MarginalUtility(0, 7, 1); got != 1.0/5 {
		t.Errorf("marginal utility %v", got)
	}
}
