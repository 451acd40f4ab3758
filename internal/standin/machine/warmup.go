package machine

import (
	"math"
	"time"
)

// submittedWork is the work of one submission, in seconds of a reference core.
type submittedWork struct {
	at   time.Duration
	work float64
}

// Capacity returns the share of the full capacity that the slow start leaves the machine at a time.
func (m *Machine) Capacity(at time.Duration) float64 {
	uptime, warmup := at-m.startedAt, m.cfg.Warmup
	if m.warm || uptime >= warmup.Duration {
		return 1
	}
	return warmup.InitialCapacity + (1-warmup.InitialCapacity)*uptime.Seconds()/warmup.Duration.Seconds()
}

// overloadedBy counts submitted work towards the overload window, and tells whether the machine crashed by it.
func (m *Machine) overloadedBy(work time.Duration) bool {
	warmup, capacity := m.cfg.Warmup, m.Capacity(m.now)
	if warmup.OverloadMultiple == 0 || capacity >= 1 {
		m.warmupWork = nil
		return false
	}
	m.warmupWork = append(m.warmupWork, submittedWork{m.now, work.Seconds()})
	sum, first := 0.0, 0
	for i, s := range m.warmupWork {
		if m.now-s.at >= warmup.OverloadWindow {
			first = i + 1
			continue
		}
		sum += s.work
	}
	m.warmupWork = m.warmupWork[first:]
	if sum <= warmup.OverloadMultiple*capacity*float64(m.cfg.Cores)*m.cfg.Speed*warmup.OverloadWindow.Seconds() {
		return false
	}
	m.crash()
	return true
}

// warmupLeft returns the seconds until the machine has all of its capacity; 0 or less once it has.
func (m *Machine) warmupLeft() float64 {
	if m.warm {
		return 0
	}
	return (m.startedAt + m.cfg.Warmup.Duration - m.now).Seconds()
}

// capacitySlope returns the rise of the capacity per second while the machine warms up.
func (m *Machine) capacitySlope() float64 {
	return (1 - m.cfg.Warmup.InitialCapacity) / m.cfg.Warmup.Duration.Seconds()
}

// capacityIntegral returns the integral of Capacity over a span from now on; both in seconds.
func (m *Machine) capacityIntegral(span float64) float64 {
	left := m.warmupLeft()
	if left <= 0 {
		return span
	}
	warming := min(span, left)
	return m.Capacity(m.now)*warming + m.capacitySlope()*warming*warming/2 + max(0, span-left)
}

// timeForCapacity is the inverse of capacityIntegral: the seconds from now on until the integral reaches need.
func (m *Machine) timeForCapacity(need float64) float64 {
	const flat = 1e-12 // a slope below which the quadratic formula would divide by almost nothing
	left := m.warmupLeft()
	if left <= 0 {
		return need
	}
	if warming := m.capacityIntegral(left); need >= warming {
		return left + need - warming
	}
	capacity, slope := m.Capacity(m.now), m.capacitySlope()
	if slope < flat {
		return need / capacity
	}
	return (math.Sqrt(capacity*capacity+2*slope*need) - capacity) / slope
}
