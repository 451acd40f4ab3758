// Package retrystorm detects retry storms from what a single proxy sees, and determines the reaction: which requests
// are retries and since when their clients have been waiting, how retries rank against fresh requests, and when clients
// of rejected requests should retry.
//
// A storm is an overload that sustains itself: failed requests are retried, and capacity that is spent on retries whose
// deadline has passed is missing for fresh requests, which fail in turn ("Metastable Failures in the Wild", OSDI 2022).
// So the sign of a storm is not high traffic but that much of it fails and is retried. A jump of traffic that is served
// is not a storm.
//
// The package is pure: events come with their time, a state is returned; no goroutine, no clock, no I/O, no random
// numbers. It never sends or rejects anything: package balancer does, which owns the Model.
package retrystorm

import (
	"fmt"
	"time"

	"marlreel/internal/balancer/decay"

	"marlreel/internal/balancer/portablemath"
)

// State is the phase of a storm.
type State uint8

// The values of State.
const (
	Calm       State = iota
	Rising           // many requests fail
	Storm            // many requests fail and are retried
	Recovering       // few requests still fail or are retried
)

func (s State) String() string {
	return [...]string{"calm", "rising", "storm", "recovering"}[min(s, Recovering)]
}

const (
	rateWindow         = time.Second     // window of the ratios
	minEnds            = 8               // ended requests in the window before anything is concluded
	risingThreshold    = 0.08            // failure ratio above which the state is Rising or Storm
	fallingThreshold   = 0.04            // failure ratio below which, for calmAfter, the storm is over
	stormThreshold     = 0.10            // ratio of retries among the arrivals above which it is Storm
	calmAfter          = 2 * time.Second // how long the failure ratio must stay below fallingThreshold
	silenceThreshold   = 0.05            // arrivals, and ended requests, in the window; below it, none has come for seconds
	minStateDuration   = 300 * time.Millisecond
	scheduleSlot       = 50 * time.Millisecond // length of a slot in the schedule of retries
	scheduleSlots      = 128
	earlyRetryPriority = 0.5                   // factor of the utility of a retry that came before the time that its client was told
	earlyTolerance     = 20 * time.Millisecond // how much earlier than that time a retry may come
	peakDecay          = 10 * time.Second      // time constant of the peak rate
)

// Config holds the settings of a Model.
type Config struct {
	ClientTimeout   time.Duration // how long a client waits over all its attempts, at most
	SendsRetryAfter bool          // rejections may carry a retry time
	CalmRetryAfter  time.Duration // the retry time while calm
	MaxRetryAfter   time.Duration // the longest retry time
}

// Model detects storms from the requests of one proxy. Not safe for concurrent use.
type Model struct {
	cfg   Config
	ended endedRequests

	arrivals, retries     decay.Sum
	ends, unserved        decay.Sum
	served                decay.Sum
	peakRate, peakRateAt  float64               // recent peak of the requests served a second; when it was updated, in s
	retrySchedule         [scheduleSlots]uint16 // ring buffer of the retries scheduled in each slot
	scheduleFrom          int64                 // the first slot that still counts
	scheduled             uint64
	state                 State
	stateSince, calmSince time.Duration
}

// New returns a model that has seen no requests.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, ended: newEndedRequests(cfg.ClientTimeout)}
}

// Configure replaces the settings; the evidence stays.
func (m *Model) Configure(cfg Config) { m.cfg, m.ended.span = cfg, cfg.ClientTimeout }

// Arrival describes a request that arrives.
type Arrival struct {
	IsRetry        bool          // it is a retry, or most likely is
	FirstArrival   time.Duration // when the request that it retries first arrived; its own arrival for a fresh one
	CountFrom      time.Duration // from when its latency target counts
	PriorityFactor float64       // factor of its utility when requests are ranked
}

// RecordArrival records a request. key identifies its class, tenant and request key; 0 is no key: such requests cannot
// be told apart. marked says that its client has marked it as a retry.
func (m *Model) RecordArrival(now time.Duration, key uint64, marked bool) Arrival {
	m.arrivals.Add(1, now, rateWindow)
	a, early := m.identify(now, key, marked)
	if !a.IsRetry {
		return a
	}
	m.retries.Add(1, now, rateWindow)
	// A request that a client first sent long ago earns no utility; in a storm it would take the capacity that fresh
	// requests need. While it is calm, there is enough capacity for all.
	if m.state != Calm {
		a.CountFrom = a.FirstArrival
		if early {
			a.PriorityFactor = earlyRetryPriority
		}
	}
	return a
}

// identify determines whether a request is a retry, and whether it came before the time that its client was told.
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
	if marked { // the original arrived at another proxy, or was dropped
		a.IsRetry = true
		a.FirstArrival = max(0, now-m.ended.meanRetryDelay(now))
	}
	return a, false
}

// RecordEnd records the end of a request: served, or rejected, failed or given up. due is when its client was told to
// retry; 0: it was not told.
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

// updatePeakRate tracks the highest rate at which requests were served, which decays slowly, and returns it.
func (m *Model) updatePeakRate(now time.Duration) float64 {
	at := now.Seconds()
	m.peakRate *= portablemath.Exp(-(at - m.peakRateAt) / peakDecay.Seconds())
	m.peakRateAt = at
	m.peakRate = max(m.peakRate, m.served.Rate(now, rateWindow))
	return m.peakRate
}

// RetryAfter returns how long the client of a request that is rejected now should wait before it retries, and schedules
// the retry; 0: the client is not told a time. left is how long serving the request would still be useful. The times
// given in a storm fill the capacity that is expected to be free, slot by slot, so that the next wave of retries is
// flat; a client that cannot be served usefully is told MaxRetryAfter.
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
	// Capacity is summed over the slots, because a slot may have capacity for only a part of a request.
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

// clearSlotsBefore clears the slots of the schedule before the slot from.
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

// Evidence is what the phase is based on.
type Evidence struct {
	ArrivalRate, FailureRatio, RetryRatio float64 // arrivals a second; of the ended requests; of the arrivals
}

// Evidence returns the evidence at the given time.
func (m *Model) Evidence(now time.Duration) Evidence {
	e := Evidence{ArrivalRate: m.arrivals.Rate(now, rateWindow), FailureRatio: m.unserved.Mean(&m.ends, now, rateWindow)}
	e.RetryRatio = m.retries.Mean(&m.arrivals, now, rateWindow)
	return e
}

// isSilent reports whether requests have neither arrived nor ended for so long that their ratios are no evidence.
func (m *Model) isSilent(now time.Duration) bool {
	return m.arrivals.Value(now, rateWindow) < silenceThreshold && m.ends.Value(now, rateWindow) < silenceThreshold
}

// Evaluate moves to another phase if the evidence says so, and then returns a log line.
func (m *Model) Evaluate(now time.Duration) (line string, changed bool) {
	if m.stateSince == 0 {
		m.stateSince = now // first evaluation: the clock may have begun at any time
	}
	e := m.Evidence(now)
	if m.isSilent(now) {
		e = Evidence{} // sums that decay alike keep their ratio, however small they are
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
