package machine

import (
	"math"
	"time"
)

// NextEvent returns the time of the next change that needs no call, and false if there is none.
func (m *Machine) NextEvent() (time.Duration, bool) {
	next, found := time.Duration(math.MaxInt64), false
	consider := func(t time.Duration) {
		next, found = min(next, max(t, m.now)), true
	}
	leastWork := math.Inf(1)
	for _, j := range m.jobs {
		if j.Deadline != 0 {
			consider(j.Deadline)
		}
		switch j.phase {
		case waiting:
			consider(j.readyAt)
		case computing:
			leastWork = min(leastWork, j.remaining)
		}
	}
	if jobs, rate := m.serviceRate(); jobs > 0 {
		// Rounded up, so that the work is done by then.
		span := math.Ceil(m.timeForCapacity(leastWork/rate) * float64(time.Second))
		if span < float64(math.MaxInt64/2) {
			consider(m.now + time.Duration(span))
		}
	}
	if m.congestionPending() {
		consider(m.congestion.nextCheck)
	}
	return next, found
}

// Advance brings the machine to now. It returns the completions that TakeCompletions has not taken yet, in their
// order.
func (m *Machine) Advance(now time.Duration) []Completion {
	for {
		next, found := m.NextEvent()
		if !found || next > now {
			break
		}
		m.compute(next)
		m.settle()
		m.updateCongestion()
	}
	m.compute(max(now, m.now))
	m.updateCongestion()
	return m.completions
}

// TakeCompletions returns the completions since the last call.
func (m *Machine) TakeCompletions() []Completion {
	completions := m.completions
	m.completions = nil
	return completions
}

// compute brings the machine to a time up to which no event is due.
func (m *Machine) compute(until time.Duration) {
	if until <= m.now {
		return
	}
	if jobs, rate := m.serviceRate(); jobs > 0 {
		done := rate * m.capacityIntegral((until - m.now).Seconds())
		for _, j := range m.jobs {
			if j.phase == computing {
				j.remaining = max(0, j.remaining-done)
			}
		}
	}
	m.now = until
}

// serviceRate returns how many jobs compute, and the rate at which each does at full capacity, in seconds of a
// reference core per second.
func (m *Machine) serviceRate() (jobs int, rate float64) {
	for _, j := range m.jobs {
		if j.phase == computing {
			jobs++
		}
	}
	if jobs == 0 {
		return 0, 0
	}
	rate = m.cfg.Speed / m.slowdown * min(1, float64(m.cfg.Cores)*(1-m.neighbour)/float64(jobs))
	if m.congestion.active {
		rate /= m.cfg.Congestion.Slowdown
	}
	return jobs, rate
}
