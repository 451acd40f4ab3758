package routing

import (
	"time"

	"marlreel/internal/balancer"
)

const (
	// connectTimeout bounds the making of a connection to a backend, and paces probes.
	connectTimeout = 600 * time.Millisecond
	// sweepEvery is how often a service looks at what time alone brings. Each look goes over
	// all backends: it is much of what a proxy costs that has little to do.
	sweepEvery = 100 * time.Millisecond
	// connectionIdle is how long a connection to a backend may rest.
	connectionIdle = 20 * time.Second
	// mostTries bounds the attempts of a request, those that did not run among them.
	mostTries = 6
	// crossing is what sending a request to another zone costs, in mean requests' worth.
	crossing = 0.03
	// longestRetryAfter bounds what clients are told to wait.
	longestRetryAfter = 5 * time.Second
	// restartSpan is nothing: a backend that starts anew has another id.
	restartSpan = time.Millisecond
)

// BalancerConfig are the decision module's, for one service at one of so many proxies.
func BalancerConfig(classes []balancer.Class, proxies, rank, zone int, advice balancer.Advice) balancer.Config {
	return balancer.Config{
		Instances: max(1, proxies), Rank: rank, Zone: zone, Tick: time.Millisecond,
		Classes: classes, Goal: balancer.Goal{Whole: 1}, Prices: balancer.Prices{CrossZone: crossing},
		Obligations: balancer.Obligations{Cold: restartSpan, StartCapacity: 1, FallMultiple: 1, Fall: time.Second},
		Caps: balancer.Caps{
			Cancel: true, Probes: true, RetryAfter: true, ConnIdle: connectionIdle,
			ConnectTimeout: connectTimeout, SweepEvery: sweepEvery, MaxRetryAfter: longestRetryAfter, MaxAttempts: mostTries,
		},
		Advice: advice,
	}
}
