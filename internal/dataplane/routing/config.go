package routing

import (
	"time"

	"marlreel/internal/balancer"
)

const (
	// connectTimeout bounds the making of a connection to a backend, and paces health checks.
	connectTimeout = 600 * time.Millisecond
	// sweepInterval is how often a service looks at what time alone brings. Each sweep goes over
	// all backends: it is much of what a proxy costs that has little to do.
	sweepInterval = 100 * time.Millisecond
	// connectionIdleTimeout is how long a connection to a backend may be idle.
	connectionIdleTimeout = 20 * time.Second
	// maxAttempts bounds the attempts of a request, those that did not run among them.
	maxAttempts = 6
	// crossZonePrice is what sending a request to another zone costs, in requests of mean value.
	crossZonePrice = 0.03
	// maxRetryAfter bounds what clients are asked to wait.
	maxRetryAfter = 5 * time.Second
	// restartWarmup is next to nothing: a backend that restarts has another id.
	restartWarmup = time.Millisecond
)

// BalancerConfig is the balancer's configuration for one service. proxies is how many there are, rank a number
// that tells this one apart, and zone the index of its zone.
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
