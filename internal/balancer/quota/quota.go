// Package quota says what part of a tenant's traffic lies beyond its share, as one of
// several proxies that each see about as much of every tenant as the others do.
//
// It is pure: events and the time on them in, a share out. What follows from it, what a
// request is worth and which goes first, is package balancer's.
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
	quota   float64 // requests a second, here
	traffic decay.Sum
}

// New counts over such a time. quotas are the tenants' requests a second at all proxies
// together, 0 or less for one without a bound.
func New(quotas []float64, proxies int, over time.Duration) *Model {
	m := &Model{window: over}
	m.Configure(quotas, nil, proxies, over)
	return m
}

// Configure puts other quotas in force. What has come lately of a tenant still counts: from has the place that each had
// before, or one that there wasn't.
func (m *Model) Configure(quotas []float64, from []int, proxies int, over time.Duration) {
	old := m.tenants
	m.tenants, m.window = make([]tenant, len(quotas)), over
	for i, q := range quotas {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			m.tenants[i] = old[from[i]]
		}
		m.tenants[i].quota = q / float64(max(1, proxies))
	}
}

// RecordRequest counts a request of a tenant and gives the part of its traffic that is beyond its
// share, from 0 to 1. One that there isn't has no share to be beyond.
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
