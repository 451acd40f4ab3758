package balancer

// Active health checks. Intervals are in connect timeouts, the site's own measure of how soon a backend
// answers.

import (
	"fmt"
	"time"
)

const (
	suspectCheckTimeouts = 2 // connect timeouts between two checks of a suspect backend
	// Times longer between those of a healthy one: its answers tell more, at no cost.
	healthyCheckFactor = 4
	// Checks at most, as a share of this proxy's requests, while no backend is suspect.
	maxCheckRatio     = 0.1
	requestGapWindow  = 32 // requests over which the time between two of them is averaged
	checkThreshold    = 2  // results in a row that mark or restore a backend: one may be chance
	sweepsPerInterval = 10 // sweeps in a health check interval, unless Caps.SweepEvery says so
)

// OnHealthCheck takes the result of a health check.
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
	case Rejected, Cancelled, NotSent, Unprocessable: // nothing of the backend's health follows from it
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
	// It may have died and come back before the membership says so. Until it passes again, its start
	// counts as now.
	b.suspectRestart(t)
	if t.healthy {
		t.healthy = false
		b.log(fmt.Sprintf("backend %d fails its probes", t.ID))
	}
}

// suspectCheckInterval is the time between two health checks of a suspect backend; it is healthyCheckFactor
// times longer for others. Checks grow as proxies times backends, and hundreds of proxies would wear the
// backends out: so each proxy sends no more of them than a share of its own requests.
func (b *Balancer) suspectCheckInterval() time.Duration {
	byTraffic := float64(b.requestGap) * float64(len(b.subset)) / (healthyCheckFactor * maxCheckRatio)
	return max(b.healthCheckInterval, time.Duration(byTraffic))
}

// scheduleHealthChecks begins the checks that are due.
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

// isHealthy tells whether a backend may have requests, by health checks and outlier ejection.
func (b *Balancer) isHealthy(t *target) bool {
	return t.healthy && b.now >= t.ejectedUntil
}
