// Package quota computes what part of a tenant's traffic exceeds its quota, at one of several proxies that each see
// about the same share of every tenant's traffic.
//
// The package is pure: events come with their time, a ratio is returned. It never rejects anything: package balancer,
// which owns the Model, decides the utility and the order of requests.
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

// New returns a model that measures over a window. quotas are the requests a second of each tenant at all proxies
// together; 0 or less means no limit.
func New(quotas []float64, proxies int, window time.Duration) *Model {
	m := &Model{window: window}
	m.Configure(quotas, nil, proxies, window)
	return m
}

// Configure replaces the quotas. The recent traffic of a tenant still counts: from holds the previous index of each
// tenant, or one out of range for a new tenant.
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

// RecordRequest counts a request of a tenant and returns the part of its traffic that exceeds its quota, from 0 to 1.
// For an unknown tenant it returns 0.
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
