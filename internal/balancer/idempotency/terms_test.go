package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawTerms(t *rapid.T, name string) Terms {
	return Terms{
		Effect(rapid.IntRange(0, 2).Draw(t, name+" effect")), Scope(rapid.IntRange(0, 3).Draw(t, name+" scope")),
		time.Duration(rapid.IntRange(0, 5).Draw(t, name+" window")),
	}
}

// The strictest of two terms allows exactly what both allow.
func TestStrictestIsWhatBothAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTerms(t, "a"), drawTerms(t, "b")
		both := Strictest(a, b)
		first := Attempt{Location{rapid.IntRange(0, 1).Draw(t, "zone"), rapid.IntRange(0, 1).Draw(t, "cell")}, time.Duration(rapid.IntRange(0, 5).Draw(t, "at"))}
		to := Location{rapid.IntRange(0, 1).Draw(t, "to zone"), rapid.IntRange(0, 1).Draw(t, "to cell")}
		deadlineA, allowedA := a.RetryDeadline(first, to)
		deadlineB, allowedB := b.RetryDeadline(first, to)
		deadline, allowed := both.RetryDeadline(first, to)
		if allowed != (allowedA && allowedB) || allowed && deadline != min(deadlineA, deadlineB) {
			t.Fatalf("%+v and %+v: the strictest is %+v, allowed %v until %v, and each alone %v until %v, %v until %v", a, b, both, allowed, deadline, allowedA, deadlineA, allowedB, deadlineB)
		}
		if both.MayReject() && (!a.MayReject() || !b.MayReject()) {
			t.Fatalf("%+v and %+v: the strictest, %+v, allows a rejection, which one of them does not", a, b, both)
		}
		if Strictest(b, a) != both {
			t.Fatalf("%+v and %+v: the strictest depends on their order", a, b)
		}
	})
}
