package concurrencylimit

import (
	"testing"

	"pgregory.net/rapid"
)

// However late and early answers follow each other, a limit stays above its share of one
// request, falls for a late one and never falls for one in time.
func TestLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sharers := rapid.Float64Range(1, 50).Draw(t, "sharers")
		l := Initial(sharers)
		for range rapid.IntRange(1, 200).Draw(t, "ends") {
			before := l
			if rapid.Bool().Draw(t, "late") {
				if l = Decrease(l, sharers, 1); l > before && before >= 1/sharers {
					t.Fatalf("a late one raised %v to %v", before, l)
				}
			} else if l = Increase(l, rapid.Float64Range(0, 20).Draw(t, "out"), sharers); l < before {
				t.Fatalf("one in time cut %v to %v", before, l)
			}
			if l < 1/sharers-1e-12 {
				t.Fatalf("limit %v of %v sharers", l, sharers)
			}
		}
	})
}

// A limit just under two lets one out, which is less than near of it; it has to grow all the same.
func TestLoadOfOneIncreasesLimitUnderTwo(t *testing.T) {
	if got := Increase(1.9, 1, 1); got <= 1.9 {
		t.Errorf("1.9 with one out stays at %v", got)
	}
	if got := Increase(6, 2, 1); got != 6 {
		t.Errorf("6 with two out became %v", got)
	}
}

func TestUnusedLimitDecaysToUse(t *testing.T) {
	l := 100.0
	for range 1000 {
		l = DecayTowardsUse(l, 20, 1, 40)
	}
	if l < 30 || l > 30.1 {
		t.Errorf("sank to %v, with 20 out", l)
	}
	if got := DecayTowardsUse(5, 20, 1, 40); got != 5 {
		t.Errorf("a limit under the need became %v", got)
	}
}
