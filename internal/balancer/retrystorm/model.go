// Package retrystorm notices retry storms from what one proxy sees alone, and says what they change: which
// requests are repeats and since when their clients wait, how many of them may be served beside fresh
// ones, and when those that are turned away should come again.
//
// A storm is an overload that feeds itself: what is not served comes again, and what is sent for
// repeats whose time is over is not sent for fresh requests, which go unserved in turn ("Metastable
// Failures in the Wild", OSDI 2022). So the sign of a storm is not much traffic but that much of it goes
// unserved and comes again. A jump of traffic that is served is none.
//
// It is pure: events with the time on them in, judgements out; no goroutine, no clock, no input or
// output, no random numbers. It never sends or refuses anything: package balancer does.
package retrystorm

import (
	"fmt"
	"math"
	"time"

	"marlreel/internal/balancer/decay"
)

// State is how things are.
type State uint8

// The states.
const (
	Calm       State = iota
	Rising           // much goes unserved
	Storm            // and comes again
	Recovering       // little goes unserved any more, or comes again
)

func (s State) String() string {
	return [...]string{"calm", "rising", "storm", "recovering"}[min(s, Recovering)]
}

const (
	rateWindow         = time.Second     // over which shares are taken
	minEnds            = 8               // ends within that before anything is judged
	risingThreshold    = 0.08            // share unserved
	fallingThreshold   = 0.04            // and below it for calmAfter: it is over
	stormThreshold     = 0.10            // share of what comes that are repeats
	calmAfter          = 2 * time.Second // how long it must be quiet
	minStateDuration   = 300 * time.Millisecond
	scheduleSlot       = 50 * time.Millisecond // of the plan of who comes again when
	scheduleSlots      = 128
	earlyRetryPriority = 0.5                   // of its worth that a repeat is given which did not wait for as long as it was told
	earlyTolerance     = 20 * time.Millisecond // by which who waited may come before the time that it was told
	peakDecay          = 10 * time.Second      // over which the most that was served of late is forgotten
)

// Config is what a model is told.
type Config struct {
	ClientTimeout   time.Duration // for how long a client waits over all its tries, at most
	SendsRetryAfter bool          // clients may be told when to come again;
	CalmRetryAfter  time.Duration // what they are told while it is calm,
	MaxRetryAfter   time.Duration // and the longest that they may be told
}

// Model is one proxy's view. Not safe for concurrent use.
type Model struct {
	cfg   Config
	ended endedRequests

	arrivals, retries     decay.Sum
	ends, unserved        decay.Sum
	served                decay.Sum
	peakRate, peakRateAt  float64               // served a second at the best of late; when, s
	retrySchedule         [scheduleSlots]uint16 // repeats that were told to come in each slot, a ring
	scheduleFrom          int64                 // the slot at its first place that still counts
	scheduled             uint64
	state                 State
	stateSince, calmSince time.Duration
}

// New gives a model that has seen nothing.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, ended: newEndedRequests(cfg.ClientTimeout)}
}

// Configure puts other figures in force; what has been seen stays.
func (m *Model) Configure(cfg Config) { m.cfg, m.ended.span = cfg, cfg.ClientTimeout }

// Arrival is what is known of a request that comes.
type Arrival struct {
	IsRetry        bool          // it is one, or most likely
	FirstArrival   time.Duration // when the request came first that it repeats; its own time for one that is none
	CountFrom      time.Duration // from when on its time is to be counted
	PriorityFactor float64       // part of its worth that it is to be given, beside others
}

// RecordArrival takes in a request. what stands for its class, tenant and key; 0 is no key: such requests
// can't be told apart. marked says that its client has marked it.
func (m *Model) RecordArrival(now time.Duration, what uint64, marked bool) Arrival {
	m.arrivals.Add(1, now, rateWindow)
	s, early := Arrival{FirstArrival: now, CountFrom: now, PriorityFactor: 1}, false
	if what != 0 {
		if first, due, repeat := m.ended.match(now, what); repeat {
			s.IsRetry, s.FirstArrival, early = true, first, now < due-earlyTolerance
		}
	}
	if marked && !s.IsRetry { // its original came by another proxy, or is forgotten
		s.IsRetry, s.FirstArrival = true, max(0, now-m.ended.meanRetryDelay(now))
	}
	if !s.IsRetry {
		return s
	}
	m.retries.Add(1, now, rateWindow)
	// Danger: what its client asked long ago earns nothing; in a storm it would take what fresh ones need.
	// While it is calm there is enough for all, and whoever asks gets an answer.
	if m.state != Calm {
		s.CountFrom = s.FirstArrival
		if early {
			s.PriorityFactor = earlyRetryPriority
		}
	}
	return s
}

