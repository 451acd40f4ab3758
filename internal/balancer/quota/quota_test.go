package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sendAtRate sends requests of tenant 0 at the given rate for ten seconds and returns the last result.
func sendAtRate(m *Model, perSecond int, from time.Duration) (beyond float64) {
	for i := range 10 * perSecond {
		beyond = m.RecordRequest(0, from+time.Duration(i)*time.Second/time.Duration(perSecond))
	}
	return beyond
}

func TestRatioBeyondQuota(t *testing.T) {
	t.Parallel()
	const window = 3 * time.Second
	for _, c := range []struct {
		name      string
		quota     float64
		proxies   int
		perSecond int
		low, high float64
	}{
		{"within", 60, 3, 10, 0, 0},
		{"twice as much", 60, 3, 40, 0.45, 0.55},
		{"four times", 60, 3, 80, 0.7, 0.8},
		{"no limit", 0, 3, 500, 0, 0},
	} {
		if got := sendAtRate(New([]float64{c.quota}, c.proxies, window), c.perSecond, time.Hour); got < c.low || got > c.high {
			t.Errorf("%s: %.3f of the traffic is beyond the quota, want %.2f to %.2f", c.name, got, c.low, c.high)
		}
	}
}

// A new quota takes earlier traffic into account.
func TestReconfiguredQuotaKeepsTheTraffic(t *testing.T) {
	t.Parallel()
	m := New([]float64{300}, 3, 3*time.Second)
	if got := sendAtRate(m, 80, time.Hour); got != 0 {
		t.Fatalf("within the quota: %v of the traffic is beyond it", got)
	}
	m.Configure([]float64{60, 10}, []int{0, 1}, 3, 3*time.Second)
	if got := m.RecordRequest(0, time.Hour+10*time.Second); got < 0.7 {
		t.Errorf("%v of the traffic is beyond the new quota, want three quarters", got)
	}
}

// The result is always between 0 and 1, and 0 for a negative index.
func TestRatioStaysWithinBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.SliceOfN(rapid.Float64Range(-1, 1e6), 0, 4).Draw(t, "quotas"), rapid.IntRange(-1, 9).Draw(t, "proxies"), time.Second)
		now := time.Hour
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 1e9).Draw(t, "gap"))
			i := rapid.IntRange(-1, 5).Draw(t, "tenant")
			if v := m.RecordRequest(i, now); !(v >= 0 && v <= 1) || i < 0 && v != 0 {
				t.Fatalf("tenant %d: ratio %v", i, v)
			}
		}
	})
}
