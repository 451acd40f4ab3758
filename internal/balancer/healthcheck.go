package balancer

// Active health checks. Their intervals are multiples of the connect timeout, which says how soon a backend
// of the deployment normally answers.

import (
	"fmt"
	"time"
)

const (
	suspectCheckTimeouts = 2 // connect timeouts between two checks of a suspect backend
	// Multiplies the interval for a healthy backend: its answers to requests tell more, at no cost.
	healthyCheckFactor = 4
	// Maximum number of checks, as a fraction of this proxy's requests, while no backend is suspect.
	maxCheckRatio     = 0.1
	requestGapWindow  = 32 // requests over which requestGap is averaged
	checkThreshold    = 2  // consecutive results that mark a backend unhealthy or healthy: one may be chance
	sweepsPerInterval = 10 // sweeps in a health check interval, unless Caps.SweepEvery is set
)

// OnHealthCheck handles the result of a health check.
func (b *Balancer) OnHealthCheck(now time.Duration, p HealthCheckResult) {
	b.now = now
	t := b.byID[p.Backend]
	if t == nil || !t.checkInFlight {
		return
	}
	t.checkInFlight = false
	switch p.Result {
	case OK:
		b.recordPassedCheck(t)
	case Rejected, Cancelled, NotSent, Unprocessable: // says nothing about the backend's health
	default:
		b.recordFailedCheck(t)
	}
}

func (b *Balancer) recordPassedCheck(t *target) {
	t.failedChecks = 0
	t.passedChecks++
	if !t.healthy && t.passedChecks >= checkThreshold {
		t.healthy = true
		t.consecutiveFailures = 0
		b.log(fmt.Sprintf("backend %d passes its probes again", t.ID))
	}
}

func (b *Balancer) recordFailedCheck(t *target) {
	t.passedChecks = 0
	t.failedChecks++
	t.nextCheck = min(t.nextCheck, b.now+b.suspectCheckInterval())
	if t.failedChecks < checkThreshold {
		return
	}
	// The backend may have crashed and restarted before the membership shows it. Until it passes a check
	// again, its start time counts as now.
	b.suspectRestart(t)
	if t.healthy {
		t.healthy = false
		b.log(fmt.Sprintf("backend %d fails its probes", t.ID))
	}
}

// suspectCheckInterval is the time between two health checks of a suspect backend; it is healthyCheckFactor
// times longer for others. The number of checks grows as proxies times backends, and hundreds of proxies
// would overload the backends with them, so each proxy limits its checks to a fraction of its own requests.
func (b *Balancer) suspectCheckInterval() time.Duration {
	byTraffic := float64(b.requestGap) * float64(len(b.subset)) / (healthyCheckFactor * maxCheckRatio)
	return max(b.healthCheckInterval, time.Duration(byTraffic))
}

// scheduleHealthChecks starts the checks that are due.
func (b *Balancer) scheduleHealthChecks() {
	if !b.cfg.Caps.HealthChecks {
		return
	}
	interval := b.suspectCheckInterval()
	for _, t := range b.subset {
		if t.checkInFlight || b.now < t.nextCheck {
			continue
		}
		t.checkInFlight = true
		t.nextCheck = b.now + interval
		if t.healthy && t.failedChecks == 0 && t.ejectedUntil < b.now {
			t.nextCheck = b.now + healthyCheckFactor*interval
		}
		b.host.CheckHealth(t.ID)
	}
}

// isHealthy tells whether health checks and outlier ejection let a backend get requests.
func (b *Balancer) isHealthy(t *target) bool {
	return t.healthy && b.now >= t.ejectedUntil
}
