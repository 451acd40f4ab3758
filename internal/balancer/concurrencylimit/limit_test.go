package concurrencylimit

import (
	"testing"

	"pgregory.net/rapid"
)

// For any order of late answers and answers in time, a limit stays at least at its share of one request, never rises
// for a late answer and never falls for an answer in time.
func TestLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sharers := rapid.Float64Range(1, 50).Draw(t, "sharers")
		l := Initial(sharers)
		for range rapid.IntRange(1, 200).Draw(t, "outcomes") {
			before := l
			if rapid.Bool().Draw(t, "late") {
				if l = Decrease(l, sharers, 1); l > before && before >= 1/sharers {
					t.Fatalf("a late answer raised the limit from %v to %v", before, l)
				}
			} else if l = Increase(l, rapid.Float64Range(0, 20).Draw(t, "load"), sharers); l < before {
				t.Fatalf("an answer in time lowered the limit from %v to %v", before, l)
			}
			if l < 1/sharers-1e-12 {
				t.Fatalf("limit %v is below the share of one request of %v sharers", l, sharers)
			}
		}
	})
}

// A limit just under two allows one request in flight, which is less than minUtilization of it; it has to grow all the
// same.
func TestLoadOfOneIncreasesLimitUnderTwo(t *testing.T) {
	if got := Increase(1.9, 1, 1); got <= 1.9 {
		t.Errorf("a limit of 1.9 with one request in flight became %v, want more", got)
	}
	if got := Increase(6, 2, 1); got != 6 {
		t.Errorf("a limit of 6 with two requests in flight became %v, want no change", got)
	}
}

func TestUnusedLimitDecaysToUse(t *testing.T) {
	l := 100.0
	for range 1000 {
		l = DecayTowardsUse(l, 20, 1, 40)
	}
	if l < 30 || l > 30.1 {
		t.Errorf("the limit decayed to %v with 20 requests in flight, want 30", l)
	}
	if got := DecayTowardsUse(5, 20, 1, 40); got != 5 {
		t.Errorf("a limit of 5, below the need, became %v", got)
	}
}
