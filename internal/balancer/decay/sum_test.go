package decay

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The value is the sum of the decayed terms, whenever and however often it is read.
func TestSumIsThatOfItsDecayedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 3 * time.Second
		var s, n Sum
		now, parts := time.Duration(0), map[time.Duration]float64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if v := rapid.Float64Range(0, 100).Draw(t, "v"); rapid.Bool().Draw(t, "adds") {
				s.Add(v, now, span)
				n.Add(1, now, span)
				parts[now] += v
			}
			want := 0.0
			for at, v := range parts {
				want += v * math.Exp(-float64(now-at)/float64(span))
			}
			if got := s.Value(now, span); math.Abs(got-want) > 1e-9*(1+want) {
				t.Fatalf("value %v, want %v", got, want)
			}
			if got := s.Rate(now, span); math.Abs(got-want/3) > 1e-9*(1+want) {
				t.Fatalf("rate %v a second, want %v", got, want/3)
			}
			if mean := s.Mean(&n, now, span); !(mean >= 0 && mean <= 100+1e-6) {
				t.Fatalf("mean %v, want 0 to 100", mean)
			}
		}
	})
}

func TestEmptySum(t *testing.T) {
	var s, n Sum
	if s.Mean(&n, time.Second, time.Second) != 0 || s.Value(time.Hour, 0) != 0 {
		t.Error("an empty sum is not 0")
	}
}
