// Package retrystorm detects retry storms from what one proxy sees alone, and says what they change: which
// requests are retries and since when their clients wait, how they are ranked beside fresh
// ones, and when clients of rejected requests should retry.
//
// A storm is an overload that feeds itself: what fails is retried, and what is sent for
// retries whose deadline is over is not sent for fresh requests, which fail in turn ("Metastable
// Failures in the Wild", OSDI 2022). So the sign of a storm is not much traffic but that much of it
// fails and is retried. A jump of traffic that is served is none.
//
// It is pure: events with the time on them in, a state out; no goroutine, no clock, no I/O, no random
// numbers. It never sends or rejects anything: package balancer does, which owns the Model.
package retrystorm

import (
	"fmt"
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

// State is the phase of a storm.
type State uint8

// The states.
const (
	Calm       State = iota
	Rising           // many requests fail
	Storm            // and are retried
	Recovering       // few fail or are retried any more
)

func (s State) String() string {
	return [...]string{"calm", "rising", "storm", "recovering"}[min(s, Recovering)]
}

const (
	rateWindow         = time.Second     // over which ratios are taken
	minEnds            = 8               // ends within it before anything is concluded
	risingThreshold    = 0.08            // ratio of failed requests
	fallingThreshold   = 0.04            // below it for calmAfter: the storm is over
	stormThreshold     = 0.10            // ratio of arrivals that are retries
	calmAfter          = 2 * time.Second // how long it must be quiet
	silenceThreshold   = 0.05            // arrivals, and ends, within it: none has come for seconds
	minStateDuration   = 300 * time.Millisecond
	scheduleSlot       = 50 * time.Millisecond // of the schedule of retries
	scheduleSlots      = 128
	earlyRetryPriority = 0.5                   // factor of its utility that a retry has which came before the time that its client was told
	earlyTolerance     = 20 * time.Millisecond // by which a retry may come before that time
	peakDecay          = 10 * time.Second      // over which the peak rate decays
)

// Config is what a model goes by.
type Config struct {
	ClientTimeout   time.Duration // how long a client waits over all its attempts, at most
	SendsRetryAfter bool          // rejections may carry a time to retry after
	CalmRetryAfter  time.Duration // that time while it is calm
	MaxRetryAfter   time.Duration // the longest such time
}

// Model is one proxy's view. Not safe for concurrent use.
type Model struct {
	cfg   Config
	ended endedRequests

	arrivals, retries     decay.Sum
	ends, unserved        decay.Sum
	served                decay.Sum
	peakRate, peakRateAt  float64               // served a second at the recent best; when, s
	retrySchedule         [scheduleSlots]uint16 // retries scheduled in each slot, a ring
	scheduleFrom          int64                 // the first slot that still counts
	scheduled             uint64
	state                 State
	stateSince, calmSince time.Duration
}

// New gives a model that has seen nothing.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, ended: newEndedRequests(cfg.ClientTimeout)}
}

// Configure puts other settings in force; what has been seen stays.
func (m *Model) Configure(cfg Config) { m.cfg, m.ended.span = cfg, cfg.ClientTimeout }

// Arrival is what is known of a request that arrives.
type Arrival struct {
	IsRetry        bool          // it is one, or most likely is
	FirstArrival   time.Duration // when the request that it retries came first; its own time for a fresh one
	CountFrom      time.Duration // from when on its latency target counts
	PriorityFactor float64       // factor of its utility, beside others
}

// RecordArrival takes in a request. what identifies its class, tenant and key; 0 is no key: such requests
// can't be told apart. marked says that its client has marked it as a retry.
func (m *Model) RecordArrival(now time.Duration, key uint64, marked bool) Arrival {
	m.arrivals.Add(1, now, rateWindow)
	a, early := m.identify(now, key, marked)
	if !a.IsRetry {
		return a
	}
	m.retries.Add(1, now, rateWindow)
	// What a client asked long ago earns nothing; in a storm it would take the capacity that fresh requests need.
	// While it is calm there is enough for all.
	if m.state != Calm {
		a.CountFrom = a.FirstArrival
		if early {
			a.PriorityFactor = earlyRetryPriority
		}
	}
	return a
}

// identify tells whether a request is a retry, and whether it came before the time that its client was told.
func (m *Model) identify(now time.Duration, key uint64, marked bool) (a Arrival, early bool) {
	a = Arrival{FirstArrival: now, CountFrom: now, PriorityFactor: 1}
	if key != 0 {
		first, due, isRetry := m.ended.match(now, key)
		if isRetry {
			a.IsRetry = true
			a.FirstArrival = first
			return a, now < due-earlyTolerance
		}
	}
	if marked { // its original came by another proxy, or is forgotten
		a.IsRetry = true
		a.FirstArrival = max(0, now-m.ended.meanRetryDelay(now))
	}
	return a, false
}

// RecordEnd takes in the end of a request: served, or rejected, failed or given up. due is when its client
// was told to retry; 0: it was not told.
func (m *Model) RecordEnd(now time.Duration, key uint64, first, due time.Duration, served bool) {
	m.ends.Add(1, now, rateWindow)
	if served {
		m.served.Add(1, now, rateWindow)
		m.updatePeakRate(now)
	} else {
		m.unserved.Add(1, now, rateWindow)
	}
	if key != 0 {
		m.ended.record(now, key, first, due, served)
	}
}

