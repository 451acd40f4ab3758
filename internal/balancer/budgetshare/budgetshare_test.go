package budgetshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func namesOf(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("p%03d", i))
	}
	return names
}

// The parts of all proxies add up to the whole, however many there are.
func TestPartsAddUp(t *testing.T) {
	is := is.New(t)
	for _, proxies := range []int{1, 2, 6, 7, 17, 18, 380} {
		for _, whole := range []int{0, 1, 5, 17, 400} {
			names, sum := namesOf(proxies), 0
			for _, name := range names {
				s := NewMembership(name, 0)
				s.Update(0, names, true)
				s.Update(SettleTime+time.Second, names, true)
				sum += s.Share(SettleTime+2*time.Second, "backend-1", whole)
			}
			is.Equal(sum, whole) // no request more, and none less
		}
	}
}

func TestAPartGrowsLateAndShrinksAtOnce(t *testing.T) {
	is := is.New(t)
	s := NewMembership("p000", 0)
	part := func(at time.Duration, names int) int {
		s.Update(at, namesOf(names), true)
		return s.Share(at, "b", 12)
	}
	is.Equal(part(0, 2), 0)                                           // it has just started
	is.Equal(part(SettleTime+time.Second, 2), 6)                      // and now it has stood for long enough
	is.Equal(part(6*time.Second, 3), 4)                               // a third one joins: at once
	is.Equal(part(7*time.Second, 2), 4)                               // it leaves: not yet
	is.Equal(part(12*time.Second, 2), 6)                              // but now
	is.Equal(s.Share(12*time.Second+MembershipTimeout+1, "b", 12), 0) // no word: no part
}

// Drawn histories of proxies that join, leave, start anew and are cut off: the sums never
// pass the bounds, in any window.
func TestSumsHoldInDrawnHistories(t *testing.T) {
	for seed := range 30 {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		playShares(t, rng, seed)
	}
}

type simulatedProxy struct {
	name    string
	sharers *Membership
	cold    *WarmupBudget
	repeats *RetryBudget
	up      bool
	cut     bool
}

const spread = 700 * time.Millisecond // that a list takes to reach a proxy, at most

func playShares(t *testing.T, rng *rand.Rand, seed int) {
	t.Helper()
	coldBound := WarmupConfig{PerSecond: 8, Excess: 1.5, Slack: 5}
	repeatBound := RetryConfig{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
	now := time.Duration(0)
	var proxies []*simulatedProxy
	start := func(p *simulatedProxy) {
		p.up, p.cut = true, false
		p.sharers = NewMembership(p.name, now)
		p.cold = NewWarmupBudget(coldBound, p.sharers)
		p.repeats = NewRetryBudget(repeatBound, p.sharers, now)
	}
	for _, name := range namesOf(3 + rng.IntN(12)) {
		p := &simulatedProxy{name: name}
		start(p)
		proxies = append(proxies, p)
	}
	type listed struct {
		names []string
		at    time.Duration
	}
	var history []listed
	var coldSent, requests, repeats []time.Duration
	const step = 10 * time.Millisecond
	for ; now < 60*time.Second; now += step {
		var names []string
		for _, p := range proxies {
			if p.up {
				names = append(names, p.name)
			}
		}
		history = append(history, listed{names, now})
		for _, p := range proxies {
			if rng.IntN(4000) == 0 {
				p.up = false
			} else if !p.up && rng.IntN(200) == 0 {
				start(p)
			}
			if rng.IntN(2000) == 0 {
				p.cut = !p.cut
			}
			if !p.up {
				continue
			}
			if !p.cut && rng.IntN(10) == 0 {
				h := history[max(0, len(history)-1-rng.IntN(int(spread/step)))]
				p.sharers.Update(now, h.names, true)
			}
			p.cold.SetWarmupEnd(now, "b", time.Hour)
			if p.cold.Allows(now, "b") {
				p.cold.RecordSent(now, "b")
				coldSent = append(coldSent, now)
			}
			if rng.IntN(50) == 0 {
				p.repeats.RecordRequest(now)
				requests = append(requests, now)
			}
			if p.repeats.TryAcquire(now) {
				p.repeats.RecordRequest(now)
				repeats = append(repeats, now)
			}
		}
	}
	for at := time.Duration(0); at < 60*time.Second; at += 100 * time.Millisecond {
		if n := within(coldSent, at, time.Second); float64(n) > coldBound.PerSecond*coldBound.Excess+coldBound.Slack {
			t.Fatalf("seed %d: %d requests reach a cold backend in the second from %v", seed, n, at)
		}
		bound := repeatBound.Ratio*float64(within(requests, at, repeatBound.Window)) + repeatBound.Slack
		if n := within(repeats, at, repeatBound.Window); float64(n) > bound {
			t.Fatalf("seed %d: %d repeats in the window from %v, and %v are allowed", seed, n, at, bound)
		}
	}
	if len(coldSent) == 0 || len(repeats) == 0 {
		t.Fatalf("seed %d: nothing was sent", seed)
	}
}

func within(times []time.Duration, from, span time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+span {
			n++
		}
	}
	return n
}
