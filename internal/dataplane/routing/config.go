package routing

import (
	"time"

	"marlreel/internal/balancer"
)

const (
	// connectTimeout bounds the time to connect to a backend, and paces health checks.
	connectTimeout = 600 * time.Millisecond
	// sweepInterval is the interval at which a service handles changes that depend on time alone. Each sweep goes over
	// all backends, which is much of the cost of a proxy with little traffic.
	sweepInterval = 100 * time.Millisecond
	// connectionIdleTimeout is how long a connection to a backend may be idle.
	connectionIdleTimeout = 20 * time.Second
	// maxAttempts bounds the attempts of a request, including those that a backend did not run.
	maxAttempts = 6
	// crossZonePrice is the cost of sending a request to another zone, in units of the mean value of a request.
	crossZonePrice = 0.03
	// maxRetryAfter bounds the Retry-After sent to clients.
	maxRetryAfter = 5 * time.Second
	// restartWarmup is negligible, as a backend that restarts has a new id.
	restartWarmup = time.Millisecond
)

// BalancerConfig returns the balancer's configuration for one service. proxies is the number of proxies, rank a number
// that distinguishes this one, and zone the index of its zone.
func BalancerConfig(classes []balancer.Class, proxies, rank, zone int, advice balancer.Advice) balancer.Config {
	return balancer.Config{
		Instances: max(1, proxies), Rank: rank, Zone: zone, Tick: time.Millisecond,
		Classes: classes, Goal: balancer.Goal{Total: 1}, Prices: balancer.Prices{CrossZone: crossZonePrice},
		Obligations: balancer.Obligations{WarmupDuration: restartWarmup, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: time.Second},
		Caps: balancer.Caps{
			Cancel: true, HealthChecks: true, RetryAfter: true, ConnIdle: connectionIdleTimeout,
			ConnectTimeout: connectTimeout, SweepEvery: sweepInterval, MaxRetryAfter: maxRetryAfter, MaxAttempts: maxAttempts,
		},
		Advice: advice,
	}
}
