// Package quota says what part of a tenant's traffic lies beyond its quota, at one of
// several proxies that each see about as much of every tenant as the others do.
//
// It is pure: events with the time on them in, a ratio out. It never rejects anything: what a
// request's utility is and which goes first is decided by package balancer, which owns the Model.
package quota

import (
	"time"

	"marlreel/internal/balancer/decay"
)

// Model counts the traffic of each tenant. Not safe for concurrent use.
type Model struct {
	tenants []tenant
	window  time.Duration
}

type tenant struct {
	quota   float64 // requests a second, at this proxy
	traffic decay.Sum
}

// New makes a model that measures over a window. quotas are the tenants' requests a second at all proxies
// together; 0 or less is no bound.
func New(quotas []float64, proxies int, window time.Duration) *Model {
	m := &Model{window: window}
	m.Configure(quotas, nil, proxies, window)
	return m
}

// Configure puts other quotas in force. The recent traffic of a tenant still counts: from has the index that each had
// before, or one that there wasn't.
func (m *Model) Configure(quotas []float64, from []int, proxies int, window time.Duration) {
	old := m.tenants
	m.tenants, m.window = make([]tenant, len(quotas)), window
	for i, q := range quotas {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			m.tenants[i] = old[from[i]]
		}
		m.tenants[i].quota = q / float64(max(1, proxies))
	}
}

// RecordRequest counts a request of a tenant and gives the part of its traffic that is beyond its
// quota, from 0 to 1; 0 for a tenant that is not known.
func (m *Model) RecordRequest(i int, now time.Duration) float64 {
	if i < 0 || i >= len(m.tenants) {
		return 0
	}
	t := &m.tenants[i]
	t.traffic.Add(1, now, m.window)
	if rate := t.traffic.Rate(now, m.window); t.quota > 0 && rate > t.quota {
		return 1 - t.quota/rate
	}
	return 0
}