// updatePeakRate follows the highest rate at which requests were served, which decays slowly.
func (m *Model) updatePeakRate(now time.Duration) float64 {
	at := now.Seconds()
	m.peakRate *= math.Exp(-(at - m.peakRateAt) / peakDecay.Seconds())
	m.peakRateAt = at
	m.peakRate = max(m.peakRate, m.served.Rate(now, rateWindow))
	return m.peakRate
}

// RetryAfter says after what time the client of a request that is rejected now should retry, and schedules it;
// 0: its client is not told a time. left is for how long serving it would still be useful. The times
// given in a storm fill the capacity that is expected to be free, slot by slot, so that the next wave is flat; a client
// that can't be served usefully is told MaxRetryAfter.
func (m *Model) RetryAfter(now, left time.Duration) time.Duration {
	maxRetryAfter := m.cfg.MaxRetryAfter
	switch {
	case !m.cfg.SendsRetryAfter:
		return 0
	case m.state == Calm:
		return min(m.cfg.CalmRetryAfter, maxRetryAfter)
	}
	fresh := m.arrivals.Rate(now, rateWindow) - m.retries.Rate(now, rateWindow)
	free := max(0, m.updatePeakRate(now)-fresh) * scheduleSlot.Seconds()
	from := int64(now/scheduleSlot) + 1
	m.clearSlotsBefore(from)
	m.scheduled++
	offset := float64(m.scheduled%16) / 16 // within the slot
	// What all slots up to one can take together counts: a part of a request a slot adds up.
	capacity, taken := 0.0, 0.0
	for k := range int64(min(left, maxRetryAfter, (scheduleSlots-1)*scheduleSlot) / scheduleSlot) {
		capacity += free
		taken += float64(m.retrySchedule[(from+k)%scheduleSlots])
		if capacity >= taken+1 {
			m.retrySchedule[(from+k)%scheduleSlots]++
			at := time.Duration(from+k)*scheduleSlot + time.Duration(offset*float64(scheduleSlot))
			return min(at-now, maxRetryAfter)
		}
	}
	return maxRetryAfter
}

// clearSlotsBefore frees the slots of the schedule that are over.
func (m *Model) clearSlotsBefore(from int64) {
	for ; m.scheduleFrom < from; m.scheduleFrom++ {
		if m.scheduleFrom+scheduleSlots < from {
			m.scheduleFrom = from - scheduleSlots
		}
		m.retrySchedule[m.scheduleFrom%scheduleSlots] = 0
	}
}

// State is the phase of a storm.
func (m *Model) State() State { return m.state }

// Evidence is what the phase rests on.
type Evidence struct {
	ArrivalRate, FailureRatio, RetryRatio float64 // a second; of the ends; of the arrivals
}

// Evidence gives it at a time.
func (m *Model) Evidence(now time.Duration) Evidence {
	e := Evidence{ArrivalRate: m.arrivals.Rate(now, rateWindow), FailureRatio: m.unserved.Mean(&m.ends, now, rateWindow)}
	e.RetryRatio = m.retries.Mean(&m.arrivals, now, rateWindow)
	return e
}

// isSilent says that requests have neither come nor ended for so long that their ratios are evidence of nothing.
func (m *Model) isSilent(now time.Duration) bool {
	return m.arrivals.Value(now, rateWindow) < silenceThreshold && m.ends.Value(now, rateWindow) < silenceThreshold
}

// Evaluate moves to another phase where the evidence says so, and gives a log line where it did.
func (m *Model) Evaluate(now time.Duration) (line string, changed bool) {
	if m.stateSince == 0 {
		m.stateSince = now // the first evaluation: times count from whenever the clock began
	}
	e := m.Evidence(now)
	if m.isSilent(now) {
		e = Evidence{} // what decays alike keeps its ratio, however little is left
	}
	enough := m.ends.Value(now, rateWindow) >= minEnds
	bad := enough && e.FailureRatio > risingThreshold
	if enough && e.FailureRatio >= fallingThreshold {
		m.calmSince = now
	}
	next := m.state
	switch {
	case bad && e.RetryRatio > stormThreshold:
		next = Storm
	case bad && (m.state == Calm || m.state == Recovering):
		next = Rising
	case !bad && (m.state == Storm || m.state == Rising) && e.FailureRatio < fallingThreshold:
		next = Recovering
	case m.state == Recovering && now-m.calmSince >= calmAfter && e.RetryRatio < stormThreshold/2:
		next = Calm
	}
	if next == m.state || now-m.stateSince < minStateDuration {
		return "", false
	}
	line = fmt.Sprintf("%s, after %s for %v: %.0f requests a second come, %.0f%% of them repeats; %.0f%% go unserved",
		next, m.state, (now - m.stateSince).Round(100*time.Millisecond), e.ArrivalRate, 100*e.RetryRatio, 100*e.FailureRatio)
	m.state, m.stateSince = next, now
	return line, true
}