// RecordEnd takes in the end of a request: served, or refused, failed or given up. due is when its client
// was told to come again; 0 is not told.
func (m *Model) RecordEnd(now time.Duration, what uint64, first, due time.Duration, served bool) {
	m.ends.Add(1, now, rateWindow)
	if served {
		m.served.Add(1, now, rateWindow)
		m.updatePeakRate(now)
	} else {
		m.unserved.Add(1, now, rateWindow)
	}
	if what != 0 {
		m.ended.record(now, what, first, due, served)
	}
}

// updatePeakRate follows the most that was served a second, and forgets it slowly.
func (m *Model) updatePeakRate(now time.Duration) float64 {
	at := now.Seconds()
	m.peakRate *= math.Exp(-(at - m.peakRateAt) / peakDecay.Seconds())
	m.peakRateAt = at
	m.peakRate = max(m.peakRate, m.served.Rate(now, rateWindow))
	return m.peakRate
}

// RetryAfter says after what time a client that is turned away now should come again, and counts on it;
// 0 is not to be told. left is for how long serving it would still be worth anything. The times given
// out in a storm fill what is foreseen to be free, slot by slot, so that the next wave comes flat; who
// can't be served while it is worth anything is told the longest.
func (m *Model) RetryAfter(now, left time.Duration) time.Duration {
	longest := m.cfg.MaxRetryAfter
	switch {
	case !m.cfg.SendsRetryAfter:
		return 0
	case m.state == Calm:
		return min(m.cfg.CalmRetryAfter, longest)
	}
	fresh := m.arrivals.Rate(now, rateWindow) - m.retries.Rate(now, rateWindow)
	free := max(0, m.updatePeakRate(now)-fresh) * scheduleSlot.Seconds()
	from := int64(now/scheduleSlot) + 1
	for ; m.scheduleFrom < from; m.scheduleFrom++ {
		if m.scheduleFrom+scheduleSlots < from {
			m.scheduleFrom = from - scheduleSlots
		}
		m.retrySchedule[m.scheduleFrom%scheduleSlots] = 0
	}
	m.scheduled++
	part := float64(m.scheduled%16) / 16 // within the slot
	// What all slots up to one can take is what counts: a part of a request a slot adds up.
	room, taken := 0.0, 0.0
	for k := range int64(min(left, longest, (scheduleSlots-1)*scheduleSlot) / scheduleSlot) {
		room += free
		taken += float64(m.retrySchedule[(from+k)%scheduleSlots])
		if room >= taken+1 {
			m.retrySchedule[(from+k)%scheduleSlots]++
			return min(time.Duration(from+k)*scheduleSlot+time.Duration(part*float64(scheduleSlot))-now, longest)
		}
	}
	return longest
}

// State is how things are.
func (m *Model) State() State { return m.state }

// Evidence is what a judgement rests on.
type Evidence struct {
	ArrivalRate, FailureRatio, RetryRatio float64 // a second; share of the ends; share of what comes
}

// Evidence gives it.
func (m *Model) Evidence(now time.Duration) Evidence {
	e := Evidence{ArrivalRate: m.arrivals.Rate(now, rateWindow), FailureRatio: m.unserved.Mean(&m.ends, now, rateWindow)}
	e.RetryRatio = m.retries.Mean(&m.arrivals, now, rateWindow)
	return e
}

// Evaluate judges, and gives a line where the state has changed.
func (m *Model) Evaluate(now time.Duration) (line string, changed bool) {
	if m.stateSince == 0 {
		m.stateSince = now // the first look: times count from whenever the clock began
	}
	e := m.Evidence(now)
	enough := m.ends.Value(now, rateWindow) >= minEnds
	bad := enough && e.FailureRatio > risingThreshold
	if quiet := !enough || e.FailureRatio < fallingThreshold; !quiet {
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
