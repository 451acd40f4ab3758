package machine

import (
	"math"
	"time"
)

// congestionCheckInterval is how often the means are compared with their thresholds between other events.
const congestionCheckInterval = 50 * time.Millisecond

// congestionState tells whether a machine is congested, and keeps what that is decided by.
type congestionState struct {
	active    bool
	occurred  bool // since the start
	since     time.Duration
	nextCheck time.Duration
	history   []loadSample
}

// loadSample is the load from a time on, until that of the next sample.
type loadSample struct {
	at          time.Duration
	outstanding float64 // requests
	utilization float64 // share of the cores
}

// Congested tells whether the machine is slowed down by too many concurrent requests.
func (m *Machine) Congested() bool { return m.congestion.active }

// congestionThreshold returns the mean number of outstanding requests above which the machine becomes congested.
func (m *Machine) congestionThreshold() float64 {
	cores := float64(m.cfg.Cores)
	return cores + m.cfg.Congestion.Headroom*math.Sqrt(cores)
}

// congestionExhausted tells whether the machine can't become congested again before a restart.
func (m *Machine) congestionExhausted() bool {
	return m.congestion.occurred && m.cfg.Congestion.OncePerStart
}

// congestionPending tells whether congestion may begin or end by the passing of time alone.
func (m *Machine) congestionPending() bool {
	if m.cfg.Congestion.Slowdown <= 0 || m.crashed {
		return false
	}
	return m.congestion.active || float64(len(m.jobs)) > m.congestionThreshold() && !m.congestionExhausted()
}

// recordLoad adds the present load to the history, and drops samples that no window reaches.
func (m *Machine) recordLoad() {
	if m.cfg.Congestion.Slowdown == 0 {
		return
	}
	jobs, _ := m.serviceRate()
	sample := loadSample{m.now, float64(len(m.jobs)), min(1, float64(jobs)/float64(m.cfg.Cores))}
	history := m.congestion.history
	if last := len(history) - 1; last >= 0 && history[last].at == m.now {
		history[last] = sample
	} else {
		history = append(history, sample)
	}
	oldest, first := m.now-max(m.cfg.Congestion.Window, m.cfg.Congestion.RecoveryWindow), 0
	for first+1 < len(history) && history[first+1].at <= oldest {
		first++
	}
	m.congestion.history = history[first:]
}

// meanLoad returns the mean of a value over the last window; before the start it counts as 0.
func (m *Machine) meanLoad(window time.Duration, value func(loadSample) float64) float64 {
	from, sum, until := m.now-window, 0.0, m.now
	for i := len(m.congestion.history) - 1; i >= 0 && until > from; i-- {
		sample := m.congestion.history[i]
		sum += value(sample) * (until - max(sample.at, from)).Seconds()
		until = sample.at
	}
	return sum / window.Seconds()
}

func (m *Machine) meanOutstanding() float64 {
	return m.meanLoad(m.cfg.Congestion.Window, func(s loadSample) float64 { return s.outstanding })
}

func (m *Machine) meanUtilization() float64 {
	return m.meanLoad(m.cfg.Congestion.RecoveryWindow, func(s loadSample) float64 { return s.utilization })
}

// updateCongestion decides whether the machine becomes congested, or recovers.
func (m *Machine) updateCongestion() {
	cfg, state := m.cfg.Congestion, &m.congestion
	if cfg.Slowdown == 0 || m.now < state.nextCheck {
		return
	}
	state.nextCheck = m.now + congestionCheckInterval
	if !state.active {
		if !m.congestionExhausted() && m.meanOutstanding() > m.congestionThreshold() {
			state.active, state.occurred, state.since = true, true, m.now
			m.recordLoad()
		}
		return
	}
	duration := m.now - state.since
	if duration >= cfg.MaxDuration || duration >= cfg.RecoveryWindow && m.meanUtilization() < cfg.RecoveryUtilization {
		state.active = false
		m.recordLoad()
	}
}
