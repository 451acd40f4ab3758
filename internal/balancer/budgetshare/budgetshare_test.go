package budgetshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func proxyNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("p%03d", i))
	}
	return names
}

// The shares of all proxies add up to the total, for any number of proxies.
func TestSharesAddUp(t *testing.T) {
	is := is.New(t)
	for _, proxies := range []int{1, 2, 6, 7, 17, 18, 380} {
		for _, total := range []int{0, 1, 5, 17, 400} {
			names, sum := proxyNames(proxies), 0
			for _, name := range names {
				s := NewMembership(name, 0)
				s.Update(0, names, true)
				s.Update(SettleTime+time.Second, names, true)
				sum += s.Share(SettleTime+2*time.Second, "backend-1", total)
			}
			is.Equal(sum, total) // exactly the total
		}
	}
}

func TestShareGrowsLateAndShrinksAtOnce(t *testing.T) {
	is := is.New(t)
	s := NewMembership("p000", 0)
	share := func(at time.Duration, names int) int {
		s.Update(at, proxyNames(names), true)
		return s.Share(at, "b", 12)
	}
	is.Equal(share(0, 2), 0)                                          // it has just started
	is.Equal(share(SettleTime+time.Second, 2), 6)                     // the list has been unchanged for SettleTime
	is.Equal(share(6*time.Second, 3), 4)                              // a third proxy joins: the share shrinks at once
	is.Equal(share(7*time.Second, 2), 4)                              // it leaves: the share does not grow yet
	is.Equal(share(12*time.Second, 2), 6)                             // the share has grown after SettleTime
	is.Equal(s.Share(12*time.Second+MembershipTimeout+1, "b", 12), 0) // no update: no share
}

// In random histories of proxies that join, leave, restart and are partitioned, the sums never exceed the bounds in any
// window.
func TestBudgetsHoldInRandomHistories(t *testing.T) {
	for seed := range 30 {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		h := newHistory(rng)
		h.run()
		h.check(t, seed)
	}
}

const (
	maxUpdateDelay = 700 * time.Millisecond // longest time that a list takes to reach a proxy
	historyLength  = 60 * time.Second
	historyStep    = 10 * time.Millisecond
)

// Limits that the simulated proxies enforce together.
var (
	warmupBound = WarmupConfig{PerSecond: 8, Excess: 1.5, Slack: 5}
	retryBound  = RetryConfig{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
)

type simulatedProxy struct {
	name        string
	membership  *Membership
	warmup      *WarmupBudget
	retries     *RetryBudget
	running     bool
	partitioned bool
}

func (p *simulatedProxy) start(now time.Duration) {
	p.running = true
	p.partitioned = false
	p.membership = NewMembership(p.name, now)
	p.warmup = NewWarmupBudget(warmupBound, p.membership)
	p.retries = NewRetryBudget(retryBound, p.membership, now)
}

// history simulates some proxies and records what they sent and when.
type history struct {
	rng     *rand.Rand
	now     time.Duration
	proxies []*simulatedProxy
	lists   [][]string // names of the running proxies, one list per step

	warmupSent, requests, retries []time.Duration
}

func newHistory(rng *rand.Rand) *history {
	h := &history{rng: rng}
	for _, name := range proxyNames(3 + rng.IntN(12)) {
		p := &simulatedProxy{name: name}
		p.start(0)
		h.proxies = append(h.proxies, p)
	}
	return h
}

func (h *history) run() {
	for ; h.now < historyLength; h.now += historyStep {
		var names []string
		for _, p := range h.proxies {
			if p.running {
				names = append(names, p.name)
			}
		}
		h.lists = append(h.lists, names)
		for _, p := range h.proxies {
			h.injectFaults(p)
			if p.running {
				h.serve(p)
			}
		}
	}
}

// injectFaults stops or starts a proxy, or begins or ends a partition, at random.
func (h *history) injectFaults(p *simulatedProxy) {
	if h.rng.IntN(4000) == 0 {
		p.running = false
	} else if !p.running && h.rng.IntN(200) == 0 {
		p.start(h.now)
	}
	if h.rng.IntN(2000) == 0 {
		p.partitioned = !p.partitioned
	}
}

// serve lets a proxy receive a list in some steps, and use its budgets.
func (h *history) serve(p *simulatedProxy) {
	if !p.partitioned && h.rng.IntN(10) == 0 {
		steps := h.rng.IntN(int(maxUpdateDelay / historyStep))
		p.membership.Update(h.now, h.lists[max(0, len(h.lists)-1-steps)], true)
	}
	p.warmup.SetWarmupEnd(h.now, "b", time.Hour)
	if p.warmup.Allows(h.now, "b") {
		p.warmup.RecordSent(h.now, "b")
		h.warmupSent = append(h.warmupSent, h.now)
	}
	if h.rng.IntN(50) == 0 {
		p.retries.RecordRequest(h.now)
		h.requests = append(h.requests, h.now)
	}
	if p.retries.TryAcquire(h.now) {
		p.retries.RecordRequest(h.now)
		h.retries = append(h.retries, h.now)
	}
}

// check fails the test if a window exceeds a bound.
func (h *history) check(t *testing.T, seed int) {
	t.Helper()
	maxWarmup := warmupBound.PerSecond*warmupBound.Excess + warmupBound.Slack
	for at := time.Duration(0); at < historyLength; at += 100 * time.Millisecond {
		if n := countWithin(h.warmupSent, at, time.Second); float64(n) > maxWarmup {
			t.Fatalf("seed %d: %d requests reach a warming backend in the second from %v", seed, n, at)
		}
		maxRetries := retryBound.Ratio*float64(countWithin(h.requests, at, retryBound.Window)) + retryBound.Slack
		if n := countWithin(h.retries, at, retryBound.Window); float64(n) > maxRetries {
			t.Fatalf("seed %d: %d retries in the window from %v, want at most %v", seed, n, at, maxRetries)
		}
	}
	if len(h.warmupSent) == 0 || len(h.retries) == 0 {
		t.Fatalf("seed %d: nothing was sent", seed)
	}
}

func countWithin(times []time.Duration, from, span time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+span {
			n++
		}
	}
	return n
}
